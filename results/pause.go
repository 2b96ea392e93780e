package results

import (
	"context"
	"time"
)

// Pause returns after d, when the run reaches a final state, or when ctx is
// done, whichever comes first. A reader that pauses between chunks gets fewer
// and larger chunks.
func (r *Reader) Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		changed, final := r.state()
		if final {
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

// state returns the channel that is closed at the run's next change, and whether
// the run has a result or a refusal.
func (r *Reader) state() (changed <-chan struct{}, final bool) {
	run := r.run
	run.store.mu.Lock()
	defer run.store.mu.Unlock()
	return run.changed, run.done != nil || run.refusal != nil
}
