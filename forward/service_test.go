package forward

import (
	"testing"
	"testing/synctest"

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
