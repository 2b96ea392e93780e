package scaling

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"mulberryscale.example/fleet"
)

// The loads answered: one that is steady but for the chance of requests; one that
// rises to four times and falls again, as on a Saturday on which sites are open.

var testBounds = fleet.Autoscale{Min: 2, Max: 20, Boot: 10 * time.Second}

const testPlaces = 6

// day plays a load second by second and returns what came of it.
type day struct {
	orders int // after the first three minutes
	// short are the seconds in which requests waited for a place, most the largest
	// number of endpoints, billed the endpoint-seconds.
	short, most, billed int
}

func play(seconds int, load func(second int) float64) day {
	var d day
	var p Policy
	var last LastOrder
	serving, coming := testBounds.Min, map[int]int{}
	waiting := 0.0
	for s := range seconds {
		serving += coming[s]
		offered := load(s) + waiting
		places := float64(serving * testPlaces)
		waiting = min(max(0, offered-places), 2*load(s)) // callers wait for two seconds
		if waiting > 0 {
			d.short++
		}
		have := last.Endpoints
		if have == 0 {
			have = serving
		}
		now := time.Duration(s) * time.Second
		want := p.Decide(testBounds, Observed{BusySlots: offered, SlotsPerEndpoint: testPlaces, Serving: serving}, last, now)
		if want != have {
			if s > 180 {
				d.orders++
			}
			last = LastOrder{want, now}
			if want > have {
				coming[s+int(testBounds.Boot.Seconds())] += want - have
			} else {
				serving += want - have
			}
		}
		d.most = max(d.most, want)
		d.billed += want
	}
	return d
}

// TestSteadyLoadOrdersNothing varies a load by a sixth.
func TestSteadyLoadOrdersNothing(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	d := play(600, func(int) float64 { return 24 * (1 + rng.Float64()/3 - 1.0/6) })
	if d.orders > 2 {
		t.Errorf("%d orders", d.orders)
	}
}

// TestRisingAndFallingLoad: requests wait no longer than endpoints need to start
// three times, and little more is billed than what the load needs at the policy's own use.
func TestRisingAndFallingLoad(t *testing.T) {
	load := func(s int) float64 {
		switch {
		case s < 60, s >= 360:
			return 8
		}
		return 40
	}
	d := play(600, load)
	ideal := 0
	for s := range 600 {
		ideal += max(testBounds.Min, int(math.Ceil(load(s)/(testPlaces*upUse))))
	}
	if limit := int(3 * testBounds.Boot.Seconds()); d.short > limit {
		t.Errorf("requests waited for %d s, want %d at most", d.short, limit)
	}
	if float64(d.billed) > 1.6*float64(ideal) || d.most > testBounds.Max {
		t.Errorf("%d endpoint-seconds billed of %d needed, %d endpoints at most", d.billed, ideal, d.most)
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
		"idle, below the least":        {Observed{0, 6, 1}, LastOrder{}, 2},
		"overloaded":                   {Observed{900, 6, 9}, LastOrder{}, 20},
		"above the most":               {Observed{100, 6, 25}, LastOrder{}, 20},
		"places unknown":               {Observed{900, 0, 4}, LastOrder{}, 4},
		"ordered ones still start":     {Observed{27, 6, 4}, LastOrder{6, 95 * time.Second}, 6},
		"far more needed meanwhile":    {Observed{60, 6, 4}, LastOrder{6, 95 * time.Second}, 6},
		"six times the load at once":   {Observed{100, 6, 4}, LastOrder{}, 12},
		"ordered ones should be there": {Observed{27, 6, 6}, LastOrder{6, 80 * time.Second}, 7},
	} {
		var p Policy
		if got := p.Decide(testBounds, c.o, c.last, 100*time.Second); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

func TestLowLoadMustLast(t *testing.T) {
	var p Policy
	low, last := Observed{6, 6, 12}, LastOrder{12, 0}
	if got := p.Decide(testBounds, low, last, 100*time.Second); got != 12 {
		t.Errorf("given back at once: %d", got)
	}
	if got := p.Decide(testBounds, Observed{40, 6, 12}, last, 110*time.Second); got != 12 {
		t.Errorf("a busy moment: %d", got)
	}
	if got := p.Decide(testBounds, low, last, 119*time.Second); got != 12 {
		t.Errorf("the calm begins anew: %d", got)
	}
	if got := p.Decide(testBounds, low, last, 139*time.Second); got != 9 {
		t.Errorf("after the calm: %d, want a quarter less", got)
	}
}
