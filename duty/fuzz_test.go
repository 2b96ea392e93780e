package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/internal/standin/rowstore"
)

// event is a failure of a machine, the store or the platform.
type event struct {
	after   time.Duration // after the event before
	kind    string
	machine int
	length  time.Duration
	store   []rowstore.Outcome
	calls   []outcome
}

// drawEvents draws the failures of a test: machines that are killed, frozen or partitioned, more
// often the holder of the duty than others, and calls that fail in each possible way.
func drawEvents(t *rapid.T, machines int) []event {
	kinds := []string{"kill", "freeze", "cut", "store", "calls", "freeze holder", "kill holder", "cut holder", "freeze claimer", "calm"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			after:   time.Duration(rapid.IntRange(1, 2500).Draw(t, "after")) * time.Millisecond,
			kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
			machine: rapid.IntRange(0, machines-1).Draw(t, "machine"),
			length:  time.Duration(rapid.IntRange(1, 9000).Draw(t, "length")) * time.Millisecond,
			store: rapid.SliceOfN(rapid.SampledFrom([]rowstore.Outcome{
				rowstore.Refused, rowstore.ReplyLost, rowstore.RequestLost, rowstore.Late, rowstore.Done,
			}), 1, 4).Draw(t, "store"),
			calls: rapid.SliceOfN(rapid.SampledFrom([]outcome{answerLost, refused, requestLost, answered}), 1, 4).Draw(t, "calls"),
		}
	}), 5, 30).Draw(t, "events")
}

// runEvents applies events. It returns the violations of the rules that the platform detected, and
// the number of pieces that were not done in time after the last failure.
func runEvents(t *testing.T, machines int, preferHolder bool, m mutation, events []event) (violations []string, late int) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(machines, preferHolder, m)
		for _, x := range w.machines {
			x.start()
		}
		for _, e := range events {
			time.Sleep(e.after)
			w.apply(e)
		}
		time.Sleep(12 * time.Second) // all freezes and partitions are over, each window is due
		quietSince := time.Now()
		time.Sleep(3 * testWindow)
		for _, x := range w.machines {
			x.kill()
		}
		synctest.Wait()
		violations = w.platform.violations
		for piece := pieceAt(quietSince) - 1; dueOf(piece).Before(quietSince.Add(testWindow)); piece++ {
			if _, ok := w.platform.accepted[piece]; !ok {
				late++
			}
		}
		time.Sleep(rowstore.LateBy) // the goroutines of the store's late writes have finished
	})
	return violations, late
}

// apply applies an event.
func (w *world) apply(e event) {
	x := w.machines[e.machine]
	switch e.kind {
	case "freeze holder", "kill holder", "cut holder":
		if holder := w.holder(); holder != nil {
			x = holder
		}
	}
	switch e.kind {
	case "kill", "kill holder":
		x.kill()
		x.start()
	case "freeze", "freeze holder":
		x.freeze(e.length)
	case "cut", "cut holder":
		x.partition(e.length)
	case "freeze claimer":
		w.mu.Lock()
		w.freezeAfterWrite = e.length
		w.mu.Unlock()
	case "store":
		w.store.QueueOutcomes(e.store...)
	case "calls":
		w.platform.mu.Lock()
		w.platform.outcomes = append(w.platform.outcomes, e.calls...)
		w.platform.mu.Unlock()
	}
}

// holder returns the machine of the term in the store, or nil.
func (w *world) holder() *machine {
	for _, row := range w.store.Rows(Table) {
		term, err := DecodeTerm(row.Value)
		if err != nil {
			continue
		}
		for _, x := range w.machines {
			if x.name == term.Machine {
				return x
			}
		}
	}
	return nil
}

const testMachines = 4

// TestDutyUnderFailure draws failures of machines, store and platform. The platform must never see
// two decisions for a piece, one token used by two machines, a token that decreases, or machines
// that alternate within the lease. Once there are no more failures, each piece must be done in
// time.
func TestDutyUnderFailure(t *testing.T) {
	for _, preferHolder := range []bool{true, false} {
		t.Run(fmt.Sprintf("keep=%v", preferHolder), func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				violations, late := runEvents(t, testMachines, preferHolder, noMutation, drawEvents(r, testMachines))
				if len(violations) > 0 || late > 0 {
					r.Fatalf("violations: %v; pieces late after the last failure: %d", violations, late)
				}
			})
		})
	}
}

// TestEachMechanismIsNeeded disables the fencing token, the check of terms and the recorded
// decision one by one. Each time the platform must detect a violation.
func TestEachMechanismIsNeeded(t *testing.T) {
	for name, m := range map[string]mutation{"fencing token": withoutFence, "term": withoutTerm, "recorded decision": withoutDecision} {
		t.Run(name, func(t *testing.T) {
			for seed := range 200 {
				events := rapid.Custom(func(r *rapid.T) []event { return drawEvents(r, testMachines) }).Example(seed)
				if violations, _ := runEvents(t, testMachines, false, m, events); len(violations) > 0 {
					return
				}
			}
			t.Error("no violation without it")
		})
	}
}
