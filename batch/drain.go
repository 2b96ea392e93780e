package batch

import (
	"context"
	"time"

	"mulberryscale.example/internal/pause"
)

// Drain takes no new items, lets those that run go on for a while, hands over
// the rest and waits for the results to be in the store.
func (w *Worker) Drain(ctx context.Context, runOn time.Duration) {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	runCtx, cancel := context.WithTimeout(ctx, runOn)
	defer cancel()
	for w.heldNow() > 0 && pause.Sleep(runCtx, drainPoll) == nil {
		w.giveWaiting(ctx)
	}
	for w.heldNow() > 0 && pause.Sleep(ctx, drainPoll) == nil {
		statuses := w.askRoom(ctx)
		w.giveAll(ctx, statuses, true)
	}
	for w.unappended() && pause.Sleep(ctx, drainPoll) == nil {
	}
}

// askRoom asks the agents that may take this one's items.
func (w *Worker) askRoom(ctx context.Context) map[string]*Status {
	jobs := w.openJobs()
	return w.ask(ctx, jobs, some(w.engines(jobs), askMany))
}

// drainPoll is how often a drain looks at what is left.
const drainPoll = 100 * time.Millisecond

func (w *Worker) heldNow() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held()
}

// giveWaiting gives away what does not run yet.
func (w *Worker) giveWaiting(ctx context.Context) {
	w.mu.Lock()
	n := len(w.waiting)
	w.mu.Unlock()
	if n > 0 {
		statuses := w.askRoom(ctx)
		w.giveAll(ctx, statuses, false)
	}
}

func (w *Worker) unappended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if j.outbox != nil && j.outbox.sending {
			return true
		}
	}
	return false
}
