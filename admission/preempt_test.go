package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/wire"
)

// TestPreemptCount: as many training requests are preempted as interactive requests
// need slots, but never so many that training keeps less than its part of the slots.
func TestPreemptCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		training := rapid.IntRange(0, slots).Draw(t, "training")
		interactive := rapid.IntRange(0, 24).Draw(t, "interactive")
		q := New(Options{})
		q.SetSlots(slots)
		always := func(string) bool { return true }
		push(t, q, now, wire.ClassTraining, training)
		for range training {
			q.Pop(now, always)
		}
		push(t, q, now, wire.ClassInteractive, interactive)
		started := 0
		for next, _ := q.Pop(now, always); next != nil; next, _ = q.Pop(now, always) {
			started++
		}
		preempting := rapid.IntRange(0, training).Draw(t, "preempting")
		got := q.PreemptCount(preempting)
		waiting := interactive - started
		if got > max(waiting-preempting, 0) {
			t.Fatalf("%d preempted for %d waiting, with %d being preempted already", got, waiting, preempting)
		}
		left := training - preempting - got
		reserved := max(slots/trainingSlotDivisor, 1)
		if got > 0 && left < reserved {
			t.Fatalf("training keeps %d slots, want %d", left, reserved)
		}
		if waiting > preempting && left > reserved && got < waiting-preempting {
			t.Fatalf("%d preempted although %d more could be and %d wait", got, left-reserved, waiting)
		}
	})
}

func push(t *rapid.T, q *Queue, now time.Time, c wire.Class, n int) {
	for range n {
		if refusal := q.Push(now, &Item{Row: "row", Class: c, Tokens: 1}); refusal != nil {
			t.Fatal(refusal)
		}
	}
}
