package agent

import (
	"errors"
	"slices"

	"mulberryscale.example/observe"
	"mulberryscale.example/wire"
)

// errPreempted is the cause with which a sample makes room for an interactive request.
var errPreempted = errors.New("the sample made room for an interactive request")

// preempt ends as many running samples as waiting interactive requests need,
// the youngest first: an engine knows no priorities, so that a request would
// wait for the end of a stream otherwise. The entry goes on with the sample's
// text elsewhere, or here when there is room. a.mu is held.
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

// preemptible lists the samples that run and may be ended, and counts those
// that are ending.
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
