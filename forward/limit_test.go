package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
)

// TestEndpointIsToldItsRoutesTimeout guards against endpoints that work on requests which are given up here at the
// route's timeout, before the client's deadline, and against sends that begin that time anew.
func TestEndpointIsToldItsRoutesTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		brokenLate := func(context.Context) (*Answer, error) {
			time.Sleep(600 * time.Millisecond)
			return nil, fmt.Errorf("%w: reset", ErrBroken)
		}
		f, sender := rig(brokenLate, answers(200, 0))
		r := request(fleet.KindSafe)
		r.Route.Objective = 2 * time.Second // no hedge
		r.Deadline = time.Now().Add(time.Minute)
		if _, err := f.Do(t.Context(), r); err != nil {
			t.Fatal(err)
		}
		if want := []time.Duration{2 * time.Second, 1400 * time.Millisecond}; !slices.Equal(sender.left, want) {
			t.Errorf("told %v, want %v", sender.left, want)
		}
	})
}

// TestExpiredRequestIsNotSent guards against requests that are sent though their time was up before, for example
// since their body came late, and that are then not known to have run or not.
func TestExpiredRequestIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, sender := rig(answers(200, 0), answers(200, 0))
		r := request(fleet.KindUnsafe)
		r.Arrived = time.Now().Add(-r.Route.Timeout)
		_, err := f.Do(t.Context(), r)
		var refusal *Refusal
		if !errors.As(err, &refusal) || !refusal.NotRun || len(sender.sent) != 0 {
			t.Errorf("sent to %v, %v", sender.sent, err)
		}
	})
}
