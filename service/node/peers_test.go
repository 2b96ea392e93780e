package node

import (
	"errors"
	"fmt"
	"testing"

	"mulberryscale.example/fleet"
	"mulberryscale.example/store"
)

// listed is a view of engines in n machines, the first of which is this one's, and
// of one plain service.
func listed(n int) *fleet.View {
	view := fleet.NewView()
	var list []fleet.Instance
	for i := range n {
		list = append(list, fleet.Instance{
			ID: fmt.Sprint("e", i), Service: "models", Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Versions: map[string]uint64{"m": 1},
		})
	}
	list = append(list, fleet.Instance{ID: "p", Service: "plain", Addr: "10.0.1.1:80", Versions: map[string]uint64{}})
	view.UpdateInstances(list, nil)
	return view
}

// TestAgentsAreAskedInAnOrderOfOnesOwn spreads processes without a path to the
// store over the agents: never a plain service's machine, never one's own.
func TestAgentsAreAskedInAnOrderOfOnesOwn(t *testing.T) {
	const engines = 12
	view := listed(engines)
	first := map[string]int{}
	for i := range 200 {
		o := &others{node: fmt.Sprint("node-", i), own: "10.0.0.1:80", port: 7300, view: view, peers: &peers{}}
		hosts := o.hosts()
		if len(hosts) != engines-1 {
			t.Fatalf("%d machines", len(hosts))
		}
		for _, h := range hosts {
			if h == "10.0.0.1" || h == "10.0.1.1" {
				t.Fatalf("%s is asked", h)
			}
		}
		if again := o.hosts(); fmt.Sprint(again) != fmt.Sprint(hosts) {
			t.Fatalf("the order changed from %v to %v", hosts, again)
		}
		first[hosts[0]]++
	}
	for host, n := range first {
		if n > 3*200/engines {
			t.Errorf("%s is the first of %d of 200 processes", host, n)
		}
	}
}

// TestOthersAreDrawnOnWhenAllHaveFailed has no keys, so that no call is sent.
func TestOthersAreDrawnOnWhenAllHaveFailed(t *testing.T) {
	o := &others{node: "n", port: 7300, view: listed(7), peers: &peers{}}
	for round := range 4 {
		if turn := int(o.turn.Load()); turn != round {
			t.Fatalf("turn %d in round %d", turn, round)
		}
		drawn := o.Candidates()
		if len(drawn) != othersAsked {
			t.Fatalf("%d drawn", len(drawn))
		}
		for _, by := range drawn {
			if _, err := by.List(t.Context(), store.Range{}); !errors.Is(err, store.ErrRefused) {
				t.Fatalf("a call that was not sent: %v", err)
			}
		}
	}
	if n := len((&others{view: fleet.NewView(), peers: &peers{}}).Candidates()); n != 0 {
		t.Errorf("%d drawn from an empty list", n)
	}
}

func TestNothingIsSentWithoutKeys(t *testing.T) {
	if _, err := (&peers{}).Call(t.Context(), "10.0.0.1:7300", nil); !errors.Is(err, errUnsent) || !errors.Is(err, errNoKeys) {
		t.Errorf("got %v", err)
	}
}
