package pace

import (
	"math/rand/v2"
	"testing"
	"time"
)

// drive lets an engine with the given pace report it every 100 to 500 ms, with an event each
// 5 ms, and calls check after each step.
func drive(e *Estimate, from, until time.Duration, paceAt func(time.Duration) int, check func(at time.Duration)) {
	r := rand.New(rand.NewPCG(1, 1))
	begin, next := time.Unix(1000, 0), from
	for at := from; at < until; at += 5 * time.Millisecond {
		now := begin.Add(at)
		if at >= next {
			e.Observe(now, paceAt(at))
			next = at + 100*time.Millisecond + time.Duration(r.Int64N(int64(400*time.Millisecond)))
		}
		e.ObserveGap(now, time.Duration(paceAt(at))*400*time.Microsecond)
		check(at)
	}
}

// TestEstimateIgnoresShortPeriods has periods of up to a second at 2.5 times the pace: with a mean,
// items were moved away from an engine in each of them.
func TestEstimateIgnoresShortPeriods(t *testing.T) {
	for _, period := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		var e Estimate
		paceAt := func(at time.Duration) int {
			if at > 5*time.Second && at%(3*time.Second) < period {
				return 175
			}
			return 70
		}
		drive(&e, 0, 30*time.Second, paceAt, func(at time.Duration) {
			if p := e.Pace(time.Unix(1000, 0).Add(at)); p < 65 || p > 87 {
				t.Fatalf("periods of %v: pace %d at %v", period, p, at)
			}
		})
	}
}

// TestEstimateSeesFaultsWithinThreeSeconds has an engine become 3.5 times as slow, first while it
// reports its pace, then while only the events of long runs show it, and recover each time.
func TestEstimateSeesFaultsWithinThreeSeconds(t *testing.T) {
	var e Estimate
	fault := func(at time.Duration) bool { return at%(20*time.Second) >= 10*time.Second }
	paceAt := func(at time.Duration) int {
		if fault(at) {
			return 245
		}
		return 70
	}
	check := func(at time.Duration) {
		p := e.Pace(time.Unix(1000, 0).Add(at))
		if at%(10*time.Second) < 3*time.Second {
			return
		}
		if fault(at) != (p > 200) {
			t.Fatalf("pace %d at %v", p, at)
		}
	}
	drive(&e, 0, 40*time.Second, paceAt, check)
	begin := time.Unix(1000, 0)
	for at := 40 * time.Second; at < 80*time.Second; at += 5 * time.Millisecond {
		e.ObserveGap(begin.Add(at), time.Duration(paceAt(at))*400*time.Microsecond)
		check(at)
	}
	if e.Age(begin.Add(80*time.Second)) > time.Second || e.Spread(begin.Add(80*time.Second)) > 10 {
		t.Errorf("age %v, spread %d", e.Age(begin.Add(80*time.Second)), e.Spread(begin.Add(80*time.Second)))
	}
}

// TestNoEstimateWithoutReports guards against a changed behaviour for engines that report no pace.
func TestNoEstimateWithoutReports(t *testing.T) {
	var e Estimate
	now := time.Unix(1000, 0)
	for i := range 1000 {
		e.Observe(now, 0)
		e.ObserveGap(now.Add(time.Duration(i)*10*time.Millisecond), 10*time.Millisecond)
	}
	if e.Known() || e.Pace(now) != 0 || e.Spread(now) != 0 || e.Age(now) != 0 {
		t.Errorf("got pace %d", e.Pace(now))
	}
}
