package batch

import (
	"context"
	"time"

	"mulberryscale.example/internal/pause"
)

// Drain accepts no new items, lets running ones continue for gracePeriod, hands the rest
// over to other agents and waits until the results are in the store.
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
		w.pushItems(ctx, w.queryCapacity(ctx, w.openJobs()), true)
	}
	for w.hasUnsavedResults() && pause.Sleep(ctx, drainPollInterval) == nil {
	}
}

// drainPollInterval is how often Drain checks what is left.
const drainPollInterval = 100 * time.Millisecond

// itemsLeft is itemCount for callers that do not hold w.mu.
func (w *Worker) itemsLeft() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.itemCount()
}

// pushWaiting hands items that are not running to other agents.
func (w *Worker) pushWaiting(ctx context.Context) {
	w.mu.Lock()
	n := len(w.waiting)
	w.mu.Unlock()
	if n > 0 {
		w.pushItems(ctx, w.queryCapacity(ctx, w.openJobs()), false)
	}
}

// hasUnsavedResults reports whether results still have to be appended to the store.
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
