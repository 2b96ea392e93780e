package batch

import (
	"cmp"
	"slices"
	"time"

	"mulberryscale.example/edf"
	"mulberryscale.example/observe"
)

const (
	// paceMemory is the weight that earlier runs keep with each further one: a mean over some
	// fifty runs, in which a tenth that is five times as long as usual is represented.
	paceMemory = 0.98
	// minPaceRuns is the number of runs from which on the pace is known well enough to plan by.
	minPaceRuns = 20
	// minRemaining is the share of an item's estimated time that is expected to remain at least,
	// however long it has run: estimates are exceeded more often than not by a long item.
	minRemaining = 0.25
)

// workPace is the time that a slot of this engine takes for expected work.
type workPace struct {
	runs       int
	work, took float64 // weighted sums over the latest runs; took is in seconds
}

// observe records a run that generated an item's whole text.
func (p *workPace) observe(work int, took time.Duration) {
	p.runs++
	p.work = paceMemory*p.work + float64(work)
	p.took = paceMemory*p.took + took.Seconds()
}

// known reports whether enough runs were observed.
func (p *workPace) known() bool { return p.runs >= minPaceRuns && p.work > 0 }

// duration returns how long expected work takes.
func (p *workPace) duration(work int) time.Duration {
	return time.Duration(float64(work) * p.took / p.work * float64(time.Second))
}

// groupKey identifies a group of a job. An item without a group is one of its own.
type groupKey struct {
	j     *workJob
	name  string
	index int // of the item without a group, otherwise 0
}

func (t *task) groupKey() groupKey {
	if t.item.Group == "" {
		return groupKey{j: t.j, index: t.index}
	}
	return groupKey{j: t.j, name: t.item.Group}
}

// openGroup is the part of a group that this agent holds and that its engine can run now.
type openGroup struct {
	key     groupKey
	waiting []*task // in the order of compareTasks
	// deferred is set if the group waits until a slot would be idle, see selection.
	deferred bool
	edf.Group
}

// startOrder returns the waiting tasks in the order in which they should start: that of
// compareTasks, unless the engine is overloaded and more groups are done in time if others are
// deferred, see package edf. It is called with w.mu held.
func (w *Worker) startOrder(slots int) []*task {
	now, ok := w.Now()
	if !ok || !w.pace.known() || len(w.waiting) <= slots-len(w.running) {
		w.noteOverload(false)
		return slices.Clone(w.waiting)
	}
	if w.SharedSelection {
		w.updateSelection()
	}
	groups := w.openGroups(now)
	order, reordered := orderGroups(groups, slots)
	w.noteOverload(reordered)
	if !reordered {
		return slices.Clone(w.waiting)
	}
	var list []*task
	for _, i := range order {
		list = append(list, groups[i].waiting...)
	}
	return list
}

// orderGroups returns the indexes of the groups in the order in which to run them, or false if the queue
// order should be kept.
func orderGroups(groups []*openGroup, slots int) ([]int, bool) {
	estimates := make([]edf.Group, len(groups))
	deferred := false
	for i, g := range groups {
		estimates[i] = g.Group
		deferred = deferred || g.deferred
	}
	if deferred {
		return edf.OverloadOrder(estimates, slots), true
	}
	return edf.Order(estimates, slots)
}

// noteOverload logs and counts that the engine cannot do all its groups in time, once for each
// time that this begins. It is called with w.mu held.
func (w *Worker) noteOverload(overloaded bool) {
	if overloaded && !w.overloaded {
		w.Counters.Add(observe.NameBatchOverloads, w.Service, 1)
		w.Log.WithField("waiting", len(w.waiting)).Warn("overloaded: groups that cannot be done in time are deferred")
	}
	if !overloaded && w.overloaded {
		w.Log.WithField("waiting", len(w.waiting)).Info("no longer overloaded")
	}
	w.overloaded = overloaded
}

// openGroups returns the groups of the items that wait here and can run now, with what runs of
// them, in queue order: by job, those that have started first, otherwise in an order that does
// not depend on their length; deferred groups come last. It is called with w.mu held.
func (w *Worker) openGroups(now time.Duration) []*openGroup {
	byKey := map[groupKey]*openGroup{}
	groupOf := func(t *task) *openGroup {
		g, ok := byKey[t.groupKey()]
		if !ok {
			g = &openGroup{key: t.groupKey(), Group: edf.Group{Job: t.j.job.ID, Due: t.j.job.timeUntilDue(now)}}
			byKey[g.key] = g
		}
		remaining := w.remainingTime(t)
		g.Work += remaining
		g.Longest = max(g.Longest, remaining)
		g.Begun = g.Begun || t.cancel != nil || len(t.text) > 0
		if t.cancel != nil {
			g.Running += remaining
		}
		return g
	}
	for t := range w.running {
		groupOf(t)
	}
	for _, t := range w.waiting {
		if w.engine.canServe(t.j.job) {
			g := groupOf(t)
			g.waiting = append(g.waiting, t)
		}
	}
	groups := make([]*openGroup, 0, len(byKey))
	for _, g := range byKey {
		// A group that has begun is kept: the work done on it would be lost.
		if w.SharedSelection && !g.Begun && w.isDeferred(g.key) {
			g.deferred = true
			g.Job += deferredSuffix
		}
		groups = append(groups, g)
	}
	slices.SortFunc(groups, compareGroups)
	return groups
}

// deferredSuffix makes the deferred groups of a job another job to package edf, so that they come after all
// selected groups.
const deferredSuffix = " deferred"

// compareGroups orders groups as openGroups returns them.
func compareGroups(a, b *openGroup) int {
	deferredLast := func(g *openGroup) int {
		if g.deferred {
			return 1
		}
		return 0
	}
	startedFirst := func(g *openGroup) int {
		if g.Begun {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(deferredLast(a), deferredLast(b)),
		cmp.Compare(a.key.j.job.queueTime(), b.key.j.job.queueTime()),
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(startedFirst(a), startedFirst(b)),
		cmp.Compare(rank(a.key.j.job.ID, a.key.name), rank(b.key.j.job.ID, b.key.name)),
		cmp.Compare(a.key.index, b.key.index),
	)
}

// noDue is the time left for a job whose results are not due at a given time.
const noDue = 24 * time.Hour

// timeUntilDue returns the time left until the job's results are due, negative after it.
func (j *Job) timeUntilDue(now time.Duration) time.Duration {
	if j.RunTarget == 0 {
		return noDue
	}
	return j.Accepted + j.RunTarget - now
}

// remainingTime estimates how long a slot still takes for a task. It is called with w.mu held.
func (w *Worker) remainingTime(t *task) time.Duration {
	if t.complete {
		return 0
	}
	total := w.pace.duration(t.item.expectedWork())
	done := time.Duration(len(t.text)) * w.engine.eventInterval
	return max(total-done, time.Duration(minRemaining*float64(total)))
}
