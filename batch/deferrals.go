package batch

import (
	"time"

	"mulberryscale.example/edf"
	"mulberryscale.example/loadview"
)

// Deferrals returns the open jobs of which the selection of all engines defers groups, for the
// operator; nil if the agent does not use the selection.
func (w *Worker) Deferrals() []loadview.Deferral {
	now, known := w.Now()
	if !known {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []loadview.Deferral
	for _, j := range w.selectableJobs() {
		if d := w.deferralOf(j, now); d.Most > 0 {
			list = append(list, d)
		}
	}
	return list
}

// deferralOf returns how many groups of a job are deferred, and the figures for it. It is called with
// w.mu held.
func (w *Worker) deferralOf(j *workJob, now time.Duration) loadview.Deferral {
	planned := w.plannedJob(j.job)
	deferred := w.deferredGroups(planned)
	due := planned.Due - now
	return loadview.Deferral{
		Service: w.Service, Job: j.job.ID, Organisation: j.job.Organisation, Rank: planned.Rank,
		Groups: planned.Groups, Wanted: planned.Wanted, Least: deferred, Most: deferred, DueInSeconds: due.Seconds(),
		WorkSeconds: w.workUntil(j, planned).Seconds(), CapacitySeconds: max(0, due.Seconds()) * w.slotsOf(j.job.Model),
	}
}

// deferredGroups returns how many groups of a job its share defers. It is called with w.mu held.
func (w *Worker) deferredGroups(job edf.Job) int {
	share, known := w.selection.shares[job.ID]
	if !known {
		return 0
	}
	deferred := 0
	for position := range job.Groups {
		if edf.Deferred(share, position, job.Groups) {
			deferred++
		}
	}
	return deferred
}

// workUntil returns the slot time of a job and of the open jobs of its model that go before it: those
// of its rank or a higher one that are due no later. It is called with w.mu held.
func (w *Worker) workUntil(j *workJob, planned edf.Job) time.Duration {
	var work time.Duration
	for _, other := range w.selectableJobs() {
		if other.job.Model != j.job.Model {
			continue
		}
		if o := w.plannedJob(other.job); o.Rank <= planned.Rank && o.Due <= planned.Due {
			work += o.Work
		}
	}
	return work
}

// slotsOf returns the slots of the engines of a model, in slots of the usual speed. It is called with
// w.mu held.
func (w *Worker) slotsOf(model string) float64 {
	slots := 0.0
	for _, e := range w.enginesOf(map[string]bool{model: true})[model] {
		slots += float64(e.Slots) * w.speed(e.Addr)
	}
	return slots
}
