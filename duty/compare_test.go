package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// outcomeOf is what an order of holders cost over some minutes.
type outcomeOf struct {
	callsAPiece float64
	// worst is how long after it was due a piece was accepted at most.
	worst   time.Duration
	holders int // machines that held the duty
}

// struck plays windows of which each third one finds its holder of the last window
// killed, frozen or cut off as it falls due.
func struck(t *testing.T, machines int, keep bool) (o outcomeOf) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(machines, keep, whole)
		for _, x := range w.machines {
			x.start()
		}
		const windows = 36
		time.Sleep(time.Until(dueOf(pieceAt(time.Now()))))
		first := pieceAt(time.Now())
		for n := range windows {
			time.Sleep(testWindow - 50*time.Millisecond)
			kinds := []string{"", "", "kill holder", "", "", "freeze holder", "", "", "cut holder"}
			w.happen(event{kind: kinds[n%len(kinds)], length: 4 * time.Second})
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * testWindow)
		for _, x := range w.machines {
			x.kill()
		}
		for piece := first; piece < first+windows-2; piece++ {
			at, ok := w.platform.accepted[piece]
			if !ok {
				t.Errorf("piece %d was not done", piece-first)
				continue
			}
			o.worst = max(o.worst, at.Sub(dueOf(piece)))
		}
		holders := map[string]bool{}
		for _, a := range w.platform.acts {
			holders[a.machine] = true
		}
		o.callsAPiece, o.holders = float64(w.calls)/windows, len(holders)
		if len(w.platform.violations) > 0 {
			t.Error(w.platform.violations)
		}
	})
	return o
}

// TestHoldersThatAreStruck compares the two orders of holders, and fleets of three
// sizes: what is due is done within the 5.5 s that reports leave, and the calls do
// not grow with the fleet.
func TestHoldersThatAreStruck(t *testing.T) {
	for _, keep := range []bool{true, false} {
		var small float64
		for _, machines := range []int{30, 100, 300} {
			o := struck(t, machines, keep)
			t.Logf("keep=%v, %d machines: %.1f calls a piece, %s late at most, %d holders", keep, machines, o.callsAPiece, o.worst, o.holders)
			if limit := 10*time.Second - testDelay; o.worst > limit {
				t.Errorf("%s late, want %s at most", o.worst, limit)
			}
			if machines == 30 {
				small = o.callsAPiece
			}
			if o.callsAPiece > 1.3*small {
				t.Errorf("%s", fmt.Sprintf("%.1f calls a piece with %d machines, %.1f with 30", o.callsAPiece, machines, small))
			}
		}
	}
}
