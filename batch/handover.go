package batch

import (
	"cmp"
	"slices"

	"github.com/sirupsen/logrus"
)

// handOver gives up items for another agent: waiting ones first, the longest of them.
func (w *Worker) handOver(to string, ask *TakeRequest) *Handover {
	w.mu.Lock()
	j, ok := w.jobs[ask.Job]
	if !ok || j.ended {
		w.mu.Unlock()
		return &Handover{Job: ask.Job}
	}
	give, stopped := w.detach(w.pickForHandover(j, to, ask))
	w.mu.Unlock()
	return w.packDetached(j, give, stopped, to, "taken")
}

// pickForHandover picks the items to give up. It is called with w.mu held.
func (w *Worker) pickForHandover(j *workJob, to string, ask *TakeRequest) []*task {
	var give []*task
	for _, t := range w.waiting {
		if t.j == j && len(give) < ask.Max && !slices.Contains(t.avoid, to) && !w.isQuarantined(t) {
			give = append(give, t)
		}
	}
	if ask.Running {
		give = append(give, j.longestRunning(ask.Max-len(give))...)
	}
	return give
}

// longestRunning are up to n running tasks, those that are expected to be the
// longest first, and of those the least advanced: they have the most left to do.
func (j *workJob) longestRunning(n int) []*task {
	var list []*task
	for _, t := range j.tasks {
		if t.cancel != nil && !t.complete {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		return cmp.Or(cmp.Compare(b.item.expectedWork(), a.item.expectedWork()), cmp.Compare(len(a.text), len(b.text)), cmp.Compare(a.index, b.index))
	})
	return list[:min(max(n, 0), len(list))]
}

// detach takes tasks out of this worker's hands and returns those that were there,
// with the ends of their runs, which the caller awaits without w.mu. Tasks that are
// being handed over to another agent, or were since they were chosen, are left out:
// two agents would run them. It is called with w.mu held.
func (w *Worker) detach(tasks []*task) (detached []*task, stopped []chan struct{}) {
	for _, t := range tasks {
		if t.handingOver || t.j.tasks[t.index] != t {
			continue
		}
		t.handingOver = true
		detached = append(detached, t)
		if t.cancel != nil {
			t.stop(errHandedOver)
			stopped = append(stopped, t.stopped)
			continue
		}
		w.removeTask(t)
	}
	return detached, stopped
}

// packDetached awaits the ends of runs and packs up the tasks.
func (w *Worker) packDetached(j *workJob, tasks []*task, stopped []chan struct{}, to, why string) *Handover {
	for _, c := range stopped {
		<-c
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	handed := &Handover{Job: j.job.ID}
	for _, t := range tasks {
		if j.tasks[t.index] != nil || j.done[t.index] {
			t.handingOver = false
			continue // it finished before it could be stopped
		}
		if t.brokenAnswers >= maxBrokenAnswers {
			t.avoid = append(t.avoid, w.Engine)
		}
		handed.Items = append(handed.Items, HandoverItem{
			Index: t.index, Text: t.text, Versions: t.versions, Failures: t.failures, Avoid: t.avoid,
			Complete: t.complete, RewardFailures: t.rewardFailures,
		})
		w.Log.WithFields(t.fields()).WithFields(logrus.Fields{"to": to, "why": why}).Info("item handed over")
	}
	return handed
}

// accept takes items that another agent gives.
func (w *Worker) accept(from string, given *Handover) int {
	w.mu.Lock()
	j, ok := w.jobs[given.Job]
	refuse := !ok || j.ended || w.stopping
	w.mu.Unlock()
	if refuse || !w.load(j, false) {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, h := range given.Items {
		if h.Index < 0 || h.Index >= len(j.items) {
			continue
		}
		t := &task{
			index: h.Index, text: h.Text, versions: h.Versions, failures: h.Failures, avoid: h.Avoid,
			complete: h.Complete, rewardFailures: h.RewardFailures,
		}
		if w.enqueue(j, t) {
			w.Log.WithFields(t.fields()).WithField("from", from).Info("item taken over")
		}
		n++ // held or done here already counts as taken
	}
	w.wake()
	return n
}
