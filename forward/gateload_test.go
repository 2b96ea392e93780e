package forward

import (
	"testing"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/loadview"
)

// TestLoadCountsWhatBecameOfRequests guards against requests that the operator's view misses or
// counts twice: answered in time and late, refused at their deadline, failed, and waiting.
func TestLoadCountsWhatBecameOfRequests(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		filled := r.fill()
		late := r.request("late", fleet.KindUnsafe)
		late.Organisation, late.Route.Objective = "second", 10*time.Millisecond
		refused := r.request("refused", fleet.KindUnsafe)
		refused.Organisation, refused.Deadline = "second", time.Now().Add(300*time.Millisecond)
		lateDone, refusedDone := r.start(r.ctx, late), r.start(r.ctx, refused)
		if c := classOf(t, r, 2, "second"); c.Asked != 2 || c.Waiting != 2 {
			t.Errorf("%+v, want both to wait", c)
		}
		wantRefusal(t, <-refusedDone, ReasonNotAdmitted, true)
		r.answerAll(whole)
		<-filled
		<-lateDone
		c := classOf(t, r, 2, "second")
		if c.Late != 1 || c.Waiting != 0 || c.RefusedTotal() != 1 || c.InTime+c.Failed != 0 {
			t.Errorf("%+v, want one late and one refused", c)
		}
		if all := classOf(t, r, 0, ""); all.Asked == 0 || all.InTime+all.Late != all.Asked {
			t.Errorf("%+v, want all answered", all)
		}
		if s := r.Gates.Load().Services; len(s) != 1 || s[0].Name != "s" || len(s[0].Windows) != 1 {
			t.Errorf("%+v", s)
		}
	})
}

// classOf returns the counts of a class of the rig's service.
func classOf(t *testing.T, r *gatedRig, rank int, organisation string) loadview.Class {
	t.Helper()
	for _, c := range r.Gates.Load().Services[0].Classes {
		if c.ClassKey == (loadview.ClassKey{Rank: rank, Organisation: organisation}) {
			return c
		}
	}
	t.Fatalf("no class of rank %d and organisation %q", rank, organisation)
	return loadview.Class{}
}
