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
	// expiryCheckInterval is how often an agent looks for jobs whose items are past their
	// deadline.
	expiryCheckInterval = 500 * time.Millisecond
	// expiryMargin is how long after their deadline items are failed. A process's estimate
	// of the store's clock is behind it by the latency of an answer, and ahead of it only
	// by the drift of its own clock.
	expiryMargin = 300 * time.Millisecond
	// expiryStagger is how long each agent leaves orphaned items to the agent before it in
	// the ranking of the job.
	expiryStagger = time.Second
)

// expire fails the items that are past their deadline, until ctx is cancelled. Items that
// an agent holds are failed by it, all others by the agents of the job in the order in
// which its id ranks them, so that a dead agent blocks nothing.
func (w *Worker) expire(ctx context.Context) {
	for pause.Sleep(ctx, expiryCheckInterval) == nil {
		for _, j := range w.overdue() {
			w.failOwnItems(j)
			w.failOrphans(j)
		}
	}
}

// overdue returns the open jobs whose items are past their deadline.
func (w *Worker) overdue() []*workJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Collect(maps.Values(w.jobs)), func(j *workJob) bool {
		return j.ended || j.finished || w.overdueBy(j) < 0
	})
}

// overdueBy returns how long ago the items of a job became due to be failed; it is
// negative before that and while the store's clock is unknown.
func (w *Worker) overdueBy(j *workJob) time.Duration {
	now, known := w.Now()
	if !known {
		return -1
	}
	return now - j.job.Accepted - j.job.ItemTTL - expiryMargin
}

// failOwnItems fails the items of a job that are held here.
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

// failOrphans fails the items of a job that have no result and are not held here, once it
// is this agent's turn.
func (w *Worker) failOrphans(j *workJob) {
	rank := slices.Index(rankEngines(j.job.ID, w.participants(j)), w.Engine)
	if rank < 0 || w.overdueBy(j) < time.Duration(rank+1)*expiryStagger || !w.load(j, true) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := 0
	for i := range j.items {
		if !j.done[i] && j.tasks[i] == nil {
			t := &task{index: i, j: j, item: &j.items[i]}
			j.tasks[i] = t
			w.finish(t, StateFailed, "")
			failed++
		}
	}
	j.finished = len(j.done) == len(j.items)
	if failed > 0 {
		w.Log.WithFields(logrus.Fields{observe.FieldJob: j.job.ID, "items": failed}).Warn("orphaned items given up: their time is up")
	}
}
