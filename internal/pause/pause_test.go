package pause

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep(t *testing.T) {
	errStop := errors.New("stop")
	for name, c := range map[string]struct {
		pause, stop time.Duration // stop is when the context is cancelled
		took        time.Duration
		want        error
	}{
		"complete":                {2 * time.Second, time.Hour, 2 * time.Second, nil},
		"cancelled":               {2 * time.Second, time.Second, time.Second, errStop},
		"none":                    {0, time.Hour, 0, nil},
		"none, already cancelled": {-time.Second, -1, 0, errStop},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				if c.stop < 0 {
					cancel(errStop)
				} else {
					defer time.AfterFunc(c.stop, func() { cancel(errStop) }).Stop()
				}
				began := time.Now()
				if err := Sleep(ctx, c.pause); !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				if took := time.Since(began); took != c.took {
					t.Errorf("took %s, want %s", took, c.took)
				}
			})
		})
	}
}
