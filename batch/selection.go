package batch

import (
	"cmp"
	"slices"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/edf"
	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
)

// selection holds the shares of the open jobs' groups that may start, as computed for certain jobs and
// engines. They are computed again only if these change, so that they do not follow each new estimate
// of the engine's pace. It is guarded by the mu of the worker.
type selection struct {
	ids     []string
	engines map[string][]edf.Engine // by model
	shares  map[string]float64      // by job
}

// updateSelection computes the shares if the open jobs or the engines have changed. It is called with
// w.mu held.
func (w *Worker) updateSelection() {
	jobs := w.selectableJobs()
	ids := make([]string, len(jobs))
	models := map[string]bool{}
	for i, j := range jobs {
		ids[i] = j.job.ID
		models[j.job.Model] = true
	}
	engines := w.enginesOf(models)
	s := &w.selection
	same := func(model string) bool { return slices.Equal(engines[model], s.engines[model]) }
	unchanged := slices.Equal(ids, s.ids) && len(engines) == len(s.engines)
	for model := range models {
		unchanged = unchanged && same(model)
	}
	if unchanged {
		return
	}
	former := s.shares
	*s = selection{ids: ids, engines: engines, shares: map[string]float64{}}
	for model := range models {
		list := make([]edf.Job, 0, len(jobs))
		for _, j := range jobs {
			if j.job.Model == model {
				list = append(list, w.plannedJob(j.job))
			}
		}
		for id, share := range edf.Select(list, engines[model], w.speed) {
			s.shares[id] = share
		}
	}
	for _, j := range jobs {
		w.logShare(j, former)
	}
}

// selectableJobs returns the open jobs that consist of groups with a due time, by id. It is called with w.mu
// held.
func (w *Worker) selectableJobs() []*workJob {
	var list []*workJob
	for _, j := range w.jobs {
		if !j.ended && !j.finished && j.job.GroupItems > 0 && j.job.RunTarget > 0 && j.job.Work > 0 {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *workJob) int { return cmp.Compare(a.job.ID, b.job.ID) })
	return list
}

// plannedJob returns a job as package edf plans it, with this engine's pace for expected work. It is called
// with w.mu held.
func (w *Worker) plannedJob(job *Job) edf.Job {
	took := w.pace.duration(job.Work)
	return edf.Job{
		ID: job.ID, Rank: job.Priority, Accepted: job.Accepted, Due: job.Accepted + job.RunTarget,
		Groups: job.Items / job.GroupItems, Wanted: job.WantedGroups, Work: edf.AtUsualSpeed(took, w.speed(w.Engine)),
	}
}

// speed returns the speed of an engine; 1 if it is unknown.
func (w *Worker) speed(engine string) float64 {
	if w.Speed == nil {
		return 1
	}
	return w.Speed(engine)
}

// enginesOf returns the engines that serve each of the models, by address.
func (w *Worker) enginesOf(models map[string]bool) map[string][]edf.Engine {
	snap := w.View.Snapshot()
	assignments := w.assignments(snap)
	engines := make(map[string][]edf.Engine, len(models))
	for model := range models {
		for _, i := range snap.OfService(w.Service) {
			assignment, assigned := assignments[model]
			if !i.Draining && (!assigned || assignment.Has(i.Addr)) {
				engines[model] = append(engines[model], plannedEngine(i))
			}
		}
		slices.SortFunc(engines[model], func(a, b edf.Engine) int { return cmp.Compare(a.Addr, b.Addr) })
	}
	return engines
}

func plannedEngine(i fleet.Instance) edf.Engine { return edf.Engine{Addr: i.Addr, Slots: i.Slots} }

// logShare logs that a job's share has fallen below 1 or is back there; no group is deferred then.
func (w *Worker) logShare(j *workJob, former map[string]float64) {
	share, before := w.selection.shares[j.job.ID], 1.0
	if s, known := former[j.job.ID]; known {
		before = s
	}
	if (share < 1) == (before < 1) {
		return
	}
	now, _ := w.Now()
	w.Log.WithFields(w.deferralOf(j, now).LogFields()).WithFields(logrus.Fields{"share": share, "jobs": len(w.selection.ids)}).
		Log(jobLogLevel(j.items != nil), observe.MessageGroupsDeferred)
}

// isDeferred reports whether a group waits until a slot would be idle, and counts it once. It is called with
// w.mu held.
func (w *Worker) isDeferred(key groupKey) bool {
	share, known := w.selection.shares[key.j.job.ID]
	if !known || share >= 1 || key.name == "" {
		return false
	}
	j := key.j
	if j.positions == nil {
		j.positions, j.deferred = groupPositions(j.job.ID, j.items), map[string]bool{}
	}
	if !edf.Deferred(share, j.positions[key.name], len(j.positions)) {
		return false
	}
	if !j.deferred[key.name] {
		j.deferred[key.name] = true
		w.Counters.Add(observe.NameBatchGroupsDeferred, j.job.Route, 1)
	}
	return true
}

// groupPositions returns the positions of a job's groups in the order of a hash of job and group.
func groupPositions(job string, items []Item) map[string]int {
	var names []string
	for i := range items {
		names = append(names, items[i].Group)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(rank(job, a), rank(job, b)) })
	positions := make(map[string]int, len(names))
	for at, name := range names {
		positions[name] = at
	}
	return positions
}
