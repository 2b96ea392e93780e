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
	// Running is the part of Work that runs now: it holds slots whatever is selected.
	Running time.Duration
	// Begun says that an item of the group has begun.
	Begun bool
}

const (
	// selectionMargin is the factor by which the estimated work is increased for the groups to run
	// first under overload: lengths of items are known only to within a half, and a group that is
	// late by one item is late as a whole. longestMargin is the factor for the longest item, whose
	// estimate has no others to average with.
	selectionMargin = 1.5
	longestMargin   = 1.6
	// begunMargin replaces both for a group that has begun: it is kept until it is late by far more
	// than its estimate may be wrong, since the work done on a group that is given up is lost.
	begunMargin = 0.6
)

// minGain is how many times as many groups must be expected in time for the queue order to be
// changed, unless the engine is overloaded, see load.overloaded. Close to the capacity the queue order
// does most groups in time, and a deferred group holds up its whole job.
const minGain = 2

// lateBacklog is the backlog, in multiples of the longest item, from which on groups that are all late are
// reordered. With less, for instance after an outage, the longest items decide when the last group is done
// and must start first: four late groups of eight items took 6.0 s on eight slots with 0.5, 5.1 s with 1, and
// 4.9 s in queue order.
const lateBacklog = 1

// Order returns the indexes of the groups in the order in which to run them, or false if the queue
// order should be kept. The groups are given in queue order; those of one job are adjacent.
// Which groups of a job are deferred depends on their queue order and not on their length, so
// that long items are not served less often than short ones. Groups that can no longer be in time come
// last, those with the least work first: their items hold slots that a new job needs, and their job
// ends with the first groups that are complete.
func Order(groups []Group, slots int) ([]int, bool) {
	if slots <= 0 {
		return nil, false
	}
	selected, inTime, total := selectInTime(groups, slots), countInTime(groups, slots), loadOf(groups, slots)
	switch {
	case len(selected) == 0 && !total.backlog():
		return nil, false
	case total.overloaded() && len(selected) < inTime+1 && inTime > 0:
		return nil, false
	case !total.overloaded() && len(selected) < minGain*inTime:
		return nil, false
	}
	return append(selected, others(groups, selected)...), true
}

// OverloadOrder returns the order of Order under overload, whether the engine is overloaded or not. It is used
// while groups are deferred by Select: what is left then often fits into the time of this engine.
func OverloadOrder(groups []Group, slots int) []int {
	if slots <= 0 {
		return others(groups, nil)
	}
	selected := selectInTime(groups, slots)
	return append(selected, others(groups, selected)...)
}

// load is what all groups of an engine take together.
type load struct {
	// work is the time in which the slots can do all work, longest that of the longest item.
	work, longest time.Duration
	// lastDue is the time left until the last deadline, 0 after it.
	lastDue time.Duration
}

func loadOf(groups []Group, slots int) load {
	var l load
	for _, g := range groups {
		l.work += g.Work
		l.longest = max(l.longest, g.Longest)
		l.lastDue = max(l.lastDue, g.Due)
	}
	l.work /= time.Duration(slots)
	return l
}

// overloaded reports whether the work cannot be done until the last deadline in any order.
func (l load) overloaded() bool { return l.work > l.lastDue }

// backlog reports whether more work waits than can be done beside the longest item.
func (l load) backlog() bool { return l.work > scale(l.longest, lateBacklog) }

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

// selectInTime returns the indexes of groups that can be done in time if no other group starts
// before them, in the order in which to run them: by job, then those with the longest item first,
// which have the least time to spare.
func selectInTime(groups []Group, slots int) []int {
	var selected []int
	var work time.Duration
	for _, g := range groups {
		work += g.Running
	}
	for i, g := range groups {
		more := g.Work - g.Running
		if !g.fits((work + more) / time.Duration(slots)) {
			continue
		}
		work += more
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

// fits reports whether a group can be done in time if the slots have worked off all work up to its own
// after the given time.
func (g *Group) fits(worked time.Duration) bool {
	forWork, forLongest := selectionMargin, longestMargin
	if g.Begun {
		forWork, forLongest = begunMargin, begunMargin
	}
	return scale(worked, forWork) <= g.Due && scale(g.Longest, forLongest) <= g.Due
}

// scale multiplies a duration by a factor.
func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

// others returns the indexes of the groups that are not selected: those that may still be in time in
// ascending order, then the late ones by ascending work.
func others(groups []Group, selected []int) []int {
	var rest, late []int
	for i := range groups {
		switch {
		case slices.Contains(selected, i):
		case groups[i].Longest <= groups[i].Due:
			rest = append(rest, i)
		default:
			late = append(late, i)
		}
	}
	slices.SortStableFunc(late, func(a, b int) int { return cmp.Compare(groups[a].Work, groups[b].Work) })
	return append(rest, late...)
}
