package forward

import (
	"context"
	"testing"
	"testing/synctest"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
)

// TestServicesWithoutGateAreServedAsBefore checks that a process with gates sends to services that
// have not asked for one as it always did, and that a service has a gate from the first answer on
// that reports a pace.
func TestServicesWithoutGateAreServedAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 200
		f, sender := rig(hangs, hangs)
		f.Gates = NewGates(DefaultGateSettings())
		ctx, cancel := context.WithCancel(t.Context())
		for range requests {
			go f.Do(ctx, request(fleet.KindUnsafe)) // ends with ctx
		}
		synctest.Wait()
		if len(sender.sent) != requests {
			t.Errorf("%d of %d requests were sent at once", len(sender.sent), requests)
		}
		cancel()
		synctest.Wait()
		for _, name := range []observe.Name{observe.NameGateAdmitted, observe.NameSecondSendsDenied} {
			if n := f.Counters.Value(name, ""); n != 0 {
				t.Errorf("%s is %d", name, n)
			}
		}
		for pace, gated := range map[int]bool{0: false, 100: true} {
			sender.answers["a"] = func(context.Context) (*Answer, error) {
				return &Answer{Status: 200, Load: &fleet.Load{Slots: 4, Pace: pace}}, nil
			}
			f.Gates = NewGates(DefaultGateSettings())
			if _, err := f.Do(t.Context(), request(fleet.KindUnsafe)); err != nil {
				t.Fatal(err)
			}
			if got := f.Gates.of("s") != nil; got != gated {
				t.Errorf("after an answer with pace %d the service has a gate: %t", pace, got)
			}
		}
	})
}
