package forward

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
	"mulberryscale.example/flowcontrol"
	"mulberryscale.example/observe"
	"mulberryscale.example/picker"
)

const (
	// reasonResumed is the reason under which denied sends of resumed streams are counted.
	reasonResumed = "resumed"
	// tryTime bounds the wait for room of a send that must not wait, such as a hedge.
	tryTime = time.Millisecond
	// queuedTime is the wait from which a request counts as queued.
	queuedTime = time.Millisecond
	// configGrace is the time after its arrival within which a request may still be sent by the
	// configuration of then. Most requests have left the gate by then, and none of these is refused
	// because of a change.
	configGrace = 2 * time.Second
)

// Causes that end a wait in a gate before the request's own context.
var (
	errNoRoom    = errors.New("forward: no room at once")
	errRiskyWait = errors.New("forward: no endpoint without a risky request")
)

// place is where a request is sent next: an endpoint and, with a gate, the capacity reserved there.
type place struct {
	to    fleet.Instance
	lease *flowcontrol.Lease
}

// reserve picks the endpoint of the next send and counts the send in the picker. With a gate it
// first waits for capacity. reason is why the request is sent again; empty for its first send.
func (c *call) reserve(ctx context.Context, reason string, risky bool) (place, bool) {
	if c.gate == nil {
		to, ok := c.pickEndpoint(risky)
		return place{to: to}, ok
	}
	if c.exhausted() {
		return place{}, false
	}
	restore, ok := c.takeSecondSend(reason)
	if !ok {
		return place{}, false
	}
	lease, err := c.admit(ctx, risky)
	if err == nil && ctx.Err() != nil {
		c.picker.Withdraw(lease.To.Incarnation(), risky)
		lease.Done(nil, false, 0)
		err = context.Cause(ctx)
		c.notAdmitted = err
	}
	if err != nil {
		restore()
		return place{}, false
	}
	now := time.Now()
	if reason == "" && c.request.Reached == 0 {
		c.gate.budget.RecordFirst(now)
	}
	c.gate.silence.sent(lease.To.Incarnation(), now)
	return place{to: lease.To, lease: lease}, true
}

// takeSecondSend reports whether the request may be sent again for a reason. restore gives the
// send back if it is not made. Sends after one that did not run cost nothing.
func (c *call) takeSecondSend(reason string) (restore func(), ok bool) {
	switch reason {
	case "", ReasonUnsent, ReasonDeclined:
		return func() {}, true
	}
	return c.gate.takeSecondSend(reason, c.pending > 0, c.Counters)
}

// takeSecondSend takes a send from the budget. One that is made beside another send (a hedge) is
// denied while requests wait.
func (g *serviceGate) takeSecondSend(reason string, beside bool, counters *observe.Counters) (restore func(), ok bool) {
	now := time.Now()
	if (beside && g.gate.Waiting() > 0) || !g.budget.Take(now) {
		counters.Add(observe.NameSecondSendsDenied, reason, 1)
		return nil, false
	}
	return func() { g.budget.Restore(now) }, true
}

// admit waits for capacity at an endpoint and reserves it. While another send of the request is
// open it doesn't wait, since the answer to that one may come meanwhile. The error of a wait is kept
// for the request's refusal.
func (c *call) admit(ctx context.Context, risky bool) (*flowcontrol.Lease, error) {
	if c.pending > 0 {
		if c.gate.gate.Waiting() > 0 {
			return nil, errNoRoom
		}
		bounded, cancel := context.WithTimeoutCause(ctx, tryTime, errNoRoom)
		defer cancel()
		return c.enter(bounded, risky)
	}
	size := c.request.size()
	if !c.Gates.held.take(size) {
		c.notAdmitted = &flowcontrol.Refused{Reason: flowcontrol.ReasonQueueFull, RetryAfter: retryAfterHeld(time.Until(c.deadline))}
		return nil, c.notAdmitted
	}
	defer c.Gates.held.release(size)
	began := time.Now()
	admitted := c.counted.Wait()
	lease, err := c.waitForRoom(ctx, risky)
	admitted()
	c.notAdmitted = err
	if err == nil {
		c.countAdmitted(time.Since(began))
	}
	return lease, err
}

// countAdmitted counts a send that was admitted after a wait.
func (c *call) countAdmitted(waited time.Duration) {
	c.Counters.Add(observe.NameGateAdmitted, c.gate.service, 1)
	c.Counters.Observe(observe.NameGateWait, c.gate.service, waited)
	if waited >= queuedTime {
		c.Counters.Add(observe.NameGateQueued, c.gate.service, 1)
	}
}

// waitForRoom waits for capacity. A risky request waits first, for at most maxRiskyWait, for an
// endpoint that has no other risky one from this process.
func (c *call) waitForRoom(ctx context.Context, risky bool) (*flowcontrol.Lease, error) {
	ctx, stop := c.gate.whileServed(ctx)
	defer stop()
	if risky && c.riskyWait < maxRiskyWait {
		began := time.Now()
		bounded, cancel := context.WithTimeoutCause(ctx, maxRiskyWait-c.riskyWait, errRiskyWait)
		lease, err := c.enter(bounded, risky)
		cancel()
		c.riskyWait += time.Since(began)
		if !errors.Is(err, errRiskyWait) {
			return lease, err
		}
	}
	return c.enter(ctx, risky)
}

// enter enters the gate. The picker counts the send when the gate has it choose an endpoint.
func (c *call) enter(ctx context.Context, risky bool) (*flowcontrol.Lease, error) {
	avoidRisky := risky && c.riskyWait < maxRiskyWait
	choose := func(withRoom []fleet.Instance) (fleet.Instance, bool) {
		return c.picker.Take(picker.Query{
			Candidates: withRoom, Tried: c.tried, Zone: c.Zone, Request: c.request.ID, Now: time.Now(), AvoidRisky: avoidRisky,
		}, risky)
	}
	return c.gate.gate.Enter(ctx, c.ticket(), c.candidates, choose)
}

// candidates returns the endpoints that the request may be sent to. Those that have just
// failed or are silent are left out while there are others, since a full service would send its
// requests there.
func (c *call) candidates() []fleet.Instance {
	snap := c.View.Snapshot()
	if time.Since(c.arrived) > configGrace && !c.allowed(snap.Config) {
		return nil
	}
	all := snap.OfService(c.gate.service)
	if len(c.tried) > 0 {
		all = slices.DeleteFunc(slices.Clone(all), func(i fleet.Instance) bool { return c.tried[i.Incarnation()] })
	}
	now := time.Now()
	speaking := c.gate.silence.speaking(all, c.request.Route, now)
	return c.picker.Trusted(c.gate.failing.sound(speaking, now), now)
}

// allowed reports whether a configuration sends the request to its service. It may have changed while
// the request waited.
func (c *call) allowed(config *fleet.Config) bool {
	if config == nil || config == c.config {
		return true
	}
	route := c.request.routeIn(config)
	if route == nil || !route.SendsTo(c.service) {
		return false
	}
	if c.request.Organisation == "" {
		return route.Anonymous || !config.HasOrganisations()
	}
	return route.Anonymous || config.OrganisationByName(c.request.Organisation) != nil
}

// ticket describes the request to the gate.
func (c *call) ticket() flowcontrol.Ticket {
	t := flowcontrol.Ticket{
		Organisation: c.request.Organisation, Rank: c.rank(), Arrived: c.arrived.Add(-c.age), Deadline: c.deadline, Bytes: c.request.size(),
	}
	if c.request.Route.Objective > 0 {
		t.Objective = t.Arrived.Add(c.request.Route.Objective)
	}
	return t
}

// rank returns the request's rank: that of its organisation, or of its route if it has none.
func (c *call) rank() int {
	if config := c.View.Snapshot().Config; config != nil {
		if o := config.OrganisationByName(c.request.Organisation); o != nil {
			return o.Priority
		}
	}
	return c.request.Route.Priority
}

// forgetTried lets a request go to an endpoint again that declined it for want of room. One that
// has declined it as another incarnation than the listed one always will.
func (c *call) forgetTried(a attempt) {
	if c.gate != nil && a.answer != nil && a.answer.Declined && !a.answer.misdirected() {
		delete(c.tried, a.to.Incarnation())
	}
}

// gateRefusal returns the final answer to a request that the gate has not admitted; nil if that is
// not why it was not answered.
func (c *call) gateRefusal(ctx context.Context) *Refusal {
	var refused *flowcontrol.Refused
	switch {
	case c.notAdmitted == nil || errors.Is(c.notAdmitted, flowcontrol.ErrNoEndpoint) || errors.Is(c.notAdmitted, errWithdrawn):
		return nil
	case errors.As(c.notAdmitted, &refused):
	case errors.Is(c.notAdmitted, errTimeout) && !c.mayHaveRun:
		refused = &flowcontrol.Refused{Reason: flowcontrol.ReasonExpired, RetryAfter: minRetryAfter}
	default:
		return c.contextRefusal(ctx)
	}
	refusal := c.refusal(ReasonNotAdmitted, refused)
	refusal.RetryAfter = refused.RetryAfter
	return refusal
}

// logNotAdmitted logs and counts a request that the gate has not admitted. It returns false for
// another refusal.
func (c *call) logNotAdmitted(log logrus.FieldLogger, refusal *Refusal) bool {
	var refused *flowcontrol.Refused
	if refusal.Reason != ReasonNotAdmitted || !errors.As(refusal.Cause, &refused) {
		return false
	}
	rank := c.rank()
	c.Counters.NotAdmitted(rank, refused.Reason)
	log.WithFields(logrus.Fields{
		observe.FieldService: c.gate.service, observe.FieldRank: rank, "not_run": refusal.NotRun, observe.FieldReason: refused.Reason,
		observe.FieldWaiting: c.gate.gate.Waiting(), observe.FieldRate: math.Round(c.gate.currentRate(time.Now())),
		observe.FieldRetryAfter: refused.RetryAfter.Milliseconds(),
	}).Warn(observe.MessageNotAdmitted)
	return true
}

// endLease gives the reserved capacity back when a send has ended, a stream when it is closed, and
// records what the answer says of the endpoint.
func (c *call) endLease(ctx context.Context, next place, answer *Answer, took time.Duration) {
	if answer != nil {
		c.Gates.observeLoad(c.service, answer.Load)
	}
	if next.lease == nil {
		return
	}
	if answer != nil {
		c.gate.failing.answered(next.to.Incarnation(), answer, time.Now())
		c.gate.silence.answered(next.to.Incarnation())
	}
	switch {
	case answer == nil:
		next.lease.Done(nil, false, 0)
	case answer.Stream != nil:
		// The load that came with the first event is out of date by the end. The time until that
		// event compares with the answer times of the service's other requests, the stream's own
		// length does not.
		next.lease.Answered()
		context.AfterFunc(ctx, func() { next.lease.Done(nil, false, took) })
	default:
		next.lease.Done(answer.Load, answer.Declined, took)
	}
}
