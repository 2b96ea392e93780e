package forward

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"mulberryscale.example/drain"
	"mulberryscale.example/fleet"
	"mulberryscale.example/loadview"
	"mulberryscale.example/picker"
	"mulberryscale.example/quarantine"
)

// maxParallel is the number of endpoints that may work on one request at the same time.
const maxParallel = 2

// call is the forwarding of one request. Its methods are called by one goroutine, except for
// outcome and reportIfCrashed, which read only what does not change.
type call struct {
	*Forwarder
	request     *Request
	fingerprint quarantine.Fingerprint
	// service is the service that gets the request; gate is its gate, nil if it has none.
	service string
	gate    *serviceGate
	// config is the configuration in force when the request arrived.
	config *fleet.Config
	// counted is the request in the load that operators see; nil if it is not counted.
	counted *loadview.Request
	// arrived is when the request arrived, deadline when its answer is due.
	arrived, deadline time.Time
	// age is how long before that the client first asked, as far as is known.
	age time.Duration
	// notAdmitted is the error of the last wait in the gate.
	notAdmitted error
	// trial is set if the content is quarantined and this call is its trial.
	trial   bool
	tried   map[fleet.Incarnation]bool
	results chan attempt
	pending int
	// sent counts the endpoints that the request may have reached.
	sent   int
	lastTo fleet.Instance
	// lastSent is when the request was sent to lastTo.
	lastSent time.Time
	// unanswered holds the sends without an answer so far, by endpoint.
	unanswered map[fleet.Incarnation]abandonedSend
	// retryTimer fires when a risky request that waits for an endpoint without another one is to
	// try again; riskyWait is how long it has waited so far.
	retryTimer <-chan time.Time
	riskyWait  time.Duration
	// failures counts the endpoints that answered with a failure of their own.
	failures int
	// mayHaveRun is set if an endpoint may have run the request.
	mayHaveRun bool
}

// attempt is the result of one send.
type attempt struct {
	to     fleet.Instance
	answer *Answer
	err    error
	took   time.Duration
	// crashed is set if the endpoint broke off the request because it crashed.
	crashed bool
}

// run sends the request until an answer is final.
func (c *call) run(ctx context.Context) (*Answer, error) {
	// The other attempts are cancelled once there is an answer. They are kept by incarnation,
	// since the request is sent to each incarnation at most once.
	cancels := map[fleet.Incarnation]context.CancelFunc{}
	defer func() {
		for _, cancel := range cancels {
			cancel()
		}
	}()
	var lastErr error
	var fallback *Answer
	var lastReason string
	start := func(reason string) bool {
		risky := c.suspected()
		next, ok := c.reserve(ctx, reason, risky)
		if !ok {
			return false
		}
		if former := cancels[next.to.Incarnation()]; former != nil {
			former() // it has ended: the endpoint declined it
		}
		cancels[next.to.Incarnation()] = c.send(ctx, next, risky)
		return true
	}
	if ctx.Err() != nil {
		return nil, c.contextRefusal(ctx)
	}
	start("")
	hedge := time.NewTimer(c.hedgeAfter())
	defer hedge.Stop()
	for c.pending > 0 || c.waiting() {
		select {
		case <-ctx.Done():
			return nil, c.contextRefusal(ctx)
		case <-hedge.C:
			switch {
			case !c.repeatable() || c.pending >= maxParallel || !c.maySendToAnother():
			case start(ReasonSlow):
				c.Counters.Retry(c.request.Route.Name, ReasonSlow)
			case c.gate != nil:
				hedge.Reset(c.hedgeAfter())
			}
			continue
		case <-c.retryTimer:
			c.retryTimer = nil
			if c.maySendToAnother() && start(lastReason) {
				c.countRetry(lastReason)
			}
		case a := <-c.results:
			c.pending--
			c.logBroken(a)
			if a.crashed || !errors.Is(a.err, ErrBroken) {
				delete(c.unanswered, a.to.Incarnation())
			}
			reason := c.retryReason(a)
			if reason == "" {
				if a.answer.Stream != nil {
					delete(cancels, a.to.Incarnation()) // the stream still needs its context
				}
				return a.answer, nil
			}
			if a.answer != nil && !a.answer.Declined {
				fallback = a.answer
			}
			lastErr, lastReason = a.err, reason
			c.forgetTried(a)
			if ctx.Err() != nil {
				return nil, c.contextRefusal(ctx)
			}
			if c.mayRetry(reason) && c.maySendToAnother() && start(reason) {
				c.countRetry(reason)
				if c.gate != nil {
					hedge.Reset(c.hedgeAfter())
				}
			}
		}
	}
	if fallback != nil {
		return fallback, nil
	}
	if refusal := c.gateRefusal(ctx); refusal != nil {
		return nil, refusal
	}
	return nil, c.refusal(cmp.Or(lastReason, ReasonNoEndpoint), lastErr)
}

// countRetry counts a send that follows a failed one; reason is empty for the first send, which
// is not counted.
func (c *call) countRetry(reason string) {
	if reason != "" {
		c.Counters.Retry(c.request.Route.Name, reason)
	}
}

// exhausted reports whether the request may have reached as many endpoints as its route allows.
func (c *call) exhausted() bool { return c.request.Reached+c.sent >= c.request.Route.MaxAttempts }

// pickEndpoint picks the endpoint of the next send and counts the send in the picker. A risky
// request, under which an endpoint has crashed, goes to an endpoint that has no other risky one
// from this process, or waits for one.
func (c *call) pickEndpoint(risky bool) (fleet.Instance, bool) {
	if c.exhausted() {
		return fleet.Instance{}, false
	}
	query := picker.Query{
		Candidates: c.View.Snapshot().OfService(c.service), Tried: c.tried, Zone: c.Zone, Request: c.request.ID, Now: time.Now(),
		AvoidRisky: risky && c.riskyWait < maxRiskyWait,
	}
	to, ok := c.picker.Take(query, risky)
	switch {
	case ok:
	case query.AvoidRisky:
		c.awaitLowRisk(query)
	case !risky:
		query.Candidates = c.otherEndpoints()
		to, ok = c.picker.Take(query, risky)
	}
	return to, ok
}

// send sends the request to the place that reserve has returned, and returns the function that
// cancels the send.
func (c *call) send(ctx context.Context, next place, risky bool) context.CancelFunc {
	to := next.to
	ctx, cancel := context.WithCancel(ctx)
	c.tried[to.Incarnation()], c.lastTo, c.lastSent = true, to, time.Now()
	c.unanswered[to.Incarnation()] = abandonedSend{to: to, sent: c.lastSent}
	c.sent++
	c.pending++
	left := time.Until(c.request.limit())
	meterEnd := func() {}
	if c.Meter != nil {
		meterEnd = c.Meter(to)
	}
	go func() {
		defer meterEnd()
		began := time.Now()
		settle := c.countRun(began)
		answer, err := c.Sender.Send(ctx, to, c.request, left)
		settle(answer, err)
		took := time.Since(began)
		c.picker.End(to.Incarnation(), c.outcome(ctx, answer, err, took, risky), time.Now())
		c.endLease(ctx, next, answer, took)
		c.results <- attempt{to: to, answer: answer, err: err, took: took, crashed: c.reportIfCrashed(ctx, to, err, took)}
	}()
	return cancel
}

// countRun counts a run as started when it is sent, since its answer may come long after the
// counts for the time of sending have to be reported. The returned function, which is called with
// the answer, withdraws the count if the endpoint did not start the run. A stream is counted only
// when its answer comes, since it starts with its first event; one that ends before that did not
// start.
func (c *call) countRun(sent time.Time) (settle func(*Answer, error)) {
	if c.OnRunStarted == nil {
		return func(*Answer, error) {}
	}
	if c.request.Route.Kind == fleet.KindStream {
		return func(answer *Answer, err error) {
			if err == nil && !answer.Declined {
				c.OnRunStarted(c.request.Organisation, startTime(answer, sent))
			}
		}
	}
	withdraw := c.OnRunStarted(c.request.Organisation, sent)
	return func(answer *Answer, err error) {
		if !started(answer, err) {
			withdraw()
		}
	}
}

// started reports whether an endpoint started to work on a send, as far as is known: a send
// without an answer counts as started.
func started(answer *Answer, err error) bool {
	if err != nil {
		return !errors.Is(err, ErrUnsent)
	}
	return !answer.Declined
}

// startTime returns when an endpoint started a stream that was sent at a given time: with its
// first event, or when it was sent if it has no events.
func startTime(answer *Answer, sent time.Time) time.Time {
	if answer != nil && answer.Stream != nil {
		return time.Now()
	}
	return sent
}

// outcome returns what a send says about its endpoint.
func (c *call) outcome(ctx context.Context, answer *Answer, err error, took time.Duration, risky bool) picker.Outcome {
	o := picker.Outcome{Answered: err == nil || ctx.Err() != nil, Kind: c.request.Route.Name, Risky: risky}
	if err != nil {
		return o
	}
	if !answer.Declined && answer.Stream == nil {
		o.Took = took
	}
	return o
}

// retryReason returns why an attempt is not final; empty if it is.
func (c *call) retryReason(a attempt) string {
	switch {
	case errors.Is(a.err, ErrUnsent):
		c.sent-- // it reached no endpoint
		return ReasonUnsent
	case a.err != nil:
		c.mayHaveRun = true
		return ReasonBroken
	case a.answer.Declined:
		if a.answer.misdirected() {
			c.View.ReportStale() // another incarnation than the listed one
		}
		c.sent-- // the endpoint says that it did not run it
		return ReasonDeclined
	}
	c.mayHaveRun = true
	if a.answer.Stream == nil {
		c.Quarantine.ReportServed(c.fingerprint)
	}
	if a.answer.Status == http.StatusInternalServerError {
		c.failures++
	}
	a.answer.Failures = c.failures
	if a.answer.Status >= http.StatusInternalServerError && c.repeatable() {
		return ReasonFailed
	}
	return ""
}

// repeatable reports whether the request may run more than once.
func (c *call) repeatable() bool { return c.request.Route.Kind == fleet.KindSafe }

// mayRetry reports whether the request may be sent again after a failure.
func (c *call) mayRetry(reason string) bool {
	switch reason {
	case ReasonUnsent, ReasonDeclined:
		return !c.mayHaveRun || c.repeatable()
	}
	return c.repeatable()
}

func (c *call) hedgeAfter() time.Duration {
	return max(minHedge, time.Duration(hedgeShare*float64(c.request.Route.Objective)))
}

// refusal returns the final answer to a request that no endpoint answered.
func (c *call) refusal(reason string, cause error) *Refusal {
	return &Refusal{
		NotRun: !c.mayHaveRun && c.pending == 0, Reason: reason, RetryAfter: retryAfter, Cause: cause, Failures: c.failures,
	}
}

// contextRefusal returns the final answer to a request that has timed out, whose client has
// gone, or that this process aborts since it stops.
func (c *call) contextRefusal(ctx context.Context) *Refusal {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errTimeout):
		return c.refusal(ReasonTimeout, nil)
	case errors.Is(cause, drain.ErrEnded):
		return c.stopRefusal()
	}
	return c.refusal(ReasonClientGone, nil)
}
