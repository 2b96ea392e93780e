package batch

import (
	"context"
	"time"

	"mulberryscale.example/fleet"
)

// The weights of a split route are shares of its jobs. A job that fits the engines of its service stays there; what
// would be late there goes to engines of the route's other services that are mostly idle.

const (
	// lateOffers is the minimum time between two offers of late items.
	lateOffers = 500 * time.Millisecond
	// estimateShare is the part of a job's RunTarget after which it is estimated which of its items will be late: by
	// then idle engines of its own service have taken what they can.
	estimateShare = 4
	// noEstimateShare is the part after which items that wait count as late if no run has ended here.
	noEstimateShare = 2
	// reservedShare is the part of an engine's slots that is kept free of other services' late items.
	reservedShare = 2
)

// pushLate hands items that would be late here to idle engines of other services of their routes.
func (h *rebalancer) pushLate(ctx context.Context) {
	if time.Since(h.latePushed) < lateOffers {
		return
	}
	for j, tasks := range h.lateTasks() {
		h.latePushed = time.Now()
		engines := h.enginesOfOtherServices(j.job)
		statuses := h.spareSlots(h.queryStatuses(ctx, []*workJob{j}, sampleEngines(engines, pushFanout)))
		if n := min(len(tasks), totalFree(statuses)); n > 0 {
			h.pushJobItems(ctx, j, tasks[len(tasks)-n:], statuses, moveLate)
		}
	}
}

// lateTasks returns the waiting tasks that would be late here and that engines of another service may run, by job and
// in the order in which they would start.
func (w *Worker) lateTasks() map[*workJob][]*task {
	now, known := w.Now()
	instance, registered := w.instance()
	snap := w.View.Snapshot()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !known || !registered || len(w.waiting) == 0 {
		return nil
	}
	estimated := w.splitJobs(now, snap.Config)
	if len(estimated) == 0 {
		return nil
	}
	late := map[*workJob][]*task{}
	ends := w.queueEnds(w.waiting, instance.Slots, w.expectedDuration)
	for _, t := range w.waiting {
		if estimated[t.j] && w.isLate(t.j.job, now-t.j.job.Accepted, ends[t]) {
			late[t.j] = append(late[t.j], t)
		}
	}
	return late
}

// splitJobs returns the jobs with items here that engines of several services may run and that are old enough to
// estimate which of their items will be late. It is called with w.mu held.
func (w *Worker) splitJobs(now time.Duration, config *fleet.Config) map[*workJob]bool {
	jobs := map[*workJob]bool{}
	for _, j := range w.jobs {
		due := j.job.RunTarget
		if len(j.tasks) > 0 && due > 0 && now-j.job.Accepted >= due/estimateShare && len(possibleServices(j.job, config)) > 1 {
			jobs[j] = true
		}
	}
	return jobs
}

// isLate reports whether an item of a job of the given age, which is expected to be complete after left, will be late.
// It is called with w.mu held.
func (w *Worker) isLate(job *Job, age, left time.Duration) bool {
	if w.pace.runs == 0 {
		return age >= job.RunTarget/noEstimateShare
	}
	return age+left > job.RunTarget
}

// expectedDuration estimates for how long a task keeps a slot from now on; 0 if no run has ended here. Running tasks
// count as half done. It is called with w.mu held.
func (w *Worker) expectedDuration(t *task) time.Duration {
	if w.pace.runs == 0 {
		return 0
	}
	whole := w.pace.duration(t.item.expectedWork())
	if t.cancel != nil {
		return whole / 2
	}
	return whole
}

// enginesOfOtherServices returns the engines of the services that may run a job, but for this worker's.
func (w *Worker) enginesOfOtherServices(job *Job) []string {
	snap := w.View.Snapshot()
	var engines [][]string
	for _, service := range possibleServices(job, snap.Config) {
		if service != w.Service && !w.lostServices.has(service) {
			engines = append(engines, w.helpers(job, service, snap))
		}
	}
	return sortedUnion(engines...)
}

// spareSlots returns the statuses of the engines that have free slots beside those which are kept for their own
// service's jobs, with the number of these slots.
func (w *Worker) spareSlots(statuses map[string]*Status) map[string]*Status {
	snap := w.View.Snapshot()
	spare := map[string]*Status{}
	for engine, s := range statuses {
		instance, listed := snap.AtAddr(engine)
		free := s.Free - instance.Slots/reservedShare
		if listed && s.Up && free > 0 {
			spare[engine] = &Status{Up: true, Free: free}
		}
	}
	return spare
}

// totalFree returns the number of free slots of all statuses.
func totalFree(statuses map[string]*Status) int {
	n := 0
	for _, s := range statuses {
		n += s.Free
	}
	return n
}
