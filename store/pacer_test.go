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
		t.Errorf("after 500 rows: %s, want MaxPause", got)
	}
	if got := newPacer(Pace{}).pause(big); got != 0 {
		t.Errorf("without a budget: %s", got)
	}
	if got := newPacer(Pace{MinPause: 2 * time.Second, MaxPause: 2 * time.Second, BytesPerSecond: 1}).pause(small); got != 2*time.Second {
		t.Errorf("with MinPause: %s", got)
	}
}

// TestBurstIsBounded: after a long idle period only Burst's worth of budget is available,
// and then pauses start.
func TestBurstIsBounded(t *testing.T) {
	p := newPacer(Pace{BytesPerSecond: 1000, MaxPause: time.Second, Burst: 2 * time.Second})
	p.updatedAt = p.updatedAt.Add(-time.Hour)
	rows := Snapshot{Rows: []Row{{Value: make([]byte, 450)}}} // about a second's budget
	pauses := 0
	for range 6 {
		if p.pause(rows) > 0 {
			pauses++
		}
	}
	if pauses < 4 || pauses > 5 {
		t.Errorf("%d pauses after six responses, want 4 or 5: the credit covers two", pauses)
	}
}
