package experiment

import (
	"context"
	"math"
	"sync"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/trainer"
)

// Failure is what happens in the middle of a step.
type Failure string

// Failures of step experiments.
const (
	FailNone Failure = "none"
	// FailEngine crashes an engine and kills the agent beside it.
	FailEngine Failure = "engine_killed"
	// FailSlow makes one engine five times slower.
	FailSlow Failure = "engine_slow"
)

const slowFactor = 5

// StepResult is one step of one policy.
type StepResult struct {
	Policy  string  `json:"policy"`
	Failure Failure `json:"failure"`
	// WaitShare is the share of the step that the trainer waited for.
	WaitShare float64 `json:"wait_share"`
	Seconds   float64 `json:"seconds"`
	// Bound is the offline lower bound in seconds, with all engines alive.
	Bound float64 `json:"bound_seconds"`
	// Ratio is Seconds to Bound.
	Ratio float64 `json:"ratio"`
	// Idle is the share of the step in which the trainer had no sample at hand.
	Idle      float64 `json:"trainer_idle_ratio"`
	Delivered int     `json:"delivered"`
	// Wasted is the share of the generated tokens that is in no delivered or
	// carried sample, as far as the step has ended.
	Wasted float64 `json:"wasted_token_ratio"`
}

// RunStep runs one step of the workload's first trainer.
func RunStep(ctx context.Context, w *Workload, p Policy, f Failure, waitShare float64, seed uint64) (*StepResult, error) {
	r, err := newRig(ctx, w, p, seed)
	if err != nil {
		return nil, err
	}
	defer r.close()
	t := w.Trainers[0]
	samples, lengths := w.step(&t, 1, seed)
	wanted := int(math.Ceil(waitShare * float64(len(samples))))
	bound := w.LowerBound(lengths, wanted)
	client, err := r.trainer(t.Row)
	if err != nil {
		return nil, err
	}
	fail := time.AfterFunc(bound/2, func() { r.fail(f) })
	defer fail.Stop()
	learner := &learner{perSample: w.LearnTime}
	began := time.Now()
	tokens := 0
	_, err = client.RunStep(ctx, trainer.Step{Name: "1", Version: 1, Samples: samples, WaitFor: wanted}, func(s api.Sample) error {
		tokens += s.Tokens
		learner.take()
		return nil
	})
	elapsed := time.Since(began)
	if err != nil {
		return nil, err
	}
	res := &StepResult{
		Policy: p.Name, Failure: f, WaitShare: waitShare, Seconds: elapsed.Seconds(), Bound: bound.Seconds(),
		Ratio: elapsed.Seconds() / bound.Seconds(), Idle: learner.end(elapsed), Delivered: learner.taken,
	}
	if waitShare == 1 {
		res.Wasted = 1 - float64(tokens)/float64(r.generated())
	}
	return res, nil
}

func (r *rig) trainer(row string) (*trainer.Client, error) {
	return trainer.New(trainer.Config{
		Row: row, Entries: r.d.EntryURLs(), HTTP: r.fabric.Client(), StalenessBound: 4,
	})
}

func (r *rig) fail(f Failure) {
	victim := r.d.Agents[0]
	switch f {
	case FailEngine:
		victim.StandIn.Crash()
		victim.StandIn.RefuseConnections(true)
		victim.Kill()
	case FailSlow:
		victim.StandIn.SlowBy(slowFactor)
	}
}

// learner is a trainer's own work: it learns from one sample after another.
type learner struct {
	perSample time.Duration
	mu        sync.Mutex
	taken     int
	busy      time.Duration
}

// take gives it a sample.
func (l *learner) take() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.taken++
	l.busy += l.perSample
}

// end returns the share of elapsed in which it had nothing to learn from.
func (l *learner) end(elapsed time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, 1-l.busy.Seconds()/elapsed.Seconds())
}
