package scaling

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"mulberryscale.example/fleet"
)

// These tests simulate two loads: one that is steady apart from random variation, and one
// that rises to four times and falls again, as on a Saturday on which sites are open.

var testBounds = fleet.Autoscale{Min: 2, Max: 20, Boot: 10 * time.Second}

const testSlots = 6

// simulation is the result of simulating a load second by second.
type simulation struct {
	orders int // after the first three minutes
	// overloaded is the number of seconds in which requests waited for a slot, peak the
	// largest number of endpoints, and billed the endpoint-seconds.
	overloaded, peak, billed int
}

func simulate(seconds int, load func(second int) float64) simulation {
	var d simulation
	var p Policy
	var last LastOrder
	serving, booting := testBounds.Min, map[int]int{}
	waiting := 0.0
	for s := range seconds {
		serving += booting[s]
		offered := load(s) + waiting
		slots := float64(serving * testSlots)
		waiting = min(max(0, offered-slots), 2*load(s)) // callers wait for two seconds
		if waiting > 0 {
			d.overloaded++
		}
		have := last.Endpoints
		if have == 0 {
			have = serving
		}
		now := time.Duration(s) * time.Second
		want := p.Decide(testBounds, Observed{BusySlots: offered, SlotsPerEndpoint: testSlots, Serving: serving}, last, now)
		if want != have {
			if s > 180 {
				d.orders++
			}
			last = LastOrder{want, now}
			if want > have {
				booting[s+int(testBounds.Boot.Seconds())] += want - have
			} else {
				serving += want - have
			}
		}
		d.peak = max(d.peak, want)
		d.billed += want
	}
	return d
}

// TestSteadyLoadOrdersNothing varies a load by a sixth, which must cause no repeated
// orders.
func TestSteadyLoadOrdersNothing(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	d := simulate(600, func(int) float64 { return 24 * (1 + rng.Float64()/3 - 1.0/6) })
	if d.orders > 2 {
		t.Errorf("%d orders", d.orders)
	}
}

// TestRisingAndFallingLoad: requests must wait no longer than three starts of an endpoint
// take, and little more may be billed than the load needs at scaleUpUtilization.
func TestRisingAndFallingLoad(t *testing.T) {
	load := func(s int) float64 {
		switch {
		case s < 60, s >= 360:
			return 8
		}
		return 40
	}
	d := simulate(600, load)
	ideal := 0
	for s := range 600 {
		ideal += max(testBounds.Min, int(math.Ceil(load(s)/(testSlots*scaleUpUtilization))))
	}
	if limit := int(3 * testBounds.Boot.Seconds()); d.overloaded > limit {
		t.Errorf("requests waited for %d s, want at most %d", d.overloaded, limit)
	}
	if float64(d.billed) > 1.6*float64(ideal) || d.peak > testBounds.Max {
		t.Errorf("%d endpoint-seconds billed of %d needed, %d endpoints at most", d.billed, ideal, d.peak)
	}
	if d.orders > 8 {
		t.Errorf("%d orders", d.orders)
	}
}

func TestBoundsHold(t *testing.T) {
	for name, c := range map[string]struct {
		o    Observed
		last LastOrder
		want int
	}{
		"idle, below the minimum":       {Observed{0, 6, 1}, LastOrder{}, 2},
		"overloaded":                    {Observed{900, 6, 9}, LastOrder{}, 20},
		"above the maximum":             {Observed{100, 6, 25}, LastOrder{}, 20},
		"slots unknown":                 {Observed{900, 0, 4}, LastOrder{}, 4},
		"ordered endpoints still start": {Observed{27, 6, 4}, LastOrder{6, 95 * time.Second}, 6},
		"far more needed meanwhile":     {Observed{60, 6, 4}, LastOrder{6, 95 * time.Second}, 6},
		"six times the load at once":    {Observed{100, 6, 4}, LastOrder{}, 12},
		"ordered endpoints overdue":     {Observed{27, 6, 6}, LastOrder{6, 80 * time.Second}, 7},
	} {
		var p Policy
		if got := p.Decide(testBounds, c.o, c.last, 100*time.Second); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

func TestScaleDownWaitsForStabilization(t *testing.T) {
	var p Policy
	low, last := Observed{6, 6, 12}, LastOrder{12, 0}
	if got := p.Decide(testBounds, low, last, 100*time.Second); got != 12 {
		t.Errorf("removed at once: %d left, want 12", got)
	}
	if got := p.Decide(testBounds, Observed{40, 6, 12}, last, 110*time.Second); got != 12 {
		t.Errorf("after a moment of high load: %d, want 12", got)
	}
	if got := p.Decide(testBounds, low, last, 119*time.Second); got != 12 {
		t.Errorf("stabilization restarted: %d, want 12", got)
	}
	if got := p.Decide(testBounds, low, last, 139*time.Second); got != 9 {
		t.Errorf("after stabilization: %d, want a quarter less", got)
	}
}
