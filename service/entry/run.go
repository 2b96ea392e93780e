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

// Delays between the attempts of one interactive call.
const (
	firstDelay = 10 * time.Millisecond
	mostDelay  = 500 * time.Millisecond
)

const (
	// maxSwapWait is how long a call waits for endpoints that all change their
	// weights: as long as a rolling swap takes, which no load exceeds that works.
	maxSwapWait = weights.DefaultSwapWindow
	// mostSwapDelay is the longest pause between two looks whether one is done:
	// a fifth of a second is within the aim of an interactive answer.
	mostSwapDelay = 200 * time.Millisecond
)

// wholeAnswerInterval spaces the chunks of an answer that the caller gets as a
// whole; they only serve to go on elsewhere after a failure.
const wholeAnswerInterval = 100 * time.Millisecond

// call is one interactive request on its way to an endpoint.
type call struct {
	row *table.Row
	// subject names its content.
	subject quarantine.Fingerprint
	// route says which endpoints can take it.
	route routing.Request
	// work is a run without id, identity and budget, which each attempt fills in.
	work wire.Run
	// idempotent says whether it may be sent again after it may have run.
	idempotent bool
	// ran is what is known of the attempts so far: whether one may have run.
	ran      mayHaveRun
	progress generation.Progress
	// onText takes in the progress after each chunk; it may be nil.
	onText func(*generation.Progress)
}

// runCall makes attempts until one succeeds or the call must be given up. A
// generation goes on elsewhere after what was generated.
func (e *Entry) runCall(ctx context.Context, c *call) (*wire.Done, *api.Refusal) {
	e.budget.CountAttempt()
	delays := retry.NewBackoff(firstDelay, mostDelay)
	c.route.Exclude = map[string]bool{}
	for {
		agent, refusal := e.pickReady(ctx, c)
		if refusal != nil {
			return nil, c.ran.correct(refusal)
		}
		done, refusal := e.attempt(ctx, c, agent)
		if refusal == nil {
			return done, nil
		}
		c.ran.note(refusal, c.progress.Tokens())
		if ctx.Err() != nil || !retry.Repeatable(refusal, c.idempotent) || !e.mayEndAnother(c) {
			return nil, c.ran.correct(refusal)
		}
		if !e.budget.Take() {
			e.cfg.Counters.Refusal(c.row.Name, api.CodeRetryBudget)
			return nil, c.ran.correct(refusal)
		}
		e.countRetry(c.row.Name, refusal)
		c.route.Exclude[agent.ID] = true
		if refusal = e.waitToRetry(ctx, delays.NextBackOff(), refusal); refusal != nil {
			return nil, c.ran.correct(refusal)
		}
	}
}

// mayHaveRun gathers what the refused attempts of a call prove together.
type mayHaveRun struct{ ran, unknown bool }

// note takes in the refusal of an attempt after which tokens were there.
func (m *mayHaveRun) note(r *api.Refusal, tokens int) {
	switch {
	case r.NotRun == api.NotRunFalse || tokens > 0:
		m.ran = true
	case r.NotRun == api.NotRunUnknown:
		m.unknown = true
	}
}

// correct makes a refusal of the last attempt say what holds for all of them.
func (m *mayHaveRun) correct(r *api.Refusal) *api.Refusal {
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

// waitToRetry waits, unless the deadline would pass meanwhile: then the call is
// refused at once.
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
	run := c.work
	run.RunID = uuid.NewString()
	run.Row = c.row.Name
	run.Budget = budgetOf(ctx)
	run.NonIdempotent = !c.idempotent
	run.Generate = resumed(c.work.Generate, &c.progress)
	if c.onText == nil {
		run.ChunkInterval = wholeAnswerInterval
	}
	return e.send(ctx, c, agent, &run)
}

// send sends a run to an agent once.
func (e *Entry) send(ctx context.Context, c *call, agent *membership.Agent, run *wire.Run) (*wire.Done, *api.Refusal) {
	agent.Sends.Begin()
	defer agent.Sends.End()
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
	e.noteEnd(c, agent.ID, refusal, time.Since(began))
	return done, refusal
}

// resumed is a generation that goes on after what was generated.
func resumed(g *wire.Generate, p *generation.Progress) *wire.Generate {
	if g == nil {
		return nil
	}
	after := *g
	after.Prefix = p.Text
	after.PrefixSpans = p.Clone().Spans
	return &after
}

// pickReady routes a call. While all endpoints that could take it change their
// weights, as with the swap policy "at_once", it waits for the first that is
// done, for at most maxSwapWait.
func (e *Entry) pickReady(ctx context.Context, c *call) (*membership.Agent, *api.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, maxSwapWait)
	defer cancel()
	delays := retry.NewBackoff(firstDelay, mostSwapDelay)
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

// swapping says whether an endpoint was dropped only because its weights are
// not whole yet.
func swapping(err error) bool {
	var none *routing.NoEndpointError
	return errors.As(err, &none) && none.DroppedBy(routing.FilterReady) > 0
}

// noEndpoint is the refusal of a request that no endpoint can take.
func (e *Entry) noEndpoint(err error) *api.Refusal {
	var none *routing.NoEndpointError
	if errors.As(err, &none) && none.DroppedBy(routing.FilterVersion) > 0 {
		return e.refusal(api.CodeStale, err.Error(), StepRoute, noEndpointRetryAfter)
	}
	return e.refusal(api.CodeNoEndpoint, err.Error(), StepRoute, noEndpointRetryAfter)
}

// newRand returns a cheap source for one choice, seeded by the runtime.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// admit applies the row's limits.
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
