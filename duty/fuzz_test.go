package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/internal/standin/rowstore"
)

// event is something that happens to a machine, the store or the platform.
type event struct {
	after   time.Duration // the event before it
	kind    string
	machine int
	length  time.Duration
	store   []rowstore.Outcome
	calls   []outcome
}

// drawEvents draws what happens in a test: kills, freezes and cuts, more often of
// whoever holds the duty, and calls that fail in each way.
func drawEvents(t *rapid.T, machines int) []event {
	kinds := []string{"kill", "freeze", "cut", "store", "calls", "freeze holder", "kill holder", "cut holder", "freeze claimer", "calm"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			after:   time.Duration(rapid.IntRange(1, 2500).Draw(t, "after")) * time.Millisecond,
			kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
			machine: rapid.IntRange(0, machines-1).Draw(t, "machine"),
			length:  time.Duration(rapid.IntRange(1, 9000).Draw(t, "length")) * time.Millisecond,
			store: rapid.SliceOfN(rapid.SampledFrom([]rowstore.Outcome{
				rowstore.Refused, rowstore.Lost, rowstore.Dropped, rowstore.Late, rowstore.Done,
			}), 1, 4).Draw(t, "store"),
			calls: rapid.SliceOfN(rapid.SampledFrom([]outcome{unheard, tooMany, neverSeen, answered}), 1, 4).Draw(t, "calls"),
		}
	}), 5, 30).Draw(t, "events")
}

// play lets events happen and returns what the platform found broken.
func play(t *testing.T, machines int, keep bool, m mutation, events []event) (violations []string, late int) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(machines, keep, m)
		for _, x := range w.machines {
			x.start()
		}
		for _, e := range events {
			time.Sleep(e.after)
			w.happen(e)
		}
		time.Sleep(12 * time.Second) // all freezes and cuts are over, each window is due
		calm := time.Now()
		time.Sleep(3 * testWindow)
		for _, x := range w.machines {
			x.kill()
		}
		synctest.Wait()
		violations = w.platform.violations
		for piece := pieceAt(calm) - 1; dueOf(piece).Before(calm.Add(testWindow)); piece++ {
			if _, ok := w.platform.accepted[piece]; !ok {
				late++
			}
		}
		time.Sleep(rowstore.LateBy) // late writes are the store's goroutines
	})
	return violations, late
}

// happen lets an event happen.
func (w *world) happen(e event) {
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
		x.cutOff(e.length)
	case "freeze claimer":
		w.mu.Lock()
		w.trapped = e.length
		w.mu.Unlock()
	case "store":
		w.store.Next(e.store...)
	case "calls":
		w.platform.mu.Lock()
		w.platform.outcomes = append(w.platform.outcomes, e.calls...)
		w.platform.mu.Unlock()
	}
}

// holder is the machine of the term in the store.
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

// TestDutyUnderFailure draws failures of machines, store and platform: the
// platform never sees two decisions on a piece, a token of two machines, a token
// that falls, or machines that take turns within the lease; and once all is calm
// each piece is done in time.
func TestDutyUnderFailure(t *testing.T) {
	for _, keep := range []bool{true, false} {
		t.Run(fmt.Sprintf("keep=%v", keep), func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				violations, late := play(t, testMachines, keep, whole, drawEvents(r, testMachines))
				if len(violations) > 0 || late > 0 {
					r.Fatalf("broken: %v; pieces late once all is calm: %d", violations, late)
				}
			})
		})
	}
}

// TestEachMechanismIsNeeded takes out the fencing token, the judging of terms and
// the recorded decision one by one: the platform finds something broken.
func TestEachMechanismIsNeeded(t *testing.T) {
	for name, m := range map[string]mutation{"fencing token": withoutFence, "term": withoutTerm, "recorded decision": withoutDecision} {
		t.Run(name, func(t *testing.T) {
			for seed := range 200 {
				events := rapid.Custom(func(r *rapid.T) []event { return drawEvents(r, testMachines) }).Example(seed)
				if violations, _ := play(t, testMachines, false, m, events); len(violations) > 0 {
					return
				}
			}
			t.Error("nothing is broken without it")
		})
	}
}
