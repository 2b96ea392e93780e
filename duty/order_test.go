package duty

import (
	"fmt"
	"testing"
	"time"
)

// TestEveryPieceHasItsLookers asks all processes of a fleet for their turns at
// many pieces: the same few look after each piece, each at a time of its own, and
// over many pieces all come first alike. That does not change with the fleet.
func TestEveryPieceHasItsLookers(t *testing.T) {
	for _, n := range []int{30, 100, 300} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprint("10.0.0.", i)
		}
		firsts := map[string]int{}
		const pieces = 300
		for piece := range uint64(pieces) {
			at := map[int64]bool{}
			for _, name := range names {
				o := &CandidateOrder{Self: name, Others: func() []string { return names }}
				delay, mine := o.Delay(piece, false)
				if !mine {
					continue
				}
				at[delay.Milliseconds()] = true
				if delay == 0 {
					firsts[name]++
				}
			}
			if len(at) != ManyCandidates {
				t.Fatalf("%d processes: %d turns at a piece", n, len(at))
			}
		}
		for name, count := range firsts {
			if count > 8*pieces/n+8 {
				t.Errorf("%d processes: %s is first at %d of %d pieces", n, name, count, pieces)
			}
		}
	}
}

// TestShortIntervalsKeepTheirHolder: a window of 5 s leaves time between two
// holders with a lease of 3 s, one of 2 s does not.
func TestShortIntervalsKeepTheirHolder(t *testing.T) {
	for interval, want := range map[time.Duration]bool{5 * time.Second: false, 2 * time.Second: true} {
		if got := ShouldPreferHolder(interval, 3*time.Second); got != want {
			t.Errorf("%s: %v", interval, got)
		}
	}
}

func TestTheLastHolderGoesFirst(t *testing.T) {
	others := func() []string { return []string{"a", "b", "c"} }
	o := &CandidateOrder{Self: "a", Others: others, PreferHolder: true}
	if delay, mine := o.Delay(1, true); delay != 0 || !mine {
		t.Errorf("got %s, %v", delay, mine)
	}
	for piece := range uint64(20) {
		if delay, mine := o.Delay(piece, false); delay < turnStep || !mine {
			t.Errorf("others wait for the last holder: got %s, %v", delay, mine)
		}
	}
	// One that does not know the list yet looks after each piece itself.
	alone := &CandidateOrder{Self: "a", Others: func() []string { return nil }}
	if delay, mine := alone.Delay(7, false); delay != 0 || !mine {
		t.Errorf("got %s, %v", delay, mine)
	}
}
