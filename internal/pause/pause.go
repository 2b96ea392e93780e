// Package pause waits between attempts of background work.
package pause

import (
	"context"
	"time"
)

// Sleep waits for d, or returns at once if d is not positive. It returns the cause of ctx if ctx
// is done before that. Package retry has a variant that returns a bool.
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
