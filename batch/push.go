package batch

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/observe"
)

// pushItems hands waiting items to other agents, and running ones if asked to. Complete
// texts need no engine: they stay until this process stops.
func (w *Worker) pushItems(ctx context.Context, statuses map[string]*Status, running bool) {
	engines := byFreeSlots(statuses)
	if len(engines) == 0 {
		return
	}
	w.mu.Lock()
	byJob := map[*workJob][]*task{}
	for _, j := range w.jobs {
		for _, t := range j.tasks {
			moves := running && t.cancel != nil && (w.stopping || !t.complete)
			if moves || slices.Contains(w.waiting, t) {
				byJob[j] = append(byJob[j], t)
			}
		}
	}
	w.mu.Unlock()
	for j, tasks := range byJob {
		w.pushJobItems(ctx, j, tasks, engines)
	}
}

// byFreeSlots returns the engines that accept work, those with the most free slots first.
func byFreeSlots(statuses map[string]*Status) []string {
	engines := slices.SortedFunc(maps.Keys(statuses), func(a, b string) int {
		return cmp.Or(cmp.Compare(statuses[b].Free, statuses[a].Free), cmp.Compare(a, b))
	})
	return slices.DeleteFunc(engines, func(e string) bool { return !statuses[e].Up })
}

// pushJobItems spreads items of one job over other agents. Items that an agent does not
// accept wait here again, also while this process stops: its next round offers them to others.
func (w *Worker) pushJobItems(ctx context.Context, j *workJob, tasks []*task, engines []string) {
	for i, e := range engines {
		share := tasks[i*len(tasks)/len(engines) : (i+1)*len(tasks)/len(engines)]
		if len(share) == 0 {
			continue
		}
		w.mu.Lock()
		detached, stopped := w.detach(share)
		w.mu.Unlock()
		handed := w.packDetached(j, detached, stopped, e, "engine takes no work")
		if len(handed.Items) == 0 {
			continue
		}
		w.Counters.Add(observe.NameItemsMoved, moveUnavailable, int64(len(handed.Items)))
		reply, err := w.call(ctx, e, &PeerRequest{Give: handed})
		if err == nil && reply.Taken == len(handed.Items) {
			continue
		}
		w.Log.WithError(err).WithFields(logrus.Fields{observe.FieldJob: j.job.ID, "to": e}).Warn("items not taken")
		w.enqueueHandover(j, w.Engine, handed)
	}
}
