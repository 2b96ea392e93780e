package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"mulberryscale.example/membership"
	"mulberryscale.example/platform"
	"mulberryscale.example/wire"
)

// newTestView returns an entry's view of six agents in three zones, all live.
func newTestView() (*membership.View, []platform.Instance) {
	var list []platform.Instance
	for i, zone := range []string{"patan", "patan", "bhaktapur", "bhaktapur", "kirtipur", "kirtipur"} {
		list = append(list, platform.Instance{ID: string(rune('a' + i)), Role: platform.RoleAgent, Zone: zone, Addr: "10.0.0.1:1", State: platform.InstanceLive})
	}
	view := membership.NewView()
	view.ApplyList(list)
	for _, in := range list {
		sendReport(view, in.ID, 1)
	}
	return view, list
}

// sendReport records a report of a healthy agent in the view.
func sendReport(view *membership.View, id string, seq uint64) {
	r := wire.Report{Seq: seq, Zone: "patan", Healthy: true, Slots: 8, Capacity: 100, Models: []wire.ModelReport{{Model: "guide", Version: 1, Ready: true}}}
	view.ApplyReport(wire.Header{From: id, Incarnation: "first"}, r, time.Unix(1000, 0))
}

// countPicks picks an agent for 200 requests and counts the picks by agent id.
func countPicks(t *testing.T, view *membership.View) map[string]int {
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

// TestPartitionedZoneGetsNoRequests: suspect agents of a zone that is partitioned off get no
// requests while others are live.
func TestPartitionedZoneGetsNoRequests(t *testing.T) {
	view, _ := newTestView()
	view.MarkSuspect("a")
	view.MarkSuspect("b")
	if got := countPicks(t, view); got["a"]+got["b"] > 0 || len(got) == 0 {
		t.Errorf("picked %v with patan partitioned off", got)
	}
}

// TestAllSuspect: when all reports stop, all agents are still picked, even when the
// instance list is empty; the first agent that reports again gets all requests.
func TestAllSuspect(t *testing.T) {
	view, list := newTestView()
	for _, in := range list {
		view.MarkSuspect(in.ID)
	}
	view.ApplyList(nil)
	if got := countPicks(t, view); len(got) < 2 {
		t.Errorf("picked %v when all are suspect", got)
	}
	sendReport(view, "e", 2)
	if got := countPicks(t, view); got["e"] != 200 {
		t.Errorf("picked %v when only e reports", got)
	}
}

// TestLeavingAgentsAreNeverPicked: a leaving agent gets no requests even when no other is left.
func TestLeavingAgentsAreNeverPicked(t *testing.T) {
	view, list := newTestView()
	for _, in := range list {
		view.MarkLeaving(in.ID)
	}
	if a, err := NewInteractive().Pick(&Request{Model: "guide"}, view.Snapshot(), rand.New(rand.NewPCG(1, 2))); err == nil {
		t.Errorf("%s was picked while leaving", a.ID)
	}
}
