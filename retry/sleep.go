package retry

import (
	"context"
	"time"
)

// Sleep sleeps for d; false says that ctx ended meanwhile.
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
