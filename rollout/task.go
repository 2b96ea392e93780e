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

// Delays between the attempts of one sample, and the time that an agent may
// take to show the text of a run that it is asked for again.
const (
	firstDelay    = 20 * time.Millisecond
	mostDelay     = time.Second
	attachTimeout = 500 * time.Millisecond
	// chunkInterval spaces the chunks of a sample: a trainer waits for whole
	// samples, and what is lost with an agent is generated again.
	chunkInterval = 50 * time.Millisecond
)

// StepSample is the step named in refusals of samples.
const StepSample = "entry.sample"

// task brings one sample to its end.
type task struct {
	s        *step
	req      *api.SampleRequest
	key      string
	progress generation.Progress
	at       peer // where it was last sent
	avoid    map[string]bool
	settled  bool // delivered or refused; written before the event is sent
	// current is the leg that runs, for the mover; moves takes its placements.
	current atomic.Pointer[leg]
	moved   atomic.Int32
	moves   chan *placement
	// parks tells the sample to make room; parked counts how often it did.
	parks  chan struct{}
	parked atomic.Int32
}

func newTask(s *step, req *api.SampleRequest) *task {
	return &task{
		s: s, req: req, key: Key(s.row.Name, req.ID), avoid: map[string]bool{},
		moves: make(chan *placement, 1), parks: make(chan struct{}, 1),
	}
}

// Key is a sample's identity at agents.
func Key(row, sampleID string) string { return row + "/" + sampleID }

// run tries until the sample is done, refused for good, or ctx ends.
func (t *task) run(ctx context.Context) {
	done, reason := t.finish(ctx)
	if ctx.Err() != nil {
		return
	}
	ev := event{refused: &refusedSample{id: t.req.ID, reason: reason}}
	if reason == nil {
		sample, scored := t.scored(ctx, done)
		ev = event{sample: sample}
		if scored != nil {
			ev = event{refused: &refusedSample{id: t.req.ID, reason: scored}}
		}
	}
	t.send(ctx, ev)
}

// sendPlacement tells the trainer where the sample runs now.
func (t *task) sendPlacement(ctx context.Context) {
	t.send(ctx, event{placement: &api.Placement{ID: t.req.ID, Hint: t.at.hint()}})
}

// send gives an event to the step. A settling event that the step did not take
// leaves the sample unsettled.
func (t *task) send(ctx context.Context, ev event) {
	select {
	case t.s.events <- ev:
		t.settled = ev.placement == nil
	case <-ctx.Done():
	}
}

// finish returns the sample's result, or the refusal that ends it.
func (t *task) finish(ctx context.Context) (*wire.Done, *api.Refusal) {
	if hint, ok := t.s.req.Hints[t.req.ID]; ok {
		if done := t.attachTo(ctx, hint); done != nil {
			return done, nil
		}
	}
	delays := retry.NewBackoff(firstDelay, mostDelay)
	for {
		if refusal := t.held(); refusal != nil {
			return nil, refusal
		}
		before, began := t.progress.Tokens(), time.Now()
		done, refusal := t.attempt(ctx)
		t.noteEnd(refusal, time.Since(began))
		if refusal == nil && generation.Fresh(done.Spans, t.s.minVersion) {
			t.s.noteLength(generation.CountTokens(done.Spans))
			t.s.tokens.Add(int64(generation.CountTokens(done.Spans)))
			return done, nil
		}
		if refusal == nil {
			refusal = t.stale()
		}
		if ctx.Err() != nil || !retry.Repeatable(refusal, true) {
			return nil, refusal
		}
		t.count(refusal)
		if refusal.Code == api.CodePreempted {
			continue // nothing is wrong, and the placer waits for a free slot
		}
		if t.progress.Tokens() > before {
			delays.Reset()
		}
		t.wait(ctx, delays.NextBackOff(), refusal)
	}
}

// wait waits before the next attempt: longer when attempts that ran have used up the budget.
func (t *task) wait(ctx context.Context, delay time.Duration, refusal *api.Refusal) {
	if refusal.NotRun != api.NotRunTrue && !t.s.Budget.Take() {
		delay = mostDelay
	}
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// attempt places the sample and runs it, once.
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
	defer pl.end()
	t.at = peerOf(pl.agent)
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

// routeRequest says which agents can take the sample; any goroutine may call it.
func (t *task) routeRequest() *routing.Request {
	return &routing.Request{
		Model: t.s.row.Model, Zone: t.s.Zone, MinVersion: t.s.minVersion,
		PrefixKey: routing.PrefixKey(t.req.Prompt),
	}
}

// reattach asks an agent whose stream broke for the run, which goes on there
// when only the connection was lost.
func (t *task) reattach(ctx context.Context, a *membership.Agent, broke *api.Refusal) (*wire.Done, *api.Refusal) {
	a.Sends.Begin()
	defer a.Sends.End()
	done, refusal := t.attach(ctx, a)
	if refusal != nil {
		return nil, broke
	}
	return done, nil
}

// attachTo asks the agent that an earlier session placed the sample at.
func (t *task) attachTo(ctx context.Context, hint string) *wire.Done {
	p, err := parseHint(hint)
	if err != nil {
		t.s.Log.WithError(err).WithField("sample", t.req.ID).Warn("placement hint ignored")
		return nil
	}
	a := t.s.View.Snapshot().Agent(p.id)
	if a == nil || a.Addr != p.addr {
		a = &membership.Agent{ID: p.id, Addr: p.addr, Sends: &membership.Sends{}}
	}
	a.Sends.Begin()
	defer a.Sends.End()
	t.at = p
	done, refusal := t.attach(ctx, a)
	if refusal != nil || !generation.Fresh(done.Spans, t.s.minVersion) {
		return nil
	}
	return done
}

// attach waits for a run that an agent may have. An agent that does not show
// the run's text so far within attachTimeout is left, and told to forget it.
func (t *task) attach(ctx context.Context, a *membership.Agent) (*wire.Done, *api.Refusal) {
	t.s.Counters.Retry(t.s.row.Name, string(retry.ReasonAttach))
	run := t.newRun()
	run.AttachOnly = true
	l := t.startLeg(ctx, a, run, t.progress.Clone(), func() {})
	timer := time.NewTimer(attachTimeout)
	defer timer.Stop()
	select {
	case <-l.producing:
		<-l.ended
	case <-l.ended:
	case <-timer.C:
		l.stop()
		t.s.abandon(peerOf(a), t.key)
	}
	t.progress = l.text()
	return l.done, l.refusal
}

func (t *task) newRun() *wire.Run { return t.runAfter(&t.progress) }

// runAfter is a run that goes on after a text.
func (t *task) runAfter(text *generation.Progress) *wire.Run {
	return &wire.Run{
		RunID: uuid.NewString(), Key: t.key, Row: t.s.row.Name, Class: wire.ClassTraining,
		Budget: t.s.row.Deadline, Linger: t.s.Retention, MinVersion: t.s.minVersion,
		ExpectedTokens: t.remaining(), ChunkInterval: chunkInterval,
		Generate: &wire.Generate{
			Model: t.s.row.Model, Prompt: t.req.Prompt, MaxTokens: t.req.MaxTokens,
			Temperature: t.req.Temperature, Seed: t.req.Seed,
			Prefix: text.Text, PrefixSpans: text.Clone().Spans,
		},
	}
}

// priority orders the samples that wait for an agent: those that an agent or
// engine lost in mid-run first, then those that have not begun, then those that
// were parked. When the trainer waits for all samples, the longest go first
// within a level; else the shortest do.
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

// remaining is the expected remaining work in tokens.
func (t *task) remaining() int {
	expected := t.req.ExpectedTokens
	if expected == 0 {
		expected = t.req.MaxTokens
	}
	return max(1, expected-t.progress.Tokens())
}

// stale drops a result whose weights were too old.
func (t *task) stale() *api.Refusal {
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

// count counts a retry by its reason.
func (t *task) count(refusal *api.Refusal) {
	reason, ok := reasonByCode[refusal.Code]
	switch {
	case refusal.Step == stepPark:
		reason = retry.ReasonPark
	case !ok:
		reason = retry.ReasonRefused
	}
	t.s.Counters.Retry(t.s.row.Name, string(reason))
	t.s.Log.WithError(refusal).WithField("sample", t.req.ID).Debug("sample is tried again")
}

// scored makes the sample and has it scored where its row says so.
func (t *task) scored(ctx context.Context, done *wire.Done) (*api.Sample, *api.Refusal) {
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
