package retry

import (
	"context"
	"time"
)

// Sleep waits for d; it returns false if ctx is done before that. Package internal/pause has a
// variant that returns an error.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
