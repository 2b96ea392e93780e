package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// orderStats are the costs of an order of candidates over some minutes.
type orderStats struct {
	callsPerPiece float64
	// maxDelay is the longest time between a piece being due and accepted.
	maxDelay time.Duration
	holders  int // machines that held the duty
}

// runWithFailures simulates 36 windows. In every third one, the holder of the last window is
// killed, frozen or partitioned as the window becomes due.
func runWithFailures(t *testing.T, machines int, preferHolder bool) (o orderStats) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(machines, preferHolder, noMutation)
		for _, m := range w.machines {
			m.start()
		}
		const windows = 36
		time.Sleep(time.Until(dueOf(pieceAt(time.Now()))))
		first := pieceAt(time.Now())
		for n := range windows {
			time.Sleep(testWindow - 50*time.Millisecond)
			kinds := []string{"", "", "kill holder", "", "", "freeze holder", "", "", "cut holder"}
			w.apply(event{kind: kinds[n%len(kinds)], length: 4 * time.Second})
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * testWindow)
		for _, m := range w.machines {
			m.kill()
		}
		for piece := first; piece < first+windows-2; piece++ {
			at, ok := w.platform.accepted[piece]
			if !ok {
				t.Errorf("piece %d was not done", piece-first)
				continue
			}
			o.maxDelay = max(o.maxDelay, at.Sub(dueOf(piece)))
		}
		holders := map[string]bool{}
		for _, a := range w.platform.calls {
			holders[a.machine] = true
		}
		o.callsPerPiece, o.holders = float64(w.storeCalls)/windows, len(holders)
		if len(w.platform.violations) > 0 {
			t.Error(w.platform.violations)
		}
	})
	return o
}

// TestFailingHolders compares the two orders of candidates and fleets of three sizes, with holders
// that fail: each piece must be done within the 5.5 s that are left for it, and the number of
// calls must not grow with the fleet.
func TestFailingHolders(t *testing.T) {
	for _, preferHolder := range []bool{true, false} {
		var smallFleet float64
		for _, machines := range []int{30, 100, 300} {
			o := runWithFailures(t, machines, preferHolder)
			t.Logf("keep=%v, %d machines: %.1f calls per piece, at most %s late, %d holders", preferHolder, machines, o.callsPerPiece, o.maxDelay, o.holders)
			if limit := 10*time.Second - testDelay; o.maxDelay > limit {
				t.Errorf("%s late, want at most %s", o.maxDelay, limit)
			}
			if machines == 30 {
				smallFleet = o.callsPerPiece
			}
			if o.callsPerPiece > 1.3*smallFleet {
				t.Errorf("%s", fmt.Sprintf("%.1f calls per piece with %d machines, %.1f with 30", o.callsPerPiece, machines, smallFleet))
			}
		}
	}
}
