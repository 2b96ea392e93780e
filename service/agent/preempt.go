package agent

import (
	"errors"
	"slices"

	"mulberryscale.example/observe"
	"mulberryscale.example/wire"
)

// errPreempted is the cause of the cancellation of a preempted sample.
var errPreempted = errors.New("the sample made room for an interactive request")

// preempt cancels as many running samples as queued interactive requests need slots,
// the most recently started first. Engines have no priorities, so without preemption
// a request would wait until a stream finishes. The entry resumes the sample after the
// text it has received, on another endpoint, or on this one when a slot is free. The
// caller holds a.mu.
func (a *Agent) preempt() {
	if a.cfg.NoPreemption {
		return
	}
	running, preempting := a.preemptible()
	n := min(a.queue.PreemptCount(preempting), len(running))
	if n == 0 {
		return
	}
	slices.SortFunc(running, func(x, y *job) int { return y.started.Compare(x.started) })
	for _, j := range running[:n] {
		j.preempted = true
		j.cancel(errPreempted)
		a.cfg.Counters.Add(observe.NamePreempted, j.req.Row, 1)
	}
}

// preemptible returns the running samples that may be preempted, and the number of
// samples that were preempted and still have their slots.
func (a *Agent) preemptible() (running []*job, preempting int) {
	for _, j := range a.jobs {
		switch {
		case j.started.IsZero() || j.req.Class != wire.ClassTraining:
		case j.preempted:
			preempting++
		case j.req.Generate != nil && !j.req.NonIdempotent:
			running = append(running, j)
		}
	}
	return running, preempting
}
