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
	// rowEndpointEnded is for endpoints that refuse connections since,
	// rowEndpointThere for all others.
	rowEndpointEnded = "endpoint_ended"
	rowEndpointThere = "endpoint_there"
)

// admitAndRun runs the request unless its content is known to end endpoints: such a
// one is answered at once, so that all of a service's endpoints do not end under it.
func (c *call) admitAndRun(ctx context.Context) (*Answer, error) {
	verdict, wait := c.Quarantine.Admit(ctx, c.subject, quarantine.RequestLimit)
	if verdict == quarantine.Quarantined {
		c.Quarantine.CountRefused()
		refusal := c.refusal(ReasonQuarantined, nil)
		refusal.RetryAfter = (wait + time.Second - 1).Truncate(time.Second) // whole seconds, not before its time
		return nil, refusal
	}
	c.trial = verdict == quarantine.TrialDue
	return c.run(ctx)
}

// hasEnded reports whether an endpoint broke a request off, which was not given up
// from here, and has ended though it was not leaving. The quarantine has heard of it
// then.
func (c *call) hasEnded(ctx context.Context, to fleet.Instance, err error, took time.Duration) bool {
	if !errors.Is(err, ErrBroken) || ctx.Err() != nil || c.View.Snapshot().Leaves(to) {
		return false
	}
	return c.Quarantine.ReportBroken(ctx, quarantine.BrokenRun{Fingerprint: c.subject, Endpoint: to.Incarnation(), Addr: to.Addr, Took: took})
}

// suspected reports whether an endpoint has ended under the request's content.
func (c *call) suspected() bool {
	verdict, _ := c.Quarantine.State(c.subject, quarantine.RequestLimit)
	return verdict != quarantine.Clear
}

// mayEndAnother reports whether the request may be sent to one more endpoint: one
// under which an endpoint has ended goes to one at a time, so that a second end tells
// before a third endpoint has it.
func (c *call) mayEndAnother() bool {
	verdict, _ := c.Quarantine.State(c.subject, quarantine.RequestLimit)
	switch verdict {
	case quarantine.Clear:
		return true
	case quarantine.Suspect:
		return c.pending == 0
	}
	return c.trial && c.pending == 0 && !c.mayHaveRun
}

const (
	// turnPause is the pause before a request that waits for its turn looks again,
	// about the work of one request.
	turnPause = 20 * time.Millisecond
	// maxTurnWait bounds the wait where the route's timeout does not: as long as
	// several such requests take one after the other.
	maxTurnWait = 500 * time.Millisecond
)

// awaitTurn has the request wait if all endpoints that are left have another one
// under which an endpoint has ended: what was beside the culprit would meet it again.
func (c *call) awaitTurn(q picker.Query) {
	q.AvoidRisky = false
	if _, left := c.picker.Pick(q); !left {
		return
	}
	c.turn = time.After(turnPause)
	c.waited += turnPause
}

// waits reports whether the request waits for its turn.
func (c *call) waits() bool { return c.turn != nil }

// tell logs and counts a send that ended without an answer.
func (c *call) tell(a attempt) {
	if !errors.Is(a.err, ErrBroken) {
		return
	}
	row := rowEndpointThere
	if a.ended {
		row = rowEndpointEnded
	}
	c.Counters.Add(observe.NameForwardBroken, row, 1)
	c.Log.WithError(a.err).WithFields(logrus.Fields{
		observe.FieldRequest: c.request.ID, observe.FieldContent: c.subject, "route": c.request.Route.Name,
		"engine": a.to.ID, "addr": a.to.Addr, "attempts": c.sent, "took_ms": a.took.Milliseconds(), "engine_ended": a.ended,
	}).Warn("send broken off")
}
