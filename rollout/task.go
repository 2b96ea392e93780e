package rollout

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"mulberryscale.example/api"
	"mulberryscale.example/attempt"
	"mulberryscale.example/generation"
	"mulberryscale.example/membership"
	"mulberryscale.example/retry"
	"mulberryscale.example/routing"
	"mulberryscale.example/wire"
)

const (
	// initialDelay and maxDelay bound the backoff between the attempts of a sample.
	initialDelay = 20 * time.Millisecond
	maxDelay     = time.Second
	// attachTimeout is how long an agent may take to send the text of a run that a
	// task attaches to.
	attachTimeout = 500 * time.Millisecond
	// chunkInterval is the time between two chunks of a sample. It may be long: a
	// trainer waits for whole samples, and text lost in an agent's crash is generated again.
	chunkInterval = 50 * time.Millisecond
)

// StepSample is the processing step named in refusals of samples.
const StepSample = "entry.sample"

// task runs one sample until it is delivered or refused.
type task struct {
	s        *step
	req      *api.SampleRequest
	key      string
	progress generation.Progress
	lastPeer peer // agent that the sample was last sent to
	avoid    map[string]bool
	settled  bool // delivered or refused; false until the step has taken the event
	// current is the active run, nil for none; step.watch sends the placements that it
	// should move to on moves.
	current atomic.Pointer[agentRun]
	moved   atomic.Int32
	moves   chan *placement
	// parks signals that the sample should free its slot; parked counts how often it did.
	parks  chan struct{}
	parked atomic.Int32
}

func newTask(s *step, req *api.SampleRequest) *task {
	return &task{
		s: s, req: req, key: Key(s.row.Name, req.ID), avoid: map[string]bool{},
		moves: make(chan *placement, 1), parks: make(chan struct{}, 1),
	}
}

// Key returns the key that identifies a sample at agents.
func Key(row, sampleID string) string { return row + "/" + sampleID }

// run retries until the sample is delivered, refused for good, or ctx is done.
func (t *task) run(ctx context.Context) {
	done, reason := t.generate(ctx)
	if ctx.Err() != nil {
		return
	}
	ev := event{refused: &refusedSample{id: t.req.ID, reason: reason}}
	if reason == nil {
		sample, refusal := t.score(ctx, done)
		ev = event{sample: sample}
		if refusal != nil {
			ev = event{refused: &refusedSample{id: t.req.ID, reason: refusal}}
		}
	}
	t.send(ctx, ev)
}

// sendPlacement reports to the trainer which agent the sample runs on.
func (t *task) sendPlacement(ctx context.Context) {
	t.send(ctx, event{placement: &api.Placement{ID: t.req.ID, Hint: t.lastPeer.hint()}})
}

// send passes an event to the step. A result or refusal that the step did not take
// leaves the sample unsettled.
func (t *task) send(ctx context.Context, ev event) {
	select {
	case t.s.events <- ev:
		t.settled = ev.placement == nil
	case <-ctx.Done():
	}
}

// generate attempts the sample until it has a fresh result, and returns the result or the
// final refusal.
func (t *task) generate(ctx context.Context) (*wire.Done, *api.Refusal) {
	if hint, ok := t.s.req.Hints[t.req.ID]; ok {
		if done := t.attachToHint(ctx, hint); done != nil {
			return done, nil
		}
	}
	delays := retry.NewBackoff(initialDelay, maxDelay)
	for {
		before := t.progress.Tokens()
		done, refusal := t.attempt(ctx)
		if refusal == nil && generation.Fresh(done.Spans, t.s.minVersion) {
			t.s.recordLength(generation.CountTokens(done.Spans))
			t.s.tokens.Add(int64(generation.CountTokens(done.Spans)))
			return done, nil
		}
		if refusal == nil {
			refusal = t.discardStale()
		}
		if ctx.Err() != nil || !retry.Repeatable(refusal, true) {
			return nil, refusal
		}
		t.countRetry(refusal)
		if refusal.Code == api.CodePreempted {
			continue // no failure, so no backoff: the placer waits for a free slot
		}
		if t.progress.Tokens() > before {
			delays.Reset()
		}
		t.wait(ctx, delays.NextBackOff(), refusal)
	}
}

// wait sleeps for delay before the next attempt, or for maxDelay when the attempt may have
// run and the retry budget is exhausted.
func (t *task) wait(ctx context.Context, delay time.Duration, refusal *api.Refusal) {
	if refusal.NotRun != api.NotRunTrue && !t.s.Budget.Take() {
		delay = maxDelay
	}
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// attempt places the sample and runs it once.
func (t *task) attempt(ctx context.Context) (*wire.Done, *api.Refusal) {
	if !t.progress.FreshFor(t.s.minVersion) {
		t.progress = generation.Progress{}
	}
	route := t.routeRequest()
	route.Exclude = t.avoid
	pl, err := t.s.placer.place(ctx, route, t.priority())
	if err != nil {
		return nil, t.refusal(api.CodeCancelled, err, api.NotRunUnknown)
	}
	defer pl.release()
	t.lastPeer = peerOf(pl.agent)
	t.sendPlacement(ctx)
	done, refusal, last := t.runMovable(ctx, pl)
	if refusal == nil {
		return done, nil
	}
	if refusal.Code == api.CodeTransport && refusal.NotRun != api.NotRunTrue {
		done, refusal = t.reattach(ctx, last, refusal)
	}
	if refusal != nil && refusal.Code != api.CodePreempted {
		t.avoid = map[string]bool{last.ID: true}
	}
	return done, refusal
}

// routeRequest describes the agents that can take the sample; any goroutine may call it.
func (t *task) routeRequest() *routing.Request {
	return &routing.Request{
		Model: t.s.row.Model, Zone: t.s.Zone, MinVersion: t.s.minVersion,
		PrefixKey: routing.PrefixKey(t.req.Prompt),
	}
}

// reattach reconnects to a run whose stream broke: the run continues at the agent when only
// the connection was lost. On failure it returns brokenStream, the original refusal.
func (t *task) reattach(ctx context.Context, a *membership.Agent, brokenStream *api.Refusal) (*wire.Done, *api.Refusal) {
	a.InFlight.Begin()
	defer a.InFlight.End()
	done, refusal := t.attach(ctx, a)
	if refusal != nil {
		return nil, brokenStream
	}
	return done, nil
}

// attachToHint attaches to the run at the agent on which an earlier session placed the
// sample; nil when the agent has no fresh result.
func (t *task) attachToHint(ctx context.Context, hint string) *wire.Done {
	p, err := parseHint(hint)
	if err != nil {
		t.s.Log.WithError(err).WithField("sample", t.req.ID).Warn("placement hint ignored")
		return nil
	}
	a := t.s.View.Snapshot().Agent(p.id)
	if a == nil || a.Addr != p.addr {
		a = &membership.Agent{ID: p.id, Addr: p.addr, InFlight: &membership.InFlight{}}
	}
	a.InFlight.Begin()
	defer a.InFlight.End()
	t.lastPeer = p
	done, refusal := t.attach(ctx, a)
	if refusal != nil || !generation.Fresh(done.Spans, t.s.minVersion) {
		return nil
	}
	return done
}

// attach waits for the result of a run that an agent may have. If the agent does not send
// the text so far within attachTimeout, the run is abandoned.
func (t *task) attach(ctx context.Context, a *membership.Agent) (*wire.Done, *api.Refusal) {
	t.s.Counters.Retry(t.s.row.Name, string(retry.ReasonAttach))
	run := t.newRun()
	run.AttachOnly = true
	r := t.startRun(ctx, a, run, t.progress.Clone(), func() {})
	timer := time.NewTimer(attachTimeout)
	defer timer.Stop()
	select {
	case <-r.producing:
		<-r.finished
	case <-r.finished:
	case <-timer.C:
		r.stop()
		t.s.abandon(peerOf(a), t.key)
	}
	t.progress = r.snapshot()
	return r.done, r.refusal
}

func (t *task) newRun() *wire.Run { return t.runAfter(&t.progress) }

// runAfter returns a run that resumes after a text.
func (t *task) runAfter(text *generation.Progress) *wire.Run {
	return &wire.Run{
		RunID: uuid.NewString(), Key: t.key, Row: t.s.row.Name, Class: wire.ClassTraining,
		Budget: t.s.row.Deadline, Retention: t.s.Retention, MinVersion: t.s.minVersion,
		ExpectedTokens: t.remaining(), ChunkInterval: chunkInterval,
		Generate: &wire.Generate{
			Model: t.s.row.Model, Prompt: t.req.Prompt, MaxTokens: t.req.MaxTokens,
			Temperature: t.req.Temperature, Seed: t.req.Seed,
			Prefix: text.Text, PrefixSpans: text.Clone().Spans,
		},
	}
}

// priority orders the samples that wait for an agent: first those interrupted by a failure
// of an agent or engine, or preempted for an interactive request, then those that have not
// started, then those that were parked.
// When the trainer waits for all samples, the longest go first within a level; else, and
// among parked samples, the shortest do.
func (t *task) priority() priority {
	pr := priority{level: levelFresh, work: t.remaining()}
	switch {
	case t.parked.Load() > 0:
		pr = priority{level: levelParked + level(t.parked.Load()) - 1, work: t.progress.Tokens()}
	case t.progress.Tokens() > 0:
		pr = priority{level: levelResumed, work: t.progress.Tokens()}
	}
	if t.s.waitsForAll() && pr.level < levelParked {
		pr.work = -pr.work
	}
	return pr
}

// remaining returns the expected remaining work in tokens, at least 1.
func (t *task) remaining() int {
	expected := t.req.ExpectedTokens
	if expected == 0 {
		expected = t.req.MaxTokens
	}
	return max(1, expected-t.progress.Tokens())
}

// discardStale drops a result of weights that are too old, and returns the refusal for it.
func (t *task) discardStale() *api.Refusal {
	t.progress = generation.Progress{}
	return t.refusal(api.CodeStale, errStale, api.NotRunFalse)
}

var errStale = errors.New("the sample was produced by weights older than the staleness bound allows")

func (t *task) refusal(code api.Code, err error, notRun api.NotRun) *api.Refusal {
	return &api.Refusal{Code: code, Message: err.Error(), NotRun: notRun, Step: StepSample, Peer: t.s.ID}
}

var reasonByCode = map[api.Code]retry.Reason{
	api.CodePreempted:      retry.ReasonPreempt,
	api.CodeTransport:      retry.ReasonBroken,
	api.CodeEndpointFailed: retry.ReasonEndpoint,
	api.CodeStale:          retry.ReasonStale,
}

// countRetry counts and logs a retry by its reason.
func (t *task) countRetry(refusal *api.Refusal) {
	reason, ok := reasonByCode[refusal.Code]
	switch {
	case refusal.Step == stepPark:
		reason = retry.ReasonPark
	case !ok:
		reason = retry.ReasonRefused
	}
	t.s.Counters.Retry(t.s.row.Name, string(reason))
	t.s.Log.WithError(refusal).WithField("sample", t.req.ID).Debug("retrying sample")
}

// score builds the sample from its result, and has it scored when its row names a scorer.
func (t *task) score(ctx context.Context, done *wire.Done) (*api.Sample, *api.Refusal) {
	sample := &api.Sample{
		ID: t.req.ID, Group: t.req.Group, Text: done.Text,
		Tokens: generation.CountTokens(done.Spans), FinishReason: done.FinishReason,
		Versions: done.Spans, RunID: done.RunID,
	}
	if t.s.row.Scorer == "" {
		return sample, nil
	}
	score, err := t.s.Scorer.Score(ctx, t.s.row, sample)
	if err != nil {
		return nil, attempt.AsRefusal(err, StepSample, t.s.ID)
	}
	sample.Score = &score
	return sample, nil
}
