package node

import (
	"errors"
	"fmt"
	"testing"

	"mulberryscale.example/fleet"
	"mulberryscale.example/store"
)

// viewOfEngines returns a view of n engines on n hosts, the first of which is the
// caller's, and of one plain service.
func viewOfEngines(n int) *fleet.View {
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

// TestAgentOrderDiffersBetweenProcesses checks that processes that cannot reach the store
// are spread over the agents, and never use their own agent or a plain service's host.
func TestAgentOrderDiffersBetweenProcesses(t *testing.T) {
	const engines = 12
	view := viewOfEngines(engines)
	first := map[string]int{}
	for i := range 200 {
		o := &relayAgents{node: fmt.Sprint("node-", i), ownEngine: "10.0.0.1:80", port: 7300, view: view, peers: &peers{}}
		hosts := o.hosts()
		if len(hosts) != engines-1 {
			t.Fatalf("got %d hosts", len(hosts))
		}
		for _, h := range hosts {
			if h == "10.0.0.1" || h == "10.0.1.1" {
				t.Fatalf("%s is among the hosts", h)
			}
		}
		if again := o.hosts(); fmt.Sprint(again) != fmt.Sprint(hosts) {
			t.Fatalf("the order changed from %v to %v", hosts, again)
		}
		first[hosts[0]]++
	}
	for host, n := range first {
		if n > 3*200/engines {
			t.Errorf("%s is the first host of %d of 200 processes", host, n)
		}
	}
}

// TestNextAgentsAreSelectedAfterAllFail checks that the next agents are selected after
// all selected ones have failed. Without keys no call is sent, so each fails.
func TestNextAgentsAreSelectedAfterAllFail(t *testing.T) {
	o := &relayAgents{node: "n", port: 7300, view: viewOfEngines(7), peers: &peers{}}
	for round := range 4 {
		if rotation := int(o.rotation.Load()); rotation != round {
			t.Fatalf("rotation %d in round %d", rotation, round)
		}
		relays := o.Candidates()
		if len(relays) != relaysPerCall {
			t.Fatalf("%d agents selected", len(relays))
		}
		for _, by := range relays {
			if _, err := by.List(t.Context(), store.Range{}); !errors.Is(err, store.ErrRefused) {
				t.Fatalf("got %v for a call that was not sent", err)
			}
		}
	}
	if n := len((&relayAgents{view: fleet.NewView(), peers: &peers{}}).Candidates()); n != 0 {
		t.Errorf("%d agents selected from an empty list", n)
	}
}

func TestNothingIsSentWithoutKeys(t *testing.T) {
	if _, err := (&peers{}).Call(t.Context(), "10.0.0.1:7300", nil); !errors.Is(err, errUnsent) || !errors.Is(err, errNoKeys) {
		t.Errorf("got %v", err)
	}
}

// TestAgentsAreRankedOncePerSnapshot makes many calls through other agents with 100, 300 and 1,000
// engines: the agents must be ranked again only when the list has changed, since a process that the
// store refuses makes several calls a second.
func TestAgentsAreRankedOncePerSnapshot(t *testing.T) {
	const changes, callsEach = 3, 50
	for _, engines := range []int{100, 300, 1000} {
		view := viewOfEngines(engines)
		o := &relayAgents{node: "n", port: 7300, view: view, peers: &peers{}}
		for range changes {
			view.UpdateInstances(nil, []string{"p"})
			for range callsEach {
				o.Candidates()
			}
		}
		if o.rankedHosts > changes*engines {
			t.Errorf("%d engines: %d hosts ranked for %d changes of the list", engines, o.rankedHosts, changes)
		}
	}
}
