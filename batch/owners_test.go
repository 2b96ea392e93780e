package batch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/fleet"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/transport/codec"
)

// TestLimitedOwnersGetTheSameItems compares the assignment of a job's items to all engines of its
// model with that to the limited owners.
func TestLimitedOwnersGetTheSameItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := make([]string, rapid.IntRange(0, 40).Draw(t, "engines"))
		for i := range engines {
			engines[i] = engineAddr(i)
		}
		ready := rapid.IntRange(0, len(engines)).Draw(t, "ready")
		items := make([]Item, rapid.IntRange(1, 60).Draw(t, "items"))
		for i := range items {
			items[i] = Item{ID: fmt.Sprint("i", i), Tokens: rapid.IntRange(1, 30000).Draw(t, "tokens")}
			if g := rapid.IntRange(0, 12).Draw(t, "group"); g > 0 {
				items[i].Group = fmt.Sprint("g", g)
			}
		}
		all := &Job{ID: "j", Owners: engines, Ready: ready}
		owners, limitedReady := limitOwners("j", engines, ready, len(groupItems(items)))
		limited := &Job{ID: "j", Owners: owners, Ready: limitedReady}
		want, got := AssignItems(all, items), AssignItems(limited, items)
		for i := range items {
			if want[i] == noOwner != (got[i] == noOwner) {
				t.Fatalf("item %d: owner %d of all, %d of the limited ones", i, want[i], got[i])
			}
			if want[i] != noOwner && all.Owners[want[i]] != limited.Owners[got[i]] {
				t.Fatalf("item %d goes to %s, with limited owners to %s", i, all.Owners[want[i]], limited.Owners[got[i]])
			}
		}
	})
}

// fleetJob returns the job of a submission of groups of items to a fleet of engines.
func fleetJob(engines, groups, groupItems int) *Job {
	view := fleet.NewView()
	view.SetConfig(&fleet.Config{Version: 1, Services: []fleet.Service{{Name: "svc", Models: []string{"m"}}}})
	var list []fleet.Instance
	for i := range engines {
		list = append(list, fleet.Instance{ID: fmt.Sprint("e", i), Service: "svc", Addr: engineAddr(i), Slots: 6, Versions: map[string]uint64{"m": 1}})
	}
	view.UpdateInstances(list, nil)
	s := rowstore.New()
	in := &Intake{View: view, Ledger: newLedger(s), Demand: NewDemand(), Now: s.Now, Log: observe.Discard(), Counters: observe.NewCounters()}
	var items []Item
	for i := range groups * groupItems {
		items = append(items, Item{ID: fmt.Sprint("i", i), Path: "/p", Tokens: 1000, Group: fmt.Sprint("g", i/groupItems)})
	}
	route := &fleet.Route{Name: "r", Backends: []fleet.Backend{{Service: "svc", Weight: 1}}, RunTarget: 7500 * time.Millisecond}
	return in.newJob(Submission{ID: "j", Route: route, Model: "m", Items: items}, time.Second)
}

// TestOwnersOfAJobDoNotGrowWithTheFleet submits a job of 23 groups to 100, 300 and 1,000 engines.
// Each owner reads the whole job and each process the job's row: neither the owners nor the row
// may grow with the engines.
func TestOwnersOfAJobDoNotGrowWithTheFleet(t *testing.T) {
	const groups, size = 23, 8
	for _, engines := range []int{100, 300, 1000} {
		job := fleetJob(engines, groups, size)
		row, err := codec.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		if len(job.Owners) != groups || job.Ready != groups || len(row) > 1000 {
			t.Errorf("%d engines: %d owners, %d ready, a row of %d bytes", engines, len(job.Owners), job.Ready, len(row))
		}
	}
}

// Guards against a job of many groups that a large fleet can never accept, since its owners don't
// fit into its row.
func TestRowOfALargeJobInALargeFleetFits(t *testing.T) {
	const engines, groups = 4500, 4500
	row, err := codec.Marshal(fleetJob(engines, groups, 1))
	if err != nil {
		t.Fatal(err)
	}
	ledger := &Ledger{RowBytes: 64 << 10}
	if len(row) > ledger.rowLimit() {
		t.Errorf("a row of %d bytes, want at most %d", len(row), ledger.rowLimit())
	}
}
