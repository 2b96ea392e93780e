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
	"mulberryscale.example/quarantine"
	"mulberryscale.example/retry"
	"mulberryscale.example/routing"
	"mulberryscale.example/table"
)

// DefaultRetention is how long an agent keeps a run and its result for a trainer
// whose entry is gone.
const DefaultRetention = 2 * time.Minute

// Scorer gives a finished sample its score.
type Scorer interface {
	// Score scores a sample of a trainer's row; its error is an *api.Refusal.
	Score(ctx context.Context, row *table.Row, s *api.Sample) (float64, error)
}

// Runner runs steps. Its fields are set once, before the first step.
type Runner struct {
	// ID is the entry's own id, named in refusals.
	ID     string
	Zone   string
	Client *attempt.Client
	View   *membership.View
	// Router picks the agent of a sample.
	Router routing.Picker
	Budget *retry.Budget
	// Scorer may be nil when no row has one.
	Scorer    Scorer
	Retention time.Duration
	Counters  *observe.Counters
	Log       logrus.FieldLogger
	// Seed seeds the placing of each step.
	Seed uint64
	// Policy says how samples are placed and moved.
	Policy Policy
	// Quarantine keeps samples that end endpoints away from them.
	Quarantine *quarantine.Tracker
}

// Policy says how the samples of a step are placed and moved.
type Policy struct {
	// Backlog is how many samples of a step may wait at one agent that has no
	// free slot; 0 means DefaultBacklog.
	Backlog int
	// NoMoves keeps samples on their engines, however slow.
	NoMoves bool
}

// DefaultBacklog keeps each row's next sample at hand in the agents' fair queues.
const DefaultBacklog = 2

// ResultHandler takes in what a step brings; it is called by one goroutine. An error
// means that the trainer's connection is gone.
type ResultHandler interface {
	Sample(s *api.Sample) error
	Placement(p api.Placement) error
}

// errStepEnded is the cause with which samples still running are left.
var errStepEnded = errors.New("the step has ended")

// step is one running step.
type step struct {
	*Runner
	row        *table.Row
	req        *api.StepRequest
	minVersion uint64
	// waitFor is how many of the samples the trainer waits for.
	waitFor int
	placer  *placer
	events  chan event
	// pace is the last known pace at each agent, in tokens a second for one
	// sample; only the step's watch uses it.
	pace map[string]float64
	// lengths are the lengths of samples that finished or were parked.
	lengthsMu sync.Mutex
	lengths   []int
	// tokens counts what the step's finished samples hold, movedTokens what
	// was generated for nothing.
	tokens      atomic.Int64
	movedTokens atomic.Int64
	// abandoned are runs that nobody waits for any more, by agent.
	abandonedMu sync.Mutex
	abandoned   map[peer][]string
}

// event is what a sample's task tells the step; one field is set.
type event struct {
	sample    *api.Sample
	placement *api.Placement
	refused   *refusedSample
}

type refusedSample struct {
	id     string
	reason *api.Refusal
}

// Run runs a step until its trainer has as many samples as it waits for, every
// sample is settled, or ctx ends. The error is the sink's or ctx's.
func (r *Runner) Run(ctx context.Context, row *table.Row, req *api.StepRequest, minVersion uint64, sink ResultHandler) (*api.StepEnd, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &step{
		Runner: r, row: row, req: req, minVersion: minVersion,
		placer: newPlacer(r, rand.New(rand.NewPCG(r.Seed, req.Session))),
		events: make(chan event), abandoned: map[peer][]string{},
		waitFor: WaitFor(row, req), pace: map[string]float64{},
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.placer.run(ctx) })
	tasks := make([]*task, len(req.Samples))
	for i := range req.Samples {
		tasks[i] = newTask(s, &req.Samples[i])
		wg.Go(func() { tasks[i].run(ctx) })
	}
	wg.Go(func() { s.watch(ctx, tasks) })
	end, err := s.collect(ctx, sink)
	cancel(errStepEnded)
	wg.Wait()
	if err != nil {
		return nil, err
	}
	s.settle(ctx, tasks, end)
	return end, nil
}

// collect passes on what the tasks bring until enough is delivered.
func (s *step) collect(ctx context.Context, sink ResultHandler) (*api.StepEnd, error) {
	end := &api.StepEnd{}
	for settled := 0; settled < len(s.req.Samples) && end.Delivered < s.waitFor; {
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case ev := <-s.events:
			if ev.placement == nil {
				settled++
			}
			if err := take(ev, sink, end); err != nil {
				return nil, err
			}
		}
	}
	return end, nil
}

func take(ev event, sink ResultHandler, end *api.StepEnd) error {
	switch {
	case ev.sample != nil:
		end.Delivered++
		return sink.Sample(ev.sample)
	case ev.placement != nil:
		return sink.Placement(*ev.placement)
	}
	end.Undelivered = append(end.Undelivered, api.Undelivered{ID: ev.refused.id, Reason: ev.refused.reason})
	return nil
}

// settle names the samples that the step ends without, and cancels them unless
// the row carries them over.
func (s *step) settle(ctx context.Context, tasks []*task, end *api.StepEnd) {
	carry := s.row.Leftover != table.LeftoverCancel
	forget := s.takeAbandoned()
	for _, t := range tasks {
		if t.settled {
			continue
		}
		end.Undelivered = append(end.Undelivered, api.Undelivered{ID: t.req.ID, CarriedOver: carry})
		if !carry && t.at != (peer{}) {
			forget[t.at] = append(forget[t.at], t.key)
		}
	}
	s.forgetLater(ctx, forget)
}

// WaitFor is how many more samples the trainer of a step waits for: what the
// request names, else the row's share rounded up, less what it holds already.
func WaitFor(row *table.Row, req *api.StepRequest) int {
	n := len(req.Samples)
	total := n + req.Held
	want := total
	if row.WaitShare > 0 && row.WaitShare < 1 {
		want = int(math.Ceil(row.WaitShare * float64(total)))
	}
	if req.WaitFor > 0 {
		want = req.WaitFor
	}
	return min(n, max(0, want-req.Held))
}
