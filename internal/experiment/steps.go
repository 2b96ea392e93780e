package experiment

import (
	"context"
	"math"
	"sync"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/trainer"
)

// Failure is a fault that is injected into a run.
type Failure string

// Failures of the experiments.
const (
	FailNone Failure = "none"
	// FailEngine crashes an engine and kills its agent.
	FailEngine Failure = "engine_killed"
	// FailSlow slows one engine down by slowFactor.
	FailSlow Failure = "engine_slow"
)

const slowFactor = 5

// StepResult is the result of one step under one policy.
type StepResult struct {
	Policy  string  `json:"policy"`
	Failure Failure `json:"failure"`
	// WaitShare is the share of the step's samples that the trainer waited for.
	WaitShare float64 `json:"wait_share"`
	Seconds   float64 `json:"seconds"`
	// Bound is the offline lower bound in seconds, without the failure.
	Bound float64 `json:"bound_seconds"`
	// Ratio is Seconds divided by Bound.
	Ratio float64 `json:"ratio"`
	// Idle is the share of the step time in which the trainer had no sample to learn from.
	Idle      float64 `json:"trainer_idle_ratio"`
	Delivered int     `json:"delivered"`
	// Wasted is the share of the generated tokens that is in no delivered sample. It is only
	// measured for steps that wait for all samples, since others carry samples over.
	Wasted float64 `json:"wasted_token_ratio"`
}

// RunStep runs one step of the workload's first trainer. The failure f is injected after half of
// the lower bound.
func RunStep(ctx context.Context, w *Workload, p Policy, f Failure, waitShare float64, seed uint64) (*StepResult, error) {
	r, err := newRig(ctx, w, p, seed)
	if err != nil {
		return nil, err
	}
	defer r.close()
	t := w.Trainers[0]
	samples, lengths := w.step(&t, 1, seed)
	needed := int(math.Ceil(waitShare * float64(len(samples))))
	bound := w.LowerBound(lengths, needed)
	client, err := r.trainer(t.Row)
	if err != nil {
		return nil, err
	}
	fail := time.AfterFunc(bound/2, func() { r.inject(f) })
	defer fail.Stop()
	learner := &learner{perSample: w.LearnTime}
	began := time.Now()
	tokens := 0
	_, err = client.RunStep(ctx, trainer.Step{Name: "1", Version: 1, Samples: samples, WaitFor: needed}, func(s api.Sample) error {
		tokens += s.Tokens
		learner.learn()
		return nil
	})
	elapsed := time.Since(began)
	if err != nil {
		return nil, err
	}
	res := &StepResult{
		Policy: p.Name, Failure: f, WaitShare: waitShare, Seconds: elapsed.Seconds(), Bound: bound.Seconds(),
		Ratio: elapsed.Seconds() / bound.Seconds(), Idle: learner.idleShare(elapsed), Delivered: learner.learned,
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

func (r *rig) inject(f Failure) {
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

// learner models a trainer's learning time: it processes samples one after another.
type learner struct {
	perSample time.Duration
	mu        sync.Mutex
	learned   int
	busy      time.Duration
}

// learn adds the processing of one sample.
func (l *learner) learn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learned++
	l.busy += l.perSample
}

// idleShare returns the share of elapsed in which there was no sample to process.
func (l *learner) idleShare(elapsed time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, 1-l.busy.Seconds()/elapsed.Seconds())
}
