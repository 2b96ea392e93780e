package edf

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	manyEngines = 44
	fleetSeed   = 1
	// twice is the load of the tests under overload, in shares of the capacity.
	twice = 2
)

// fleetCase runs a test for each number of engines and trainers.
func fleetCase(t *testing.T, trainers []int, test func(t *testing.T, engines, trainers int)) {
	for _, engines := range []int{1, manyEngines} {
		for _, n := range trainers {
			t.Run(fmt.Sprintf("%d-engines-%d-trainers", engines, n), func(t *testing.T) { test(t, engines, n) })
		}
	}
}

// fleetRun identifies a simulation; shared ones use the selection of all engines, others the engines' own
// orders alone.
type fleetRun struct {
	engines, trainers int
	load              float64
	shared            bool
}

// simulated holds the simulations that several tests look at.
var simulated = map[fleetRun]*fleetSimulation{}

// simulate returns a simulation after its day.
func simulate(engines, trainers int, load float64, shared bool) *fleetSimulation {
	run := fleetRun{engines, trainers, load, shared}
	if s, ok := simulated[run]; ok {
		return s
	}
	s := newFleet(fleetSeed, engines, trainers, load)
	s.shared = shared
	s.run()
	simulated[run] = s
	return s
}

// TestFleetGoodputAtTwiceTheCapacity guards against capacity that is spent on groups that are not in time.
func TestFleetGoodputAtTwiceTheCapacity(t *testing.T) {
	fleetCase(t, []int{1, 4, 6}, func(t *testing.T, engines, trainers int) {
		alone, shared := simulate(engines, trainers, twice, false), simulate(engines, trainers, twice, true)
		t.Logf("goodput %.3f, without Select %.3f", shared.goodput(), alone.goodput())
		if g := shared.goodput(); g < 0.9 {
			t.Errorf("goodput %.3f, want 0.9", g)
		}
	})
}

// TestFleetSharesCreditEvenly guards against trainers of one rank that are served less than others.
func TestFleetSharesCreditEvenly(t *testing.T) {
	fleetCase(t, []int{4, 6}, func(t *testing.T, engines, trainers int) {
		alone, shared := simulate(engines, trainers, twice, false).credits(), simulate(engines, trainers, twice, true).credits()
		t.Logf("credits %.2f, without Select %.2f", shared, alone)
		if spread := slices.Max(shared) - slices.Min(shared); spread > 0.1 {
			t.Errorf("credits %.2f are %.3f apart, want 0.1", shared, spread)
		}
	})
}

// TestFleetServesHigherRanksFirst guards against deferring by trainer without regard to rank, and against
// trainers of a low rank that get nothing.
func TestFleetServesHigherRanksFirst(t *testing.T) {
	s := newFleet(fleetSeed, manyEngines, 4, twice)
	s.shared = true
	s.trainers[2].rank = 1 // of the same size as the first one
	s.run()
	if c := s.credits(); c[0] < c[2]+0.1 || c[2] == 0 {
		t.Errorf("credits %.2f", c)
	}
}

// TestFleetDefersNothingBelowItsCapacity guards against deferring at nine tenths of the capacity.
func TestFleetDefersNothingBelowItsCapacity(t *testing.T) {
	fleetCase(t, []int{1, 4, 6}, func(t *testing.T, engines, trainers int) {
		if s := simulate(engines, trainers, 0.9, true); s.deferred != 0 {
			t.Errorf("groups are deferred at %d decisions", s.deferred)
		}
	})
}

// TestFleetWithAnAgentThatSeesOldRows guards against losses beyond the groups of the agent whose rows are old:
// all items still run, and goodput falls by less than the share of its engine.
func TestFleetWithAnAgentThatSeesOldRows(t *testing.T) {
	const engines, trainers = 6, 4
	fresh := simulate(engines, trainers, twice, true)
	old := newFleet(fleetSeed, engines, trainers, twice)
	old.shared, old.stale, old.staleFor = true, 0, 5*time.Second
	old.run()
	t.Logf("goodput %.3f, with fresh rows %.3f", old.goodput(), fresh.goodput())
	if old.goodput() < fresh.goodput()-1.0/engines {
		t.Errorf("goodput %.3f, with fresh rows %.3f", old.goodput(), fresh.goodput())
	}
	if idle := old.idleWithWork; idle != 0 {
		t.Errorf("slots were idle beside waiting items %d times", idle)
	}
}
