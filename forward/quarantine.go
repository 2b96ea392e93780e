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
	// rowCrashed is for endpoints that refuse connections since,
	// rowAlive for all others.
	rowCrashed = "endpoint_ended"
	rowAlive   = "endpoint_there"
)

// admitAndRun runs the request unless its content is known to end endpoints: such a
// one is answered at once, so that all of a service's endpoints do not end under it.
func (c *call) admitAndRun(ctx context.Context) (*Answer, error) {
	state, wait := c.Quarantine.Admit(ctx, c.fingerprint, quarantine.RequestLimit)
	if state == quarantine.Quarantined {
		c.Quarantine.CountRefused()
		refusal := c.refusal(ReasonQuarantined, nil)
		refusal.RetryAfter = (wait + time.Second - 1).Truncate(time.Second) // whole seconds, not before its time
		return nil, refusal
	}
	c.trial = state == quarantine.TrialDue
	return c.run(ctx)
}

// reportIfCrashed reports whether an endpoint broke a request off, which was not given up
// from here, and has ended though it was not leaving. The quarantine has heard of it
// then.
func (c *call) reportIfCrashed(ctx context.Context, to fleet.Instance, err error, took time.Duration) bool {
	if !errors.Is(err, ErrBroken) || ctx.Err() != nil || c.View.Snapshot().Leaves(to) {
		return false
	}
	return c.Quarantine.ReportBroken(ctx, quarantine.BrokenRun{Fingerprint: c.fingerprint, Endpoint: to.Incarnation(), Addr: to.Addr, Took: took})
}

// suspected reports whether an endpoint has ended under the request's content.
func (c *call) suspected() bool {
	state, _ := c.Quarantine.State(c.fingerprint, quarantine.RequestLimit)
	return state != quarantine.Clear
}

// maySendToAnother reports whether the request may be sent to one more endpoint: one
// under which an endpoint has ended goes to one at a time, so that a second end tells
// before a third endpoint has it.
func (c *call) maySendToAnother() bool {
	state, _ := c.Quarantine.State(c.fingerprint, quarantine.RequestLimit)
	switch state {
	case quarantine.Clear:
		return true
	case quarantine.Suspect:
		return c.pending == 0
	}
	return c.trial && c.pending == 0 && !c.mayHaveRun
}

const (
	// riskyWaitStep is the pause before a request that waits for its turn looks again,
	// about the work of one request.
	riskyWaitStep = 20 * time.Millisecond
	// maxRiskyWait bounds the wait where the route's timeout does not: as long as
	// several such requests take one after the other.
	maxRiskyWait = 500 * time.Millisecond
)

// awaitLowRisk has the request wait if all endpoints that are left have another one
// under which an endpoint has ended: what was beside the culprit would meet it again.
func (c *call) awaitLowRisk(q picker.Query) {
	q.AvoidRisky = false
	if _, left := c.picker.Pick(q); !left {
		return
	}
	c.retryTimer = time.After(riskyWaitStep)
	c.riskyWait += riskyWaitStep
}

// waiting reports whether the request waiting for its turn.
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
