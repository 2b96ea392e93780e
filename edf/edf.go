// Package edf decides the order in which an engine runs groups of items that have deadlines.
//
// A group counts only if all its items are done by the deadline of its job. As long as the engine
// can do all its groups in time, the caller's queue order is kept. Under overload, that order would
// spread the engine's time over all groups and complete none of them in time: the number of groups
// done in time falls towards zero as soon as the load exceeds the capacity. This package then
// selects, earliest deadline first, as many groups as fit into the time left, runs these one after
// the other and defers the rest. It has no clock, network or goroutine of its own.
package edf

import (
	"cmp"
	"slices"
	"time"
)

// Group is what an engine still has to do for a group of items.
type Group struct {
	// Job identifies the group's job. Job has the same Due for all its groups.
	Job string
	// Due is the time left until the deadline; it is negative after it.
	Due time.Duration
	// Work is the estimated time that all its items take if one slot runs them one after the
	// other, Longest that of its longest item.
	Work, Longest time.Duration
}

// selectionMargin is the factor by which estimates are increased for the groups to run first under
// overload: lengths of items are known only to within a half, and a group that is late by one item
// is late as a whole.
const selectionMargin = 1.5

// minGain is how many times as many groups must be expected in time for the queue order to be
// changed. Close to the capacity the queue order does most groups in time, and a deferred group holds
// up its whole job.
const minGain = 2

// Order returns the indexes of the groups in the order in which to run them, or false if the queue
// order should be kept. The groups are given in queue order; those of one job are adjacent.
// Which groups of a job are deferred depends on their queue order and not on their length, so
// that long items are not served less often than short ones.
func Order(groups []Group, slots int) ([]int, bool) {
	if slots <= 0 {
		return nil, false
	}
	selected := selectInTime(groups, slots)
	if len(selected) < minGain*countInTime(groups, slots) || len(selected) == 0 {
		return nil, false
	}
	return append(selected, others(len(groups), selected)...), true
}

// countInTime returns how many groups are expected to be done in time if the engine runs all of them
// in queue order. Items of one job start longest first, so its groups are done at about the same time.
func countInTime(groups []Group, slots int) int {
	inTime := 0
	var work time.Duration
	for first := 0; first < len(groups); {
		last := first
		for last < len(groups) && groups[last].Job == groups[first].Job {
			work += groups[last].Work
			last++
		}
		for _, g := range groups[first:last] {
			if max(work/time.Duration(slots), g.Longest) <= g.Due {
				inTime++
			}
		}
		first = last
	}
	return inTime
}

// selectInTime returns the indexes of groups that can be done in time if no other group runs
// before them, in the order in which to run them: by job, then those with the longest item first,
// which have the least time to spare.
func selectInTime(groups []Group, slots int) []int {
	var selected []int
	var work time.Duration
	for i, g := range groups {
		estimate := max((work+g.Work)/time.Duration(slots), g.Longest)
		if time.Duration(selectionMargin*float64(estimate)) > g.Due {
			continue
		}
		work += g.Work
		selected = append(selected, i)
	}
	firstOf := map[string]int{}
	for i := len(groups) - 1; i >= 0; i-- {
		firstOf[groups[i].Job] = i
	}
	slices.SortStableFunc(selected, func(a, b int) int {
		return cmp.Or(cmp.Compare(firstOf[groups[a].Job], firstOf[groups[b].Job]), cmp.Compare(groups[b].Longest, groups[a].Longest))
	})
	return selected
}

// others returns the indexes below n that are not selected, in ascending order.
func others(n int, selected []int) []int {
	var rest []int
	for i := range n {
		if !slices.Contains(selected, i) {
			rest = append(rest, i)
		}
	}
	return rest
}
