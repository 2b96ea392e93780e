package flowcontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mulberryscale.example/fleet"
)

// Status is the state of a gate, for the operator.
type Status struct {
	// Open is the number of requests that hold a lease, Waiting that of those in the queue.
	Open, Waiting int
	// Bytes is the memory that waiting requests hold.
	Bytes                 int
	WaitingByRank         map[int]int
	WaitingByOrganisation map[string]int
	// Windows are ordered by endpoint.
	Windows []WindowStatus
	// Admitted counts the leases so far, Queued the requests that had to wait.
	Admitted, Queued uint64
	// Refused counts the refusals so far, by reason.
	Refused map[string]uint64
	// Rate is the number of requests a second that the windows allow at present.
	Rate float64
}

// WindowStatus is the state of the window of one endpoint.
type WindowStatus struct {
	Endpoint fleet.Incarnation
	Limit    float64
	Open     int
}

// Status returns the state of the gate.
func (g *Gate) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := Status{
		Waiting: g.queue.Len(), Bytes: g.queue.Bytes(), WaitingByRank: map[int]int{}, WaitingByOrganisation: map[string]int{},
		Admitted: g.admitted, Queued: g.queued, Refused: maps.Clone(g.refused), Rate: g.windows.rate(now),
	}
	for _, a := range g.queue.backlogged {
		waiting := len(a.timely) + len(a.late)
		s.WaitingByRank[a.rank] += waiting
		s.WaitingByOrganisation[a.organisation] += waiting
	}
	for start, w := range g.windows.byStart {
		s.Open += w.open
		s.Windows = append(s.Windows, WindowStatus{Endpoint: start, Limit: w.Limit(now), Open: w.open})
	}
	slices.SortFunc(s.Windows, func(a, b WindowStatus) int {
		return cmp.Or(cmp.Compare(a.Endpoint.ID, b.Endpoint.ID), cmp.Compare(a.Endpoint.StartedAt, b.Endpoint.StartedAt))
	})
	return s
}
