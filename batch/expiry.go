package batch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/observe"
)

const (
	// expiryCheckInterval is how often an agent looks for jobs whose items' time is up.
	expiryCheckInterval = 500 * time.Millisecond
	// expiryMargin is how long after their time items are given up. A process's
	// notion of the store's clock is behind it by an answer's way, never ahead but
	// for the drift of its own clock.
	expiryMargin = 300 * time.Millisecond
	// expiryStagger is how long each agent leaves items that nobody holds to the
	// one that a job's ranking names before it.
	expiryStagger = time.Second
)

// expire lists as failed what has run out of time, until ctx ends. Items that
// are held are given up by their holders, all others by the agents of the job in
// the order in which its id ranks them, so that a dead one stops nothing.
func (w *Worker) expire(ctx context.Context) {
	for pause.Sleep(ctx, expiryCheckInterval) == nil {
		for _, j := range w.overdue() {
			w.failOwnItems(j)
			w.failOrphans(j)
		}
	}
}

// overdue are the jobs whose items' time is up.
func (w *Worker) overdue() []*workJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Collect(maps.Values(w.jobs)), func(j *workJob) bool {
		return j.ended || j.finished || w.overdueBy(j) < 0
	})
}

// overdueBy is for how long a job's items may have been given up.
func (w *Worker) overdueBy(j *workJob) time.Duration {
	now, known := w.Now()
	if !known {
		return -1
	}
	return now - j.job.Accepted - j.job.ItemTTL - expiryMargin
}

// failOwnItems gives up the items that are held here.
func (w *Worker) failOwnItems(j *workJob) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range j.tasks {
		switch {
		case t.finished:
		case t.cancel != nil:
			t.stop(errExpired)
		default:
			w.waiting = slices.DeleteFunc(w.waiting, func(o *task) bool { return o == t })
			w.Log.WithFields(t.fields()).Warn("item given up: its time is up")
			w.finish(t, StateFailed, "")
		}
	}
}

// failOrphans gives up the items that are not listed and not held here, once it
// is this agent's turn.
func (w *Worker) failOrphans(j *workJob) {
	rank := slices.Index(rankEngines(j.job.ID, w.participants(j)), w.Engine)
	if rank < 0 || w.overdueBy(j) < time.Duration(rank+1)*expiryStagger || !w.load(j, true) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	lost := 0
	for i := range j.items {
		if !j.done[i] && j.tasks[i] == nil {
			t := &task{index: i, j: j, item: &j.items[i]}
			j.tasks[i] = t
			w.finish(t, StateFailed, "")
			lost++
		}
	}
	j.finished = len(j.done) == len(j.items)
	if lost > 0 {
		w.Log.WithFields(logrus.Fields{observe.FieldJob: j.job.ID, "items": lost}).Warn("items without a holder given up: their time is up")
	}
}
