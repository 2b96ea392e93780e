package duty

import (
	"fmt"
	"testing"
	"time"
)

// TestEachPieceHasFewCandidates asks all processes of a fleet for their delays for many pieces:
// each piece must have the same small number of candidates with different delays, and over many
// pieces each process must be the first one about equally often, whatever the size of the fleet.
func TestEachPieceHasFewCandidates(t *testing.T) {
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
				delay, candidate := o.Delay(piece, false)
				if !candidate {
					continue
				}
				at[delay.Milliseconds()] = true
				if delay == 0 {
					firsts[name]++
				}
			}
			if len(at) != ManyCandidates {
				t.Fatalf("%d processes: %d different delays for a piece", n, len(at))
			}
		}
		for name, count := range firsts {
			if count > 8*pieces/n+8 {
				t.Errorf("%d processes: %s is first at %d of %d pieces", n, name, count, pieces)
			}
		}
	}
}

// TestHolderChangesOnlyBetweenLongWindows checks that with a lease of 3 s the holder may change
// between windows of 5 s, but not between windows of 2 s.
func TestHolderChangesOnlyBetweenLongWindows(t *testing.T) {
	for interval, want := range map[time.Duration]bool{5 * time.Second: false, 2 * time.Second: true} {
		if got := ShouldPreferHolder(interval, 3*time.Second); got != want {
			t.Errorf("%s: %v", interval, got)
		}
	}
}

func TestLastHolderHasNoDelay(t *testing.T) {
	others := func() []string { return []string{"a", "b", "c"} }
	o := &CandidateOrder{Self: "a", Others: others, PreferHolder: true}
	if delay, candidate := o.Delay(1, true); delay != 0 || !candidate {
		t.Errorf("got %s, %v", delay, candidate)
	}
	for piece := range uint64(20) {
		if delay, candidate := o.Delay(piece, false); delay < candidateStep || !candidate {
			t.Errorf("others must wait for the last holder: got %s, %v", delay, candidate)
		}
	}
	// A process that does not know the others yet is the first candidate for each piece.
	alone := &CandidateOrder{Self: "a", Others: func() []string { return nil }}
	if delay, candidate := alone.Delay(7, false); delay != 0 || !candidate {
		t.Errorf("got %s, %v", delay, candidate)
	}
}
