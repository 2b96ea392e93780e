package edf

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// usual is the speed of engines whose speed is unknown.
func usual(string) float64 { return 1 }

// tenSlots are two engines with ten slots together.
var tenSlots = []Engine{{Addr: "a", Slots: 4}, {Addr: "b", Slots: 6}}

// someStep is a step of ten groups, nine of them wanted, that takes ten slots for the given time.
func someStep(id string, rank int, accepted, takes time.Duration) Job {
	return Job{ID: id, Rank: rank, Accepted: accepted, Due: accepted + stepDue, Groups: 10, Wanted: 9, Work: 10 * takes}
}

// TestNothingIsDeferredThatCanBeInTime guards against deferring groups without overload.
func TestNothingIsDeferredThatCanBeInTime(t *testing.T) {
	jobs := []Job{someStep("a", 0, 0, 2*time.Second), someStep("b", 1, time.Second, 2*time.Second)}
	for id, share := range Select(jobs, tenSlots, usual) {
		if share != 1 {
			t.Errorf("job %s has a share of %.3f", id, share)
		}
	}
}

// TestTrainersOfARankGetEqualShares guards against serving the job first that is due first or is large.
func TestTrainersOfARankGetEqualShares(t *testing.T) {
	jobs := []Job{someStep("a", 0, 0, 3*time.Second), someStep("b", 0, 0, 9*time.Second), someStep("c", 0, 0, 6*time.Second)}
	shares := Select(jobs, tenSlots, usual)
	if a := shares["a"]; a >= 0.9 || a <= 0 || a != shares["b"] || a != shares["c"] {
		t.Errorf("shares %v", shares)
	}
}

// TestHigherRankIsDeferredLast guards against deferring groups of a rank while a lower one is served.
func TestHigherRankIsDeferredLast(t *testing.T) {
	jobs := []Job{someStep("low", 2, 0, 5*time.Second), someStep("high", 0, 0, 5*time.Second)}
	shares := Select(jobs, tenSlots, usual)
	if shares["high"] != 0.9 || shares["low"] <= 0 || shares["low"] > 0.3 {
		t.Errorf("shares %v", shares)
	}
}

// TestLaterCapacityGoesToLaterJobs guards against leaving capacity unplanned that a job due early cannot use.
func TestLaterCapacityGoesToLaterJobs(t *testing.T) {
	jobs := []Job{someStep("early", 0, 0, 20*time.Second), someStep("late", 0, 7*time.Second, 5*time.Second)}
	shares := Select(jobs, tenSlots, usual)
	if shares["late"] < 0.85 || shares["early"] > 0.3 {
		t.Errorf("shares %v", shares)
	}
}

// TestSlowEnginesCountForLess guards against planning with the slots of slow engines as with others.
func TestSlowEnginesCountForLess(t *testing.T) {
	jobs := []Job{someStep("a", 0, 0, 8*time.Second)}
	half := func(string) float64 { return 0.5 }
	fast, slow := Select(jobs, tenSlots, usual)["a"], Select(jobs, tenSlots, half)["a"]
	if d := fast - 2*slow; d < -0.01 || d > 0.01 {
		t.Errorf("shares %.3f, at half the speed %.3f", fast, slow)
	}
}

// TestSelectDependsOnTheRowsAlone checks that all agents compute the same shares, in whatever order they have
// read the rows, that these are shares, and that without engines nothing fails.
func TestSelectDependsOnTheRowsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var jobs []Job
		for n := range rapid.IntRange(0, 8).Draw(t, "jobs") {
			at := time.Duration(rapid.IntRange(0, 20000).Draw(t, "accepted")) * time.Millisecond
			takes := time.Duration(rapid.IntRange(0, 20000).Draw(t, "takes")) * time.Millisecond
			jobs = append(jobs, someStep(fmt.Sprint(n), rapid.IntRange(0, 2).Draw(t, "rank"), at, takes))
		}
		engines := tenSlots[:rapid.IntRange(0, 2).Draw(t, "engines")]
		shares := Select(jobs, engines, usual)
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(jobs), func(i, k int) { jobs[i], jobs[k] = jobs[k], jobs[i] })
		if again := Select(jobs, engines, usual); !maps.Equal(shares, again) {
			t.Fatalf("shares %v, in another order %v", shares, again)
		}
		for id, share := range shares {
			if !(share >= 0 && share <= 1) {
				t.Fatalf("job %s has a share of %f", id, share)
			}
		}
	})
}

// TestOverloadOrderIsAPermutation guards against groups that are lost or run twice, among them begun and late ones.
func TestOverloadOrderIsAPermutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var groups []Group
		for n := range rapid.IntRange(0, 20).Draw(t, "groups") {
			longest := time.Duration(rapid.IntRange(0, 8000).Draw(t, "longest")) * time.Millisecond
			due := time.Duration(rapid.IntRange(-5000, 10000).Draw(t, "due")) * time.Millisecond
			g := Group{Job: fmt.Sprint(n / 4), Due: due, Work: 3 * longest, Longest: longest, Begun: rapid.Bool().Draw(t, "begun")}
			if g.Begun {
				g.Running = longest
			}
			groups = append(groups, g)
		}
		order := OverloadOrder(groups, rapid.IntRange(0, 8).Draw(t, "slots"))
		sorted := slices.Sorted(slices.Values(order))
		if len(sorted) != len(groups) || len(slices.Compact(sorted)) != len(groups) {
			t.Fatalf("%v is no permutation of %d groups", order, len(groups))
		}
	})
}
