package batch

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/observe"
)

// adoptOrphans takes the items that no agent holds and that are not done, as
// happens when an agent died or a handover was lost.
func (w *Worker) adoptOrphans(jobs []*workJob, statuses map[string]*Status) {
	for _, j := range jobs {
		missing, finished := w.missing(j, statuses)
		if finished {
			w.mu.Lock()
			j.finished = true
			w.mu.Unlock()
			continue
		}
		if len(missing) == 0 {
			continue
		}
		w.mu.Lock()
		due := time.Since(j.checked) > orphanCheck
		if due {
			j.checked = time.Now()
		}
		w.mu.Unlock()
		if due && w.read(j, true) {
			w.adopt(j, missing, statuses)
		}
	}
}

// missing are the items that nobody who answered holds or has done; finished
// says that all are done.
func (w *Worker) missing(j *workJob, statuses map[string]*Status) (missing []int, finished bool) {
	held, done := map[int]bool{}, map[int]bool{}
	w.mu.Lock()
	own := j.status()
	w.mu.Unlock()
	for _, s := range append(slices.Collect(maps.Values(statuses)), &Status{Jobs: map[string]JobStatus{j.job.ID: own}}) {
		js := s.Jobs[j.job.ID]
		for _, list := range [][]int{js.Waiting, js.Running, js.Whole} {
			for _, i := range list {
				held[i] = true
			}
		}
		for _, i := range js.Done {
			done[i] = true
		}
	}
	for i := range j.job.Items {
		if !held[i] && !done[i] {
			missing = append(missing, i)
		}
	}
	return missing, len(done) == j.job.Items
}

// adopt takes this agent's part of the items without a holder: all agents that
// answer and are up share them by rendezvous hashing.
func (w *Worker) adopt(j *workJob, missing []int, statuses map[string]*Status) {
	engines := []string{w.Engine}
	for e, s := range statuses {
		if s.Up {
			engines = append(engines, e)
		}
	}
	slices.Sort(engines)
	saved := w.savedTexts(j, true)
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, i := range missing {
		if j.done[i] || engines[best(j.items[i].ID, engines)] != w.Engine {
			continue
		}
		if w.take(j, saved[i].task(i)) {
			n++
			w.Log.WithFields(logrus.Fields{
				observe.FieldItem: j.items[i].ID, observe.FieldJob: j.job.ID, "owner": j.owners[i],
				"answered": len(statuses),
			}).Info("item without a holder taken")
		}
	}
	if n > 0 {
		w.wake()
	}
}
