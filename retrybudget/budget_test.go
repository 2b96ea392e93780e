package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "mulberryscale.example/internal/rapidseed" // the same draws in each run
)

var start = time.Unix(1_000_000_000, 0)

// TestShareOfFirstSends guards against second sends that multiply an overload: of 1,000 first sends
// in a window, 100 may be sent again.
func TestShareOfFirstSends(t *testing.T) {
	b := New(DefaultShare)
	now, allowed := start, 0
	for range 1000 {
		b.RecordFirst(now)
		if b.Take(now) {
			allowed++
		}
		now = now.Add(Window / 1000)
	}
	if allowed < 90 || allowed > 100 {
		t.Errorf("%d second sends of 1,000 first sends, want about 100", allowed)
	}
}

// TestFloor checks that a process with few requests may retry, and not without bound.
func TestFloor(t *testing.T) {
	b := New(DefaultShare)
	b.RecordFirst(start)
	allowed := 0
	for range 10 {
		if b.Take(start) {
			allowed++
		}
	}
	if allowed != Floor {
		t.Errorf("%d second sends, want %d", allowed, Floor)
	}
	if !b.Take(start.Add(Window)) {
		t.Error("second sends of the last window still count")
	}
}

// TestRestore checks that a second send that was not made is not lost to the next request.
func TestRestore(t *testing.T) {
	b := New(0)
	for range Floor {
		b.Take(start)
	}
	if b.Take(start) {
		t.Fatal("more second sends than the floor")
	}
	b.Restore(start)
	if !b.Take(start) {
		t.Error("the restored second send is lost")
	}
	b.Restore(start.Add(-2 * Window)) // long dropped: changes nothing
	if b.Take(start) {
		t.Error("a second send of an earlier window was restored to this one")
	}
}

// TestNothingIsDeniedAtOrdinaryLoad has the usual failures: one send in fifty is lost, fails or is
// hedged, at rates of 0.2 to 50 requests a second.
func TestNothingIsDeniedAtOrdinaryLoad(t *testing.T) {
	const failing = 0.02
	for _, rate := range []float64{0.2, 1, 5, 50} {
		rng := rand.New(rand.NewPCG(1, 2))
		b, denied := New(DefaultShare), 0
		for now := start; now.Before(start.Add(10 * time.Minute)); {
			b.RecordFirst(now)
			if rng.Float64() < failing && !b.Take(now) {
				denied++
			}
			now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		}
		if denied > 0 {
			t.Errorf("%d second sends denied at %g requests a second", denied, rate)
		}
	}
}

// TestBoundHoldsInEachWindow checks, for any order of calls, that the second sends of no window
// exceed the floor or the share of the first sends.
func TestBoundHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(DefaultShare), start
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirst(now)
				continue
			}
			if !b.Take(now) {
				continue
			}
			first, second := b.totals(now)
			if second > max(Floor, int(DefaultShare*float64(first))) {
				t.Fatalf("%d second and %d first sends", second, first)
			}
		}
	})
}
