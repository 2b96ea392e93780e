package batch

import (
	"slices"

	"mulberryscale.example/fleet"
)

// participates reports whether this engine is one of the participants of a job.
func (w *Worker) participates(j *workJob) bool {
	if slices.Contains(j.job.Owners, w.Engine) {
		return true
	}
	snap := w.View.Snapshot()
	if w.currentService(j.job, snap) != w.Service {
		return false
	}
	if j.job.Model == "" {
		return slices.Contains(helpersWithoutModel(j.job, w.Service, snap), w.Engine)
	}
	return w.assignments(snap)[j.job.Model].Has(w.Engine)
}

// participatesLocking is participates for callers that do not hold w.mu.
func (w *Worker) participatesLocking(j *workJob) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.participates(j)
}

// participants returns the engines whose agents exchange items of a job, sorted: its owners, and the helpers of
// the service that runs it now.
func (w *Worker) participants(j *workJob) []string {
	snap := w.View.Snapshot()
	return sortedUnion(j.job.Owners, w.helpers(j.job, w.currentService(j.job, snap), snap))
}

// holders returns the engines whose agents may hold items of a job, sorted: its owners, and the helpers of all
// services that may run it or did.
func (w *Worker) holders(j *workJob) []string {
	snap := w.View.Snapshot()
	engines := [][]string{j.job.Owners}
	for _, service := range possibleServices(j.job, snap.Config) {
		engines = append(engines, w.helpers(j.job, service, snap))
	}
	return sortedUnion(engines...)
}

// helpers returns the engines of a service that take items of a job over.
func (w *Worker) helpers(job *Job, service string, snap *fleet.Snapshot) []string {
	if job.Model == "" {
		return helpersWithoutModel(job, service, snap)
	}
	return w.assignmentsOf(service, snap)[job.Model].All()
}

// helpersWithoutModel is helpers for a job without a model: nobody as long as one of its owners is left, else all
// engines of the service.
func helpersWithoutModel(job *Job, service string, snap *fleet.Snapshot) []string {
	engines := engineAddrs(snap.OfService(service))
	isOwner := func(engine string) bool { return slices.Contains(job.Owners, engine) }
	if slices.ContainsFunc(engines, isOwner) {
		return nil
	}
	return engines
}

// sortedUnion returns the engines that are in any of the lists, sorted.
func sortedUnion(lists ...[]string) []string {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(lists...))))
}

// peerEngines returns the engines of the other participants of the jobs.
func (w *Worker) peerEngines(jobs []*workJob) []string { return w.otherEngines(jobs, w.participants) }

// otherEngines returns the engines that list names for any of the jobs, but for this worker's, sorted.
func (w *Worker) otherEngines(jobs []*workJob, list func(*workJob) []string) []string {
	var engines [][]string
	for _, j := range jobs {
		engines = append(engines, list(j))
	}
	return slices.DeleteFunc(sortedUnion(engines...), func(e string) bool { return e == w.Engine })
}
