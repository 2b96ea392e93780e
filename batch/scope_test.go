package batch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestScopesAreDisjoint checks, for two organisations and two ids, that their scoped ids
// are the same only if both are the same.
func TestScopesAreDisjoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-c:/%+]{0,4}`)
		o1, o2, id1, id2 := name.Draw(t, "o1"), name.Draw(t, "o2"), name.Draw(t, "id1"), name.Draw(t, "id2")
		same := o1 == o2 && id1 == id2
		if (ScopedID(o1, id1) == ScopedID(o2, id2)) != same {
			t.Fatalf("%q and %q", ScopedID(o1, id1), ScopedID(o2, id2))
		}
		if got := ClientID(ScopedID(o1, id1)); got != id1 {
			t.Fatalf("the client's id is %q instead of %q", got, id1)
		}
	})
}

// TestItemsRunUnderTheOrganisationOfTheirJob checks the organisation of all runs, also
// of those on an agent that took the items over after another one crashed.
func TestItemsRunUnderTheOrganisationOfTheirJob(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newWorkerRig(t, 2)
		r.submit("job", 6, func(j *Job) { j.Organisation = "guthi" })
		time.Sleep(150 * time.Millisecond)
		r.kill(1)
		r.requireComplete(r.await("job", 6, 20*time.Second))
		for _, run := range r.runs() {
			if run.organisation != "guthi" {
				t.Errorf("item %s ran under %q at %s", run.item, run.organisation, run.engine)
			}
		}
	})
}

// TestUnfinishedTextStaysWithItsOrganisation ends a job of one organisation in the
// middle of an item and submits an item of the same id for another organisation: only
// the same organisation gets the saved text.
func TestUnfinishedTextStaysWithItsOrganisation(t *testing.T) {
	for organisation, after := range map[string]bool{"guthi": true, "trust": false, "": false} {
		t.Run(organisation, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				r := newWorkerRig(t, 1)
				item := someItems(1)[0].ID
				r.engines.lengths[item] = 60
				of := func(name string) func(*Job) { return func(j *Job) { j.Organisation = name } }
				r.submit("first", 1, of("guthi"))
				time.Sleep(1600 * time.Millisecond)
				if err := r.ledger.End(t.Context(), "first"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(500 * time.Millisecond)
				r.submit("second", 1, of(organisation))
				r.await("second", 1, 10*time.Second)
				runs := r.runsOf(item)
				if last := runs[len(runs)-1]; (last.lastEventID > 0) != after {
					t.Errorf("resumed after event %d", last.lastEventID)
				}
			})
		})
	}
}
