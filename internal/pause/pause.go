// Package pause waits between attempts of background work.
package pause

import (
	"context"
	"time"
)

// Sleep waits for d, or returns at once when d is not positive. The error is ctx's
// cause if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
