package results

import (
	"context"
	"time"
)

// Pause returns after d, when the run ends, or when ctx ends, whichever comes
// first. A reader that pauses between chunks gets fewer and larger ones.
func (r *Reader) Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		changed, ended := r.state()
		if ended {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// state returns what is closed at the run's next change, and whether it has ended.
func (r *Reader) state() (changed <-chan struct{}, ended bool) {
	run := r.run
	run.store.mu.Lock()
	defer run.store.mu.Unlock()
	return run.changed, run.done != nil || run.refusal != nil
}
