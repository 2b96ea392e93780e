package picker

import (
	"fmt"
	"testing"
	"time"

	"mulberryscale.example/fleet"
)

var start = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)

// rig is a picker with n equal instances in one zone.
type rig struct {
	*Picker
	candidates []fleet.Instance
	now        time.Time
	next       int
}

func newRig(n int) *rig {
	r := &rig{Picker: New(), now: start}
	for i := range n {
		r.candidates = append(r.candidates, fleet.Instance{ID: fmt.Sprint("i", i), Slots: 6, Zone: "z"})
	}
	return r
}

func (r *rig) pick() fleet.Instance {
	r.next++
	i, _ := r.Pick(Query{Candidates: r.candidates, Zone: "z", Request: fmt.Sprint(r.next), Now: r.now})
	return i
}

// serve sends n requests one after the other, each answered after the usual 25 ms, by i0 after
// slow times that; it returns how many went to i0.
func (r *rig) serve(n int, slow float64) (toSlow int) {
	for range n {
		i := r.pick()
		took := 25 * time.Millisecond
		if i.ID == "i0" {
			took = time.Duration(slow * float64(took))
			toSlow++
		}
		r.Begin(i.Incarnation(), false, r.now)
		r.now = r.now.Add(took)
		r.End(i.Incarnation(), Outcome{Answered: true, Kind: "k", Took: took}, r.now)
	}
	return toSlow
}

func TestSlowInstanceGetsLittle(t *testing.T) {
	r := newRig(4)
	if n := r.serve(200, 1); n < 30 {
		t.Fatalf("equal instances: one of four got %d of 200", n)
	}
	r.serve(20, 5)
	if n := r.serve(200, 5); n > 20 {
		t.Errorf("one that takes five times as long got %d of 200", n)
	}
}

// A slowdown within the spread of the work itself changes nothing.
func TestSomewhatSlowerInstanceKeepsItsShare(t *testing.T) {
	r := newRig(4)
	r.serve(200, 1.4)
	if n := r.serve(200, 1.4); n < 30 {
		t.Errorf("got %d of 200", n)
	}
}

func TestRecoveredInstanceComesBack(t *testing.T) {
	r := newRig(4)
	r.serve(100, 1)
	r.serve(100, 5)
	r.now = r.now.Add(5 * slowdownMemory)
	r.serve(50, 1)
	if n := r.serve(200, 1); n < 30 {
		t.Errorf("got %d of 200 after it had recovered", n)
	}
}

// Requests of different kinds take different times; each is compared with its own kind.
func TestInstancesAreComparedPerRequestKind(t *testing.T) {
	r := newRig(2)
	for range 50 {
		for i, kind := range []string{"short", "long"} {
			inc := r.candidates[i].Incarnation() // i0 gets all short requests, i1 all long ones
			r.Begin(inc, false, r.now)
			r.End(inc, Outcome{Answered: true, Kind: kind, Took: time.Duration(1+9*i) * 20 * time.Millisecond}, r.now)
		}
	}
	got := map[string]int{}
	for range 100 {
		got[r.pick().ID]++
	}
	if got["i0"] < 30 || got["i1"] < 30 {
		t.Errorf("picked %v", got)
	}
}

// An instance that is slow and suspect is used when there is no other.
func TestSlowSuspectInstanceIsUsedAsLastResort(t *testing.T) {
	r := newRig(1)
	r.serve(10, 1)
	r.serve(50, 9)
	inc := r.candidates[0].Incarnation()
	r.Begin(inc, false, r.now)
	r.End(inc, Outcome{}, r.now)
	if i := r.pick(); i.ID != "i0" {
		t.Fatalf("picked %q", i.ID)
	}
}

// TestConcurrentRiskyRequestsAreSeparated guards against two risky requests that go to the same
// instance because each was picked before the other had begun.
func TestConcurrentRiskyRequestsAreSeparated(t *testing.T) {
	r := newRig(2)
	q := Query{Candidates: r.candidates, Zone: "z", Request: "same", AvoidRisky: true, Now: r.now}
	first, ok := r.Take(q, true)
	if !ok {
		t.Fatal("no instance for the first request")
	}
	second, ok := r.Take(q, true)
	if !ok || second.ID == first.ID {
		t.Errorf("both went to %s", second.ID)
	}
	if third, ok := r.Take(q, true); ok {
		t.Errorf("a third request went to %s", third.ID)
	}
	if _, ok := r.Pick(q); ok {
		t.Error("an instance was picked although all have a risky request")
	}
}

// TestTrusted guards against requests that go to an instance which has just failed to answer because
// the others have no room: it is left out, unless all have failed.
func TestTrusted(t *testing.T) {
	p, now := New(), time.Unix(1e9, 0)
	list := []fleet.Instance{{ID: "a"}, {ID: "b"}}
	if got := p.Trusted(list, now); len(got) != 2 {
		t.Fatalf("got %v", got)
	}
	p.Begin(list[0].Incarnation(), false, now)
	p.End(list[0].Incarnation(), Outcome{}, now)
	if got := p.Trusted(list, now); len(got) != 1 || got[0].ID != "b" || list[0].ID != "a" {
		t.Errorf("got %v of %v", got, list)
	}
	if got := p.Trusted(list[:1], now); len(got) != 1 {
		t.Errorf("got %v of the suspect alone", got)
	}
	if got := p.Trusted(list, now.Add(suspectTime)); len(got) != 2 {
		t.Errorf("got %v after the suspect's time", got)
	}
}

// TestWithdrawnRequestLeavesNoLoad checks that a request which was not sent after all is not counted.
func TestWithdrawnRequestLeavesNoLoad(t *testing.T) {
	p, now := New(), time.Unix(1e9, 0)
	q := Query{Candidates: []fleet.Instance{{ID: "a", Slots: 1}}, Request: "r", Now: now}
	to, _ := p.Take(q, true)
	p.Withdraw(to.Incarnation(), true)
	if l := p.loadOf(to.Incarnation()); l.outstanding != 0 || l.risky != 0 {
		t.Errorf("got %+v", l)
	}
}
