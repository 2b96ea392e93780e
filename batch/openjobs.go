package batch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/observe"
)

// addJob takes a job of this worker's service.
func (w *Worker) addJob(job *Job, now time.Duration) {
	if job.Service != w.Service || now-job.Accepted > job.ItemTTL+jobRetention {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.jobs[job.ID]; known {
		return
	}
	j := &workJob{job: job, tasks: map[int]*task{}, done: map[int]bool{}, orphansChecked: time.Now()}
	j.outbox = newOutbox(w, j)
	w.jobs[job.ID] = j
	owner := slices.Contains(job.Owners, w.Engine)
	log := w.Log.WithFields(logrus.Fields{
		observe.FieldJob: job.ID, "model": job.Model, "items": job.Items, "owners": len(job.Owners), "owner": owner,
		"min_version": job.MinVersion, "age_ms": (now - job.Accepted).Milliseconds(),
	})
	log.Log(jobLogLevel(owner), "job seen")
	if owner {
		go w.startJob(j, now-job.Accepted > newJobAge)
	}
}

// jobLogLevel is the level of lines about a job: those that have nothing to do
// with it here would only repeat what its owners say.
func jobLogLevel(involved bool) logrus.Level {
	if involved {
		return logrus.InfoLevel
	}
	return logrus.DebugLevel
}

// newJobAge is the age above which a job may have results already: the store
// tells of a new job within milliseconds, and the shortest items take some
// hundred.
const newJobAge = 300 * time.Millisecond

// startJob reads a job's items and takes this worker's part of them.
func (w *Worker) startJob(j *workJob, old bool) {
	for !w.load(j, old) {
		if pause.Sleep(w.ctx, writeRetryPause) != nil {
			return
		}
	}
	saved := w.resumableTexts(j, old)
	w.mu.Lock()
	defer w.mu.Unlock()
	self := slices.Index(j.job.Owners, w.Engine)
	for i, owner := range j.owners {
		if owner == self {
			w.enqueue(j, saved[i].newTask(i))
		}
	}
	w.wake()
}

// resumableTexts are the texts that a job's items can go on from: those that were
// saved while they ran before, and those that earlier jobs left unfinished.
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
	left := w.leftovers(j)
	for i := range j.items {
		if l, ok := left[j.items[i].ID]; ok && j.job.allowsVersions(l.versions) && l.betterThan(texts[i]) {
			l.rewardFailures = texts[i].rewardFailures
			texts[i] = l
		}
	}
	if len(texts) > 0 {
		w.Log.WithFields(logrus.Fields{observe.FieldJob: j.job.ID, "items": len(texts)}).Info("saved text found")
	}
	return texts
}

// load reads what is not known yet of a job; it reports whether all is known.
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

// enqueue adds an item to those that wait here, or that are scored if its text is
// whole, unless it is held or done. It is called with w.mu held.
func (w *Worker) enqueue(j *workJob, t *task) bool {
	if j.ended || j.done[t.index] || j.tasks[t.index] != nil {
		return false
	}
	t.j, t.item = j, &j.items[t.index]
	t.beginLineage()
	j.tasks[t.index] = t
	if t.complete && t.textAllowed() {
		w.scoreOrFinish(t)
		return true
	}
	t.complete = false
	at, _ := slices.BinarySearchFunc(w.waiting, t, compareTasks)
	w.waiting = slices.Insert(w.waiting, at, t)
	return true
}

// endJob ends a job here: what waits is dropped, what runs is stopped.
func (w *Worker) endJob(id string, removed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		// It may be seen later, out of order: remember that it ended.
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
	left := map[string]savedText{}
	for _, t := range j.tasks {
		if len(t.text) >= minSavedEvents || (t.complete && !t.finished) {
			left[t.item.ID] = savedText{events: slices.Clone(t.text), versions: slices.Clone(t.versions), complete: t.complete}
		}
		t.stop(errJobEnded)
	}
	w.Log.WithFields(logrus.Fields{observe.FieldJob: id, "unfinished": len(j.tasks)}).
		Log(jobLogLevel(j.items != nil), "job ended")
	if len(left) > 0 {
		go w.saveLeftovers(j, left)
	}
	w.wake()
}

// forgetAfter bounds the memory of jobs beyond their items' time.
const jobRetention = 10 * time.Second

// removeExpiredJobs drops jobs whose time is up.
func (w *Worker) removeExpiredJobs(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		if now-j.job.Accepted <= j.job.ItemTTL+jobRetention {
			continue
		}
		if len(j.tasks) == 0 {
			delete(w.jobs, id)
		}
	}
}
