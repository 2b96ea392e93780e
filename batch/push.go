package batch

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/observe"
)

// queryCapacity returns the statuses of agents that may take items of this one, whose engine takes no work. If no other
// engine of the services that run the jobs does either, they are agents of other services that may run them.
func (w *Worker) queryCapacity(ctx context.Context, jobs []*workJob) map[string]*Status {
	peers := w.peerEngines(jobs)
	statuses := w.queryStatuses(ctx, jobs, sampleEngines(peers, pushFanout))
	if len(byFreeSlots(statuses)) > 0 {
		return statuses
	}
	others := slices.DeleteFunc(w.otherEngines(jobs, w.holders), func(e string) bool { return slices.Contains(peers, e) })
	return w.queryStatuses(ctx, jobs, sampleEngines(others, pushFanout))
}

// statusesFor returns those of the statuses whose agents may run items of a job.
func (w *Worker) statusesFor(j *workJob, statuses map[string]*Status) map[string]*Status {
	snap := w.View.Snapshot()
	services := possibleServices(j.job, snap.Config)
	usable := make(map[string]*Status, len(statuses))
	for engine, status := range statuses {
		instance, listed := snap.AtAddr(engine)
		if !listed || slices.Contains(services, instance.Service) {
			usable[engine] = status
		}
	}
	return usable
}

// pushItems hands waiting items to other agents, and running ones if asked to. Complete
// texts need no engine: they stay until this process stops.
func (w *Worker) pushItems(ctx context.Context, statuses map[string]*Status, running bool) {
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
		w.pushJobItems(ctx, j, tasks, w.statusesFor(j, statuses), moveUnavailable)
	}
}

// byFreeSlots returns the engines that accept work, those with the most free slots first.
func byFreeSlots(statuses map[string]*Status) []string {
	engines := slices.SortedFunc(maps.Keys(statuses), func(a, b string) int {
		return cmp.Or(cmp.Compare(statuses[b].Free, statuses[a].Free), cmp.Compare(a, b))
	})
	return slices.DeleteFunc(engines, func(e string) bool { return !statuses[e].Up })
}

// maxOffers is how many agents are offered the same items in a round.
const maxOffers = 3

// shareOut divides n items among engines, each to the one that has the most free slots left. Slots that are not
// there count too, so that the items which have to wait are spread evenly.
func shareOut(n int, engines []string, statuses map[string]*Status) []int {
	shares := make([]int, len(engines))
	for range n {
		most := 0
		for i, e := range engines {
			if statuses[e].Free-shares[i] > statuses[engines[most]].Free-shares[most] {
				most = i
			}
		}
		shares[most]++
	}
	return shares
}

// pushJobItems spreads items of one job over other agents. Items that no agent accepts wait here again, also while
// this process stops: its next round offers them again.
func (w *Worker) pushJobItems(ctx context.Context, j *workJob, tasks []*task, statuses map[string]*Status, reason string) {
	engines := byFreeSlots(statuses)
	if len(engines) == 0 {
		return
	}
	for i, n := range shareOut(len(tasks), engines, statuses) {
		share := tasks[:n]
		tasks = tasks[n:]
		w.mu.Lock()
		detached, stopped := w.detach(share)
		w.mu.Unlock()
		handed := w.packDetached(j, detached, stopped, engines[i], moveMessages[reason])
		if len(handed.Items) == 0 {
			continue
		}
		w.Counters.Add(observe.NameItemsMoved, reason, int64(len(handed.Items)))
		candidates := slices.Concat(engines[i:], engines[:i])
		if !w.offer(ctx, handed, candidates[:min(maxOffers, len(candidates))]) {
			w.enqueueHandover(j, w.Engine, handed)
		}
	}
}

// offer offers items to agents in order until one takes them, and reports whether one did. It ends as well if an
// agent does not answer, since that one may have taken them, or has taken a part of them.
func (w *Worker) offer(ctx context.Context, handed *Handover, engines []string) bool {
	for _, e := range engines {
		reply, err := w.call(ctx, e, &PeerRequest{Give: handed})
		if err == nil && reply.Taken == len(handed.Items) {
			return true
		}
		w.Log.WithError(err).WithFields(logrus.Fields{observe.FieldJob: handed.Job, "to": e}).Warn("items not taken")
		if err != nil || reply.Taken > 0 {
			return false
		}
	}
	return false
}
