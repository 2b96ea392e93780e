package batch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/observe"
)

// addJob adds a job to those known here if it is not expired, and starts it if this engine owns a
// part of it. A job of another service is only remembered.
func (w *Worker) addJob(job *Job, now time.Duration) {
	if now-job.Accepted > job.ItemTTL+jobRetention {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.jobs[job.ID]; known {
		return
	}
	if job.Service != w.Service {
		w.foreign[job.ID], w.foreignChecked = job, nil
		return
	}
	j := w.open(job)
	owner := slices.Contains(job.Owners, w.Engine)
	w.jobLogger(job).WithFields(logrus.Fields{"owner": owner, "age_ms": (now - job.Accepted).Milliseconds()}).
		Log(jobLogLevel(owner), "job seen")
	if owner {
		go w.startJob(j, now-job.Accepted > newJobAge)
	}
}

// open adds a job to those whose items may run here. It is called with w.mu held.
func (w *Worker) open(job *Job) *workJob {
	j := &workJob{job: job, tasks: map[int]*task{}, done: map[int]bool{}, transfers: transfers{}, orphansChecked: time.Now()}
	j.outbox = newOutbox(w, j)
	w.jobs[job.ID] = j
	return j
}

// jobLogger returns the logger for a job.
func (w *Worker) jobLogger(job *Job) logrus.FieldLogger {
	return w.Log.WithFields(logrus.Fields{
		observe.FieldJob: job.ID, "model": job.Model, "items": job.Items, "owners": len(job.Owners), "min_version": job.MinVersion,
	})
}

// jobLogLevel is the level of log lines about a job: lines of agents that are not
// involved in it only repeat those of its owners.
func jobLogLevel(involved bool) logrus.Level {
	if involved {
		return logrus.InfoLevel
	}
	return logrus.DebugLevel
}

// newJobAge is the age above which a job may have results already: agents hear of a
// new job from the store within milliseconds, and the shortest items take some
// hundred milliseconds.
const newJobAge = 300 * time.Millisecond

// startJob loads a job's items and enqueues this worker's part of them; old says that
// the job may have results and saved text already, and that other agents may hold its items.
func (w *Worker) startJob(j *workJob, old bool) {
	for !w.load(j, old) {
		if pause.Sleep(w.ctx, writeRetryPause) != nil {
			return
		}
	}
	saved := w.resumableTexts(j, old)
	own := w.ownItems(j)
	if old {
		own = w.unheld(j, own)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range own {
		w.enqueue(j, saved[i].newTask(i))
	}
	w.wake()
}

// ownItems returns the indexes of the items of a job that are assigned to this worker.
func (w *Worker) ownItems(j *workJob) []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	self := slices.Index(j.job.Owners, w.Engine)
	var own []int
	for i, owner := range j.owners {
		if owner == self {
			own = append(own, i)
		}
	}
	return own
}

// holdersTimeout bounds the time for which an agent that starts again asks who holds its items. It is below that in
// which others notice its absence, so that asking costs less than a second run where most agents are lost.
const holdersTimeout = 150 * time.Millisecond

// unheld returns those of the items that no other agent holds, as far as the others answer in time.
func (w *Worker) unheld(j *workJob, items []int) []int {
	ctx, cancel := context.WithTimeout(w.ctx, holdersTimeout)
	defer cancel()
	jobs := []*workJob{j}
	orphans, _ := w.orphansOf(j, w.queryStatuses(ctx, jobs, w.otherEngines(jobs, w.holders)))
	return slices.DeleteFunc(items, func(i int) bool { return !slices.Contains(orphans, i) })
}

// resumableTexts returns the texts, by item index, from which a job's items can be
// resumed: those saved during earlier runs in the same job, and the unfinished texts
// of earlier jobs.
func (w *Worker) resumableTexts(j *workJob, old bool) map[int]savedText {
	texts := map[int]savedText{}
	if old {
		saved, err := w.Ledger.progress(w.ctx, j.job)
		if err != nil {
			w.Log.WithError(err).WithField(observe.FieldJob, j.job.ID).Warn("saved text not read")
		}
		for i, text := range saved {
			if !j.job.allowsVersions(text.versions) {
				text = savedText{rewardFailures: text.rewardFailures}
			}
			texts[i] = text
		}
	}
	leftovers := w.leftovers(j)
	for i := range j.items {
		if l, ok := leftovers[j.items[i].ID]; ok && j.job.allowsVersions(l.versions) && l.betterThan(texts[i]) {
			l.rewardFailures = texts[i].rewardFailures
			texts[i] = l
		}
	}
	if len(texts) > 0 {
		w.Log.WithFields(logrus.Fields{observe.FieldJob: j.job.ID, "items": len(texts)}).Info("saved text found")
	}
	return texts
}

// load reads a job's items unless they are known, and the ids of its finished items
// if results is true; it reports whether that succeeded.
func (w *Worker) load(j *workJob, results bool) bool {
	w.mu.Lock()
	known := j.items != nil
	w.mu.Unlock()
	if !known {
		items, err := w.Ledger.Items(w.ctx, j.job)
		if err != nil {
			w.Log.WithError(err).WithField(observe.FieldJob, j.job.ID).Warn("items not read")
			return false
		}
		w.mu.Lock()
		j.items, j.owners = items, AssignItems(j.job, items)
		w.mu.Unlock()
	}
	if !results {
		return true
	}
	listed, err := w.Ledger.Done(w.ctx, j.job.ID)
	if err != nil {
		w.Log.WithError(err).WithField(observe.FieldJob, j.job.ID).Warn("results not read")
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range j.items {
		if listed[j.items[i].ID] {
			j.done[i] = true
		}
	}
	return true
}

// enqueue adds a task to the waiting ones, or starts to score it if its text is
// complete. It returns false if the job has ended or the item is done or has a task
// here already. It is called with w.mu held.
func (w *Worker) enqueue(j *workJob, t *task) bool {
	if j.ended || j.done[t.index] || j.tasks[t.index] != nil {
		return false
	}
	t.j, t.item = j, &j.items[t.index]
	if t.idleSince.IsZero() {
		t.idleSince = time.Now()
	}
	t.beginLineage()
	j.tasks[t.index] = t
	delete(j.transfers, t.index)
	if t.complete && t.textAllowed() {
		w.scoreOrFinish(t)
		return true
	}
	t.complete = false
	at, _ := slices.BinarySearchFunc(w.waiting, t, compareTasks)
	w.waiting = slices.Insert(w.waiting, at, t)
	return true
}

// endJob handles the end of a job by its client or, if removed is true, the removal of
// its row: waiting items are dropped, running ones are cancelled, and texts that are
// complete or have at least minSavedEvents events are saved for a later job.
func (w *Worker) endJob(id string, removed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.foreign, id)
	j, ok := w.jobs[id]
	if !ok {
		// Its row may arrive later, out of order: remember that it has ended.
		w.jobs[id] = &workJob{job: &Job{ID: id}, ended: true, finished: true}
		return
	}
	if removed {
		delete(w.jobs, id)
	}
	if j.ended {
		return
	}
	j.ended = true
	w.waiting = slices.DeleteFunc(w.waiting, func(t *task) bool { return t.j == j })
	unfinished := map[string]savedText{}
	for _, t := range j.tasks {
		if len(t.text) >= minSavedEvents || (t.complete && !t.finished) {
			unfinished[t.item.ID] = savedText{events: slices.Clone(t.text), versions: slices.Clone(t.versions), complete: t.complete}
		}
		t.stop(errJobEnded)
	}
	w.Log.WithFields(logrus.Fields{observe.FieldJob: id, "unfinished": len(j.tasks)}).
		Log(jobLogLevel(j.items != nil), "job ended")
	if len(unfinished) > 0 {
		go w.saveLeftovers(j, unfinished)
	}
	w.wake()
}

// jobRetention is how long a job is kept in memory after its items have expired.
const jobRetention = 10 * time.Second

// removeExpiredJobs removes expired jobs without unfinished items from memory.
func (w *Worker) removeExpiredJobs(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.foreign, func(_ string, job *Job) bool { return now-job.Accepted > job.ItemTTL+jobRetention })
	for id, j := range w.jobs {
		if now-j.job.Accepted <= j.job.ItemTTL+jobRetention {
			continue
		}
		if len(j.tasks) == 0 {
			delete(w.jobs, id)
		}
	}
}
