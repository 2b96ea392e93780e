package batch

import (
	"context"
	"time"

	"mulberryscale.example/internal/pause"
)

// Drain takes no new items, lets those that run go on for a while, hands over
// the rest and waits for the results to be in the store.
func (w *Worker) Drain(ctx context.Context, gracePeriod time.Duration) {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	runCtx, cancel := context.WithTimeout(ctx, gracePeriod)
	defer cancel()
	for w.itemsLeft() > 0 && pause.Sleep(runCtx, drainPollInterval) == nil {
		w.pushWaiting(ctx)
	}
	for w.itemsLeft() > 0 && pause.Sleep(ctx, drainPollInterval) == nil {
		statuses := w.queryCapacity(ctx)
		w.pushItems(ctx, statuses, true)
	}
	for w.hasUnsavedResults() && pause.Sleep(ctx, drainPollInterval) == nil {
	}
}

// queryCapacity asks the agents that may take this one's items.
func (w *Worker) queryCapacity(ctx context.Context) map[string]*Status {
	jobs := w.openJobs()
	return w.queryStatuses(ctx, jobs, sampleEngines(w.peerEngines(jobs), pushFanout))
}

// drainPollInterval is how often a drain looks at what is left.
const drainPollInterval = 100 * time.Millisecond

func (w *Worker) itemsLeft() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.itemCount()
}

// pushWaiting gives away what does not run yet.
func (w *Worker) pushWaiting(ctx context.Context) {
	w.mu.Lock()
	n := len(w.waiting)
	w.mu.Unlock()
	if n > 0 {
		statuses := w.queryCapacity(ctx)
		w.pushItems(ctx, statuses, false)
	}
}

func (w *Worker) hasUnsavedResults() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if j.outbox != nil && j.outbox.sending {
			return true
		}
	}
	return false
}
