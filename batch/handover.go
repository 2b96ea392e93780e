package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/observe"
)

// handOver releases items of a job to another agent that asks for them.
func (w *Worker) handOver(to string, ask *TakeRequest) *Handover {
	w.mu.Lock()
	j, ok := w.jobs[ask.Job]
	if !ok || j.ended {
		w.mu.Unlock()
		return &Handover{Job: ask.Job}
	}
	detached, stopped := w.detach(w.pickForHandover(j, to, ask))
	w.mu.Unlock()
	w.countTaken(len(detached)-len(stopped), len(stopped))
	return w.packDetached(j, detached, stopped, to, "taken")
}

// Reasons for which items are moved to another engine.
const (
	moveWaiting     = "waiting"     // waited for a slot
	moveSlowNow     = "slow_now"    // ran on an engine with long intervals between events
	moveUnavailable = "unavailable" // the engine takes no work, or their answers broke off there
	moveLate        = "late"        // would be late at the engines of their service
)

// moveMessages are the texts of the log lines about items that this agent offers, by reason.
var moveMessages = map[string]string{moveUnavailable: "engine takes no work", moveLate: "would be late here"}

// countTaken counts the items that another agent takes.
func (w *Worker) countTaken(waiting, running int) {
	w.Counters.Add(observe.NameItemsMoved, moveWaiting, int64(waiting))
	w.Counters.Add(observe.NameItemsMoved, moveSlowNow, int64(running))
}

// pickForHandover picks the items to release: waiting ones in the order of compareTasks, so
// mostly the longest first, then running ones if the other agent asks for them. It is called
// with w.mu held.
func (w *Worker) pickForHandover(j *workJob, to string, ask *TakeRequest) []*task {
	if ask.Pace > 0 && w.engine.speed.known() {
		return w.pickWaiting(j, to, ask)
	}
	var picked []*task
	for _, t := range w.waiting {
		if t.j == j && len(picked) < ask.Max && !w.avoids(t, to) {
			picked = append(picked, t)
		}
	}
	if ask.Running {
		picked = append(picked, j.longestRunning(ask.Max-len(picked))...)
	}
	return picked
}

// avoids reports whether an item is kept from an engine where its answers broke off repeatedly. It is not if there is no
// other engine left. It is called with w.mu held.
func (w *Worker) avoids(t *task, engine string) bool {
	if !slices.Contains(t.avoid, engine) {
		return false
	}
	return slices.ContainsFunc(w.participants(t.j), func(e string) bool {
		return e != w.Engine && !slices.Contains(t.avoid, e)
	})
}

// longestRunning returns up to n running tasks: those with the most expected work first,
// and of those the least advanced, which have the most left to do.
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

// detach removes tasks from this worker and returns those that were here, with the
// channels that are closed when their runs have stopped; the caller waits for these
// without w.mu. Tasks that are being handed over to another agent, or were since they were
// chosen, are left out: two agents would run them. It is called with w.mu held.
func (w *Worker) detach(tasks []*task) (detached []*task, stopped []chan struct{}) {
	for _, t := range tasks {
		if t.handingOver || t.j.tasks[t.index] != t {
			continue
		}
		t.handingOver = true
		t.j.transfers[t.index] = time.Now()
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

// packDetached waits until the runs of detached tasks have stopped and packs the tasks for
// another agent.
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
			delete(j.transfers, t.index)
			continue // finished before it could be stopped
		}
		j.transfers[t.index] = time.Now()
		if t.brokenAnswers >= maxBrokenAnswers {
			t.avoid = append(t.avoid, w.Engine)
		}
		handed.Items = append(handed.Items, HandoverItem{
			Index: t.index, Text: t.text, Versions: t.versions, Failures: t.failures, Avoid: t.avoid,
			Complete: t.complete, RewardFailures: t.rewardFailures, Idle: time.Since(t.idleSince),
		})
		w.Log.WithFields(t.fields()).WithFields(logrus.Fields{"to": to, "why": why}).Info("item handed over")
	}
	return handed
}

// accept takes over items that another agent hands to this one, and returns how many; 0 if
// it does not accept work of the job.
func (w *Worker) accept(from string, handed *Handover) int {
	w.adoptOffered(handed.Job)
	w.mu.Lock()
	j, ok := w.jobs[handed.Job]
	refuse := !ok || j.ended || w.stopping
	w.mu.Unlock()
	if refuse || !w.load(j, false) {
		return 0
	}
	return w.enqueueHandover(j, from, handed)
}

// enqueueHandover queues the items of a handover and returns how many belong to the job.
func (w *Worker) enqueueHandover(j *workJob, from string, handed *Handover) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, h := range handed.Items {
		if h.Index < 0 || h.Index >= len(j.items) {
			continue
		}
		t := &task{
			index: h.Index, text: h.Text, versions: h.Versions, failures: h.Failures, avoid: h.Avoid,
			complete: h.Complete, rewardFailures: h.RewardFailures, idleSince: time.Now().Add(-h.Idle),
		}
		if w.enqueue(j, t) {
			w.Log.WithFields(t.fields()).WithField("from", from).Info("item taken over")
		}
		n++ // items that are held or done here already count as taken
	}
	w.wake()
	return n
}
