package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"mulberryscale.example/api"
	"mulberryscale.example/generation"
	"mulberryscale.example/membership"
	"mulberryscale.example/quarantine"
	"mulberryscale.example/retry"
	"mulberryscale.example/routing"
	"mulberryscale.example/table"
	"mulberryscale.example/weights"
	"mulberryscale.example/wire"
)

// Bounds of the delay between two attempts of one interactive call.
const (
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

const (
	// maxSwapWait is how long a call waits while all endpoints change their weights: as
	// long as a rolling swap takes, which no successful load exceeds.
	maxSwapWait = weights.DefaultSwapWindow
	// maxSwapDelay is the longest delay between two checks for a ready endpoint: a fifth
	// of a second is within the latency objective of an interactive answer.
	maxSwapDelay = 200 * time.Millisecond
)

// unstreamedChunkInterval is the interval of chunks for an answer that is not streamed
// to the caller; they are only used to resume on another agent after a failure.
const unstreamedChunkInterval = 100 * time.Millisecond

// call is one interactive request on its way to an endpoint.
type call struct {
	row *table.Row
	// fingerprint identifies the call's content in the quarantine.
	fingerprint quarantine.Fingerprint
	// route describes the endpoints that can take the call.
	route routing.Request
	// template is the run without id, identity and budget, which each attempt fills in.
	template wire.Run
	// idempotent reports whether the call may be sent again after it may have run.
	idempotent bool
	// history records whether one of the attempts so far ran or may have run.
	history  runHistory
	progress generation.Progress
	// onText is called with the progress after each chunk; nil for a call that is not
	// streamed.
	onText func(*generation.Progress)
}

// runCall makes attempts until one succeeds or no further one is allowed. A generation
// is resumed on another agent after the text generated so far.
func (e *Entry) runCall(ctx context.Context, c *call) (*wire.Done, *api.Refusal) {
	e.budget.CountAttempt()
	delays := retry.NewBackoff(minRetryDelay, maxRetryDelay)
	c.route.Exclude = map[string]bool{}
	for {
		agent, refusal := e.pickReady(ctx, c)
		if refusal != nil {
			return nil, c.history.correct(refusal)
		}
		done, refusal := e.attempt(ctx, c, agent)
		if refusal == nil {
			return done, nil
		}
		c.history.record(refusal, c.progress.Tokens())
		if ctx.Err() != nil || !retry.Repeatable(refusal, c.idempotent) || !e.mayTryAnother(c) {
			return nil, c.history.correct(refusal)
		}
		if !e.budget.Take() {
			e.cfg.Counters.Refusal(c.row.Name, api.CodeRetryBudget)
			return nil, c.history.correct(refusal)
		}
		e.countRetry(c.row.Name, refusal)
		c.route.Exclude[agent.ID] = true
		if refusal = e.waitToRetry(ctx, delays.NextBackOff(), refusal); refusal != nil {
			return nil, c.history.correct(refusal)
		}
	}
}

// runHistory records whether any refused attempt of a call ran, or may have run.
type runHistory struct{ ran, unknown bool }

// record adds the refusal of an attempt; tokens is the number generated so far.
func (m *runHistory) record(r *api.Refusal, tokens int) {
	switch {
	case r.NotRun == api.NotRunFalse || tokens > 0:
		m.ran = true
	case r.NotRun == api.NotRunUnknown:
		m.unknown = true
	}
}

// correct returns the last attempt's refusal with a NotRun that holds for all attempts.
func (m *runHistory) correct(r *api.Refusal) *api.Refusal {
	notRun := r.NotRun
	switch {
	case m.ran:
		notRun = api.NotRunFalse
	case m.unknown && notRun == api.NotRunTrue:
		notRun = api.NotRunUnknown
	}
	if notRun == r.NotRun {
		return r
	}
	corrected := *r
	corrected.NotRun = notRun
	return &corrected
}

// waitToRetry waits for delay and returns nil. If the deadline would pass in that time,
// it returns the refusal at once.
func (e *Entry) waitToRetry(ctx context.Context, delay time.Duration, refusal *api.Refusal) *api.Refusal {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= delay {
		return refusal
	}
	select {
	case <-ctx.Done():
		return refusal
	case <-time.After(delay):
		return nil
	}
}

// attempt sends the call to an agent once.
func (e *Entry) attempt(ctx context.Context, c *call, agent *membership.Agent) (*wire.Done, *api.Refusal) {
	run := c.template
	run.RunID = uuid.NewString()
	run.Row = c.row.Name
	run.Budget = budgetOf(ctx)
	run.NonIdempotent = !c.idempotent
	run.Generate = resume(c.template.Generate, &c.progress)
	if c.onText == nil {
		run.ChunkInterval = unstreamedChunkInterval
	}
	return e.send(ctx, c, agent, &run)
}

// send sends a run to an agent once.
func (e *Entry) send(ctx context.Context, c *call, agent *membership.Agent, run *wire.Run) (*wire.Done, *api.Refusal) {
	agent.InFlight.Begin()
	defer agent.InFlight.End()
	began := time.Now()
	done, err := e.client.Run(ctx, agent, run, func(chunk *wire.Chunk) {
		c.progress.Add(chunk)
		if c.onText != nil {
			c.onText(&c.progress)
		}
	})
	var refusal *api.Refusal
	if err != nil {
		done, refusal = nil, e.asRefusal(err, StepRun)
	}
	e.reportOutcome(c, agent.ID, refusal, time.Since(began))
	return done, refusal
}

// resume returns a generation that continues g after the text generated so far; nil if g
// is nil.
func resume(g *wire.Generate, p *generation.Progress) *wire.Generate {
	if g == nil {
		return nil
	}
	resumed := *g
	resumed.Prefix = p.Text
	resumed.PrefixSpans = p.Clone().Spans
	return &resumed
}

// pickReady picks an agent for a call. While all endpoints that could take it change
// their weights, as with the swap policy "at_once", it waits until one is ready, for at
// most maxSwapWait.
func (e *Entry) pickReady(ctx context.Context, c *call) (*membership.Agent, *api.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, maxSwapWait)
	defer cancel()
	delays := retry.NewBackoff(minRetryDelay, maxSwapDelay)
	for waits := 0; ; waits++ {
		agent, err := e.interactive.Pick(&c.route, e.view.Snapshot(), newRand())
		if err == nil {
			return agent, nil
		}
		refusal := e.noEndpoint(err)
		if !swapping(err) {
			return nil, refusal
		}
		if waits == 0 {
			e.cfg.Counters.Retry(c.row.Name, string(retry.ReasonSwap))
		}
		if refusal = e.waitToRetry(ctx, delays.NextBackOff(), refusal); refusal != nil {
			return nil, refusal
		}
	}
}

// swapping reports whether an endpoint was dropped only because its weights are not
// completely loaded yet.
func swapping(err error) bool {
	var none *routing.NoEndpointError
	return errors.As(err, &none) && none.DroppedBy(routing.FilterReady) > 0
}

// noEndpoint returns the refusal of a request that no endpoint can take.
func (e *Entry) noEndpoint(err error) *api.Refusal {
	var none *routing.NoEndpointError
	if errors.As(err, &none) && none.DroppedBy(routing.FilterVersion) > 0 {
		return e.refusal(api.CodeStale, err.Error(), StepRoute, noEndpointRetryAfter)
	}
	return e.refusal(api.CodeNoEndpoint, err.Error(), StepRoute, noEndpointRetryAfter)
}

// newRand returns a cheap random source for one choice, seeded by the runtime.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// admit admits a call under the row's limits. The returned function is called with the
// number of generated tokens when the call is done.
func (e *Entry) admit(row *table.Row) (func(tokens int), *api.Refusal) {
	ticket, exceeded := e.limits.Admit(row, time.Now())
	if exceeded != nil {
		return nil, e.refusal(exceeded.Code, "the row's limit is reached", StepAdmit, exceeded.RetryAfter)
	}
	return func(tokens int) { ticket.Done(tokens, time.Now()) }, nil
}

var reasonByCode = map[api.Code]retry.Reason{
	api.CodeTransport:      retry.ReasonBroken,
	api.CodeEndpointFailed: retry.ReasonEndpoint,
	api.CodeStale:          retry.ReasonStale,
}

func (e *Entry) countRetry(row string, refusal *api.Refusal) {
	reason, ok := reasonByCode[refusal.Code]
	if !ok {
		reason = retry.ReasonRefused
	}
	e.cfg.Counters.Retry(row, string(reason))
}
