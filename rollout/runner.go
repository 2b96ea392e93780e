package rollout

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/api"
	"mulberryscale.example/attempt"
	"mulberryscale.example/membership"
	"mulberryscale.example/observe"
	"mulberryscale.example/retry"
	"mulberryscale.example/routing"
	"mulberryscale.example/table"
)

// DefaultRetention is how long an agent keeps a run going, and its result afterwards,
// for a trainer whose entry has disconnected.
const DefaultRetention = 2 * time.Minute

// Scorer scores finished samples.
type Scorer interface {
	// Score scores a sample of a trainer's row; its error is an *api.Refusal.
	Score(ctx context.Context, row *table.Row, s *api.Sample) (float64, error)
}

// Runner runs steps. Its fields are set once, before the first step.
type Runner struct {
	// ID is the entry's own id, reported in refusals.
	ID     string
	Zone   string
	Client *attempt.Client
	View   *membership.View
	// Router picks the agent for a sample.
	Router routing.Picker
	Budget *retry.Budget
	// Scorer scores samples; it may be nil if no row has a scorer.
	Scorer    Scorer
	Retention time.Duration
	Counters  *observe.Counters
	Log       logrus.FieldLogger
	// Seed seeds the random choices of each step's placements.
	Seed uint64
	// Policy says how samples are placed and moved.
	Policy Policy
}

// Policy says how the samples of a step are placed and moved.
type Policy struct {
	// Backlog is how many samples of a step may wait at one agent that has no
	// free slot; 0 means DefaultBacklog.
	Backlog int
	// NoMoves keeps samples on their engines, however slow; it disables parking too.
	NoMoves bool
}

// DefaultBacklog is large enough that each row's next sample is already in the agents'
// fair queues when a slot becomes free.
const DefaultBacklog = 2

// ResultHandler receives the samples and placements of a step. It is called by one
// goroutine. An error means that the trainer's connection is lost.
type ResultHandler interface {
	Sample(s *api.Sample) error
	Placement(p api.Placement) error
}

// errStepEnded is the cancellation cause of samples that still run when the step is complete.
var errStepEnded = errors.New("the step has ended")

// step is the state of one running step.
type step struct {
	*Runner
	row        *table.Row
	req        *api.StepRequest
	minVersion uint64
	// waitFor is how many of the samples the trainer waits for.
	waitFor int
	placer  *placer
	events  chan event
	// agentRates is the last known token rate of one sample at each agent, in tokens
	// a second, by agent id; only step.watch uses it.
	agentRates map[string]float64
	// lengths are the lengths in tokens of samples that finished or were parked.
	lengthsMu sync.Mutex
	lengths   []int
	// tokens counts the tokens of the step's finished samples, movedTokens the
	// tokens that discarded runs generated in vain.
	tokens      atomic.Int64
	movedTokens atomic.Int64
	// abandoned are the keys of runs whose results are not needed any more, by agent.
	abandonedMu sync.Mutex
	abandoned   map[peer][]string
}

// event is sent by a sample's task to its step; exactly one field is set.
type event struct {
	sample    *api.Sample
	placement *api.Placement
	refused   *refusedSample
}

type refusedSample struct {
	id     string
	reason *api.Refusal
}

// Run runs a step until the trainer has received as many samples as it waits for, every
// sample is delivered or refused, or ctx is done. The error is that of handler or ctx.
func (r *Runner) Run(ctx context.Context, row *table.Row, req *api.StepRequest, minVersion uint64, handler ResultHandler) (*api.StepEnd, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &step{
		Runner: r, row: row, req: req, minVersion: minVersion,
		placer: newPlacer(r, rand.New(rand.NewPCG(r.Seed, req.Session))),
		events: make(chan event), abandoned: map[peer][]string{},
		waitFor: WaitFor(row, req), agentRates: map[string]float64{},
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.placer.run(ctx) })
	tasks := make([]*task, len(req.Samples))
	for i := range req.Samples {
		tasks[i] = newTask(s, &req.Samples[i])
		wg.Go(func() { tasks[i].run(ctx) })
	}
	wg.Go(func() { s.watch(ctx, tasks) })
	end, err := s.collect(ctx, handler)
	cancel(errStepEnded)
	wg.Wait()
	if err != nil {
		return nil, err
	}
	s.reportLeftovers(ctx, tasks, end)
	return end, nil
}

// collect passes the events of the tasks to handler until enough samples are delivered or
// all are settled.
func (s *step) collect(ctx context.Context, handler ResultHandler) (*api.StepEnd, error) {
	end := &api.StepEnd{}
	for settled := 0; settled < len(s.req.Samples) && end.Delivered < s.waitFor; {
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case ev := <-s.events:
			if ev.placement == nil {
				settled++
			}
			if err := deliver(ev, handler, end); err != nil {
				return nil, err
			}
		}
	}
	return end, nil
}

func deliver(ev event, handler ResultHandler, end *api.StepEnd) error {
	switch {
	case ev.sample != nil:
		end.Delivered++
		return handler.Sample(ev.sample)
	case ev.placement != nil:
		return handler.Placement(*ev.placement)
	}
	end.Undelivered = append(end.Undelivered, api.Undelivered{ID: ev.refused.id, Reason: ev.refused.reason})
	return nil
}

// reportLeftovers lists the samples that are not settled at the end of the step, and
// cancels them unless the row carries them over.
func (s *step) reportLeftovers(ctx context.Context, tasks []*task, end *api.StepEnd) {
	carry := s.row.Leftover != table.LeftoverCancel
	forget := s.takeAbandoned()
	for _, t := range tasks {
		if t.settled {
			continue
		}
		end.Undelivered = append(end.Undelivered, api.Undelivered{ID: t.req.ID, CarriedOver: carry})
		if !carry && t.lastPeer != (peer{}) {
			forget[t.lastPeer] = append(forget[t.lastPeer], t.key)
		}
	}
	s.forgetLater(ctx, forget)
}

// WaitFor returns how many more samples the trainer of a step waits for: the number in
// the request, else the row's share of the samples rounded up, less the samples that the
// trainer already holds.
func WaitFor(row *table.Row, req *api.StepRequest) int {
	n := len(req.Samples)
	total := n + req.Received
	want := total
	if row.WaitShare > 0 && row.WaitShare < 1 {
		want = int(math.Ceil(row.WaitShare * float64(total)))
	}
	if req.WaitFor > 0 {
		want = req.WaitFor
	}
	return min(n, max(0, want-req.Received))
}
