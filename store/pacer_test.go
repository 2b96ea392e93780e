package store

import (
	"testing"
	"time"
)

func TestPauseFollowsFromCostAndBudget(t *testing.T) {
	p := Pace{BytesPerSecond: 5000, MaxPause: time.Second}
	small := Snapshot{Rows: []Row{{Value: make([]byte, 300)}}}
	big := Snapshot{Rows: make([]Row, 500)}
	if got := newPacer(p).pause(small); got <= 0 || got > 200*time.Millisecond {
		t.Errorf("after one row: %s", got)
	}
	if got := newPacer(p).pause(big); got != time.Second {
		t.Errorf("after 500 rows: %s, want the largest age", got)
	}
	if got := newPacer(Pace{}).pause(big); got != 0 {
		t.Errorf("without a budget: %s", got)
	}
	if got := newPacer(Pace{MinPause: 2 * time.Second, MaxPause: 2 * time.Second, BytesPerSecond: 1}).pause(small); got != 2*time.Second {
		t.Errorf("with a least age: %s", got)
	}
}

// TestSavingsAreBounded: what was saved is spent once, and then pauses are made.
func TestSavingsAreBounded(t *testing.T) {
	p := newPacer(Pace{BytesPerSecond: 1000, MaxPause: time.Second, Burst: 2 * time.Second})
	p.at = p.at.Add(-time.Hour)
	rows := Snapshot{Rows: []Row{{Value: make([]byte, 450)}}} // about a second's budget
	pauses := 0
	for range 6 {
		if p.pause(rows) > 0 {
			pauses++
		}
	}
	if pauses < 4 || pauses > 5 {
		t.Errorf("%d pauses after six answers, two of which were saved for", pauses)
	}
}
