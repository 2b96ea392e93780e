package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"mulberryscale.example/membership"
	"mulberryscale.example/platform"
	"mulberryscale.example/wire"
)

// floorView is an entry's view of six agents in three zones, all live.
func floorView() (*membership.View, []platform.Instance) {
	var list []platform.Instance
	for i, zone := range []string{"patan", "patan", "bhaktapur", "bhaktapur", "kirtipur", "kirtipur"} {
		list = append(list, platform.Instance{ID: string(rune('a' + i)), Role: platform.RoleAgent, Zone: zone, Addr: "10.0.0.1:1", State: platform.InstanceLive})
	}
	view := membership.NewView()
	view.Listed(list)
	for _, in := range list {
		report(view, in.ID, 1)
	}
	return view, list
}

func report(view *membership.View, id string, seq uint64) {
	r := wire.Report{Seq: seq, Zone: "patan", Healthy: true, Slots: 8, Capacity: 100, Models: []wire.ModelReport{{Model: "guide", Version: 1, Ready: true}}}
	view.Reported(wire.Header{From: id, Incarnation: "first"}, r, time.Unix(1000, 0))
}

// picks are the agents that 200 requests go to.
func picks(t *testing.T, view *membership.View) map[string]int {
	t.Helper()
	router, rng := NewInteractive(), rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for range 200 {
		a, err := router.Pick(&Request{Model: "guide", Zone: "patan"}, view.Snapshot(), rng)
		if err != nil {
			t.Fatal(err)
		}
		got[a.ID]++
	}
	return got
}

// TestCutZone: the agents of a zone that is cut get nothing while others live.
func TestCutZone(t *testing.T) {
	view, _ := floorView()
	view.Suspect("a")
	view.Suspect("b")
	if got := picks(t, view); got["a"]+got["b"] > 0 || len(got) == 0 {
		t.Errorf("picked %v with patan cut off", got)
	}
}

// TestAllSuspect: when all reports stop, all agents are still used, also when the
// instance list shows nothing; the first that reports again gets the work.
func TestAllSuspect(t *testing.T) {
	view, list := floorView()
	for _, in := range list {
		view.Suspect(in.ID)
	}
	view.Listed(nil)
	if got := picks(t, view); len(got) < 2 {
		t.Errorf("picked %v when all are suspect", got)
	}
	report(view, "e", 2)
	if got := picks(t, view); got["e"] != 200 {
		t.Errorf("picked %v when only e reports", got)
	}
}

// TestLeavingIsNoFloor: an agent that leaves gets nothing even when it is the last.
func TestLeavingIsNoFloor(t *testing.T) {
	view, list := floorView()
	for _, in := range list {
		view.Leaving(in.ID)
	}
	if a, err := NewInteractive().Pick(&Request{Model: "guide"}, view.Snapshot(), rand.New(rand.NewPCG(1, 2))); err == nil {
		t.Errorf("%s was picked while it leaves", a.ID)
	}
}
