package edf

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "mulberryscale.example/internal/rapidseed" // the same draws in each run
)

// TestQueueOrderIsKeptWhileAllIsInTime checks that nothing is reordered without overload.
func TestQueueOrderIsKeptWhileAllIsInTime(t *testing.T) {
	groups := []Group{
		{Job: "a", Due: 3 * time.Second, Work: 8 * time.Second, Longest: time.Second},
		{Job: "b", Due: 7 * time.Second, Work: 8 * time.Second, Longest: 2 * time.Second},
	}
	if order, ok := Order(groups, 4); ok {
		t.Errorf("reordered to %v", order)
	}
}

// TestLateJobGoesFirstIfOthersStayInTime checks that a job that is late already is not put behind
// others that are in time after it as well.
func TestLateJobGoesFirstIfOthersStayInTime(t *testing.T) {
	groups := []Group{
		{Job: "late", Due: -time.Second, Work: 8 * time.Second, Longest: time.Second},
		{Job: "b", Due: 7 * time.Second, Work: 8 * time.Second, Longest: 2 * time.Second},
	}
	if order, ok := Order(groups, 4); ok {
		t.Errorf("reordered to %v", order)
	}
}

// TestLateJobYieldsToOneThatWouldBeLate checks that a job that is late already runs after one that
// would be late because of it.
func TestLateJobYieldsToOneThatWouldBeLate(t *testing.T) {
	groups := []Group{
		{Job: "late", Due: -time.Second, Work: 40 * time.Second, Longest: time.Second},
		{Job: "b", Due: 7 * time.Second, Work: 8 * time.Second, Longest: 2 * time.Second},
	}
	if order, ok := Order(groups, 4); !ok || !slices.Equal(order, []int{1, 0}) {
		t.Errorf("got %v, %t", order, ok)
	}
}

// TestLateJobAloneKeepsTheQueueOrder guards against starting the longest items last where the engine is behind, for
// instance after an outage, but not overloaded.
func TestLateJobAloneKeepsTheQueueOrder(t *testing.T) {
	var groups []Group
	for range 4 {
		groups = append(groups, Group{Job: "late", Due: -time.Second, Work: 8 * time.Second, Longest: 4 * time.Second})
	}
	if order, ok := Order(groups, 8); ok {
		t.Errorf("reordered to %v", order)
	}
}

// TestOrderIsAPermutation checks that no group is lost or run twice, and that the selected groups
// fit into the time left.
func TestOrderIsAPermutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		var groups []Group
		for job := range rapid.IntRange(1, 4).Draw(t, "jobs") {
			due := time.Duration(rapid.IntRange(-5000, 10000).Draw(t, "due")) * time.Millisecond
			for range rapid.IntRange(1, 8).Draw(t, "groups") {
				longest := time.Duration(rapid.IntRange(0, 8000).Draw(t, "longest")) * time.Millisecond
				work := longest + time.Duration(rapid.IntRange(0, 20000).Draw(t, "more"))*time.Millisecond
				groups = append(groups, Group{Job: string(rune('a' + job)), Due: due, Work: work, Longest: longest})
			}
		}
		order, ok := Order(groups, slots)
		if !ok {
			return
		}
		sorted := slices.Sorted(slices.Values(order))
		if len(sorted) != len(groups) || len(slices.Compact(sorted)) != len(groups) {
			t.Fatalf("%v is no permutation of %d groups", order, len(groups))
		}
		var work time.Duration
		for _, i := range selectInTime(groups, slots) {
			if work += groups[i].Work; work/time.Duration(slots) > groups[i].Due && groups[i].Work > 0 {
				t.Fatalf("group %d is selected with %s of work before a deadline in %s", i, work, groups[i].Due)
			}
		}
	})
}
