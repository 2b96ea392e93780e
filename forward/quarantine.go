package forward

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
	"mulberryscale.example/picker"
	"mulberryscale.example/quarantine"
)

// Rows of the counter of sends that endpoints broke off.
const (
	// rowCrashed counts endpoints that refuse connections afterwards, rowAlive all others.
	rowCrashed = "endpoint_ended"
	rowAlive   = "endpoint_there"
)

// admitAndRun runs the request unless this process stops too soon or its content is quarantined.
// A quarantined request is refused at once, so that it does not crash all endpoints of a service.
func (c *call) admitAndRun(ctx context.Context) (*Answer, error) {
	if !c.admittedWhileStopping() {
		return nil, c.stopRefusal()
	}
	state, wait := c.Quarantine.Admit(ctx, c.fingerprint)
	if state == quarantine.Quarantined {
		c.Quarantine.CountRefused()
		refusal := c.refusal(ReasonQuarantined, nil)
		refusal.RetryAfter = (wait + time.Second - 1).Truncate(time.Second) // whole seconds, rounded up
		return nil, refusal
	}
	c.trial = state == quarantine.TrialDue
	return c.run(ctx)
}

// reportIfCrashed reports whether an endpoint broke off a request, which was not cancelled by
// this process, because it crashed rather than shut down as announced. A crash is then recorded
// in the quarantine.
func (c *call) reportIfCrashed(ctx context.Context, to fleet.Instance, err error, took time.Duration) bool {
	if !errors.Is(err, ErrBroken) || ctx.Err() != nil || c.View.Snapshot().IsDraining(to) {
		return false
	}
	return c.Quarantine.ReportBroken(ctx, quarantine.BrokenRun{Fingerprint: c.fingerprint, Endpoint: to.Incarnation(), Addr: to.Addr, Took: took})
}

// suspected reports whether an endpoint has crashed under the request's content.
func (c *call) suspected() bool {
	state, _ := c.Quarantine.State(c.fingerprint)
	return state != quarantine.Clear
}

// maySendToAnother reports whether the request may be sent to one more endpoint. A request whose
// content is suspect is sent to one endpoint at a time, so that a second crash is known before a
// third endpoint has the request.
func (c *call) maySendToAnother() bool {
	state, _ := c.Quarantine.State(c.fingerprint)
	switch state {
	case quarantine.Clear:
		return true
	case quarantine.Suspect:
		return c.pending == 0
	}
	return c.trial && c.pending == 0 && !c.mayHaveRun
}

const (
	// riskyWaitStep is the pause before a waiting risky request looks for an endpoint again,
	// about the work of one request.
	riskyWaitStep = 20 * time.Millisecond
	// maxRiskyWait limits the wait where the route's timeout does not: as long as several such
	// requests take one after the other.
	maxRiskyWait = 500 * time.Millisecond
)

// awaitLowRisk makes the request wait if every endpoint that is left has another risky request:
// one that merely ran beside the culprit would otherwise meet it again.
func (c *call) awaitLowRisk(q picker.Query) {
	q.AvoidRisky = false
	if _, left := c.picker.Pick(q); !left {
		return
	}
	c.retryTimer = time.After(riskyWaitStep)
	c.riskyWait += riskyWaitStep
}

// waiting reports whether the request waits for an endpoint without a risky request.
func (c *call) waiting() bool { return c.retryTimer != nil }

// logBroken logs and counts a send that ended without an answer.
func (c *call) logBroken(a attempt) {
	if !errors.Is(a.err, ErrBroken) {
		return
	}
	row := rowAlive
	if a.crashed {
		row = rowCrashed
	}
	c.Counters.Add(observe.NameForwardBroken, row, 1)
	c.Log.WithError(a.err).WithFields(logrus.Fields{
		observe.FieldRequest: c.request.ID, observe.FieldContent: c.fingerprint, "route": c.request.Route.Name,
		"engine": a.to.ID, "addr": a.to.Addr, "attempts": c.sent, "took_ms": a.took.Milliseconds(), "engine_ended": a.crashed,
	}).Warn("send broken off")
}
