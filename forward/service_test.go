package forward

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
)

// TestSplitRouteServesWithoutOneOfItsServices guards against requests that are refused because the service which the
// weights of their route give them has no endpoints, though another one of the route has.
func TestSplitRouteServesWithoutOneOfItsServices(t *testing.T) {
	for _, gated := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f, _ := rig(answers(200, 0), answers(200, 0))
			if gated {
				f.Gates = NewGates(GateSettings{Always: true, MaxBytes: DefaultMaxBytes})
			}
			r := request(fleet.KindUnsafe)
			r.Route.Backends = []fleet.Backend{{Service: "lost", Weight: 1e9}, {Service: "s", Weight: 1}, {Service: "unused", Weight: 0}}
			if _, err := f.Do(t.Context(), r); err != nil {
				t.Errorf("gated %v: %v", gated, err)
			}
		})
	}
}

// TestRequestGoesOnAtAnotherServiceOfItsRoute guards against requests that are refused, or broken off, since the only
// endpoint of the service that their route's weights give them has crashed and is listed for some seconds more, though
// another service of the route has endpoints. What may run once only goes on only if it was not run.
func TestRequestGoesOnAtAnotherServiceOfItsRoute(t *testing.T) {
	ok := answers(200, 20*time.Millisecond)
	for name, c := range map[string]struct {
		kind   fleet.Kind
		first  func(context.Context) (*Answer, error)
		status int // 0: a refusal
		sent   []string
	}{
		"safe, unsent":     {fleet.KindSafe, fails(ErrUnsent), 200, []string{"a", "b"}},
		"safe, broken":     {fleet.KindSafe, fails(ErrBroken), 200, []string{"a", "b"}},
		"safe, silent":     {fleet.KindSafe, hangs, 200, []string{"a", "b"}},
		"safe, answered":   {fleet.KindSafe, ok, 200, []string{"a"}},
		"unsafe, unsent":   {fleet.KindUnsafe, fails(ErrUnsent), 200, []string{"a", "b"}},
		"unsafe, declined": {fleet.KindUnsafe, declines, 200, []string{"a", "b"}},
		"unsafe, broken":   {fleet.KindUnsafe, fails(ErrBroken), 0, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, sender := rig(c.first, ok)
				f.View.UpdateInstances([]fleet.Instance{{ID: "a", Service: "small", Zone: "here", Addr: "10.0.0.1:1", Slots: 4}}, nil)
				f.View.SetConfig(&fleet.Config{Version: 2, Services: []fleet.Service{{Name: "s"}, {Name: "small"}}})
				r := request(c.kind)
				r.Route.Backends = []fleet.Backend{{Service: "small", Weight: 1e9}, {Service: "s", Weight: 1}}
				answer, err := f.Do(t.Context(), r)
				status := 0
				if err == nil {
					status = answer.Status
				}
				if status != c.status || !slices.Equal(sender.sent, c.sent) {
					t.Errorf("status %d, %v, sent to %v; want status %d, sent to %v", status, err, sender.sent, c.status, c.sent)
				}
			})
		})
	}
}
