package forward

import (
	"cmp"
	"errors"
	"net/http"
	"slices"
	"time"

	"mulberryscale.example/flowcontrol"
	"mulberryscale.example/loadview"
)

// Load returns the load of the services that have a gate, for the operator.
func (g *Gates) Load() loadview.Load {
	status := g.Status()
	load := loadview.Load{HeldBytes: status.HeldBytes, Services: []loadview.Service{}}
	for name, gate := range status.Services {
		load.Services = append(load.Services, loadview.ServiceOf(name, gate, g.account.Classes(name)))
	}
	slices.SortFunc(load.Services, func(a, b loadview.Service) int { return cmp.Compare(a.Name, b.Name) })
	return load
}

// countArrival counts the request for the operator if its service has a gate. A stream that is
// resumed is counted once.
func (c *call) countArrival() {
	if c.gate != nil && c.request.Reached == 0 {
		c.counted = c.Gates.account.Begin(c.service, loadview.ClassKey{Rank: c.rank(), Organisation: c.request.Organisation})
	}
}

// countOutcome counts what became of the request. As the gate does, it takes the objective from when
// the client first asked, as far as that is known.
func (c *call) countOutcome(answer *Answer, err error, took time.Duration) {
	var refused *flowcontrol.Refused
	objective := c.request.Route.Objective
	switch {
	case err == nil && answer.Status < http.StatusInternalServerError:
		c.counted.Answered(objective == 0 || took+c.age <= objective)
	case errors.As(err, &refused):
		c.counted.Refused(refused.Reason)
	default:
		c.counted.Failed()
	}
}
