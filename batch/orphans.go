package batch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/observe"
)

const (
	// orphanScanInterval is the minimum time between two reads of a job's results in
	// search of orphaned items, those that no agent holds. It is longer than a handover
	// takes.
	orphanScanInterval = 600 * time.Millisecond
	// neighbourInterval is how often an agent checks that the next one is alive.
	neighbourInterval = 500 * time.Millisecond
)

// orphanScans decides when an agent asks all others about its jobs, to find
// orphaned items. There are two causes of orphans. The crash of an agent is noticed
// by the agent before it in the ring of their addresses, which polls it twice a
// second. A lost handover leaves all agents alive, so all of them together make one
// scan per orphanScanInterval, at random times. So the number of an agent's calls
// does not grow with the number of agents: four a second for its neighbour and its
// share of the scans.
type orphanScans struct {
	sharedInterval
	neighbour time.Time // when the neighbour was last asked
}

func newOrphanScans(draw func() float64) *orphanScans {
	return &orphanScans{sharedInterval: sharedInterval{draw: draw}}
}

// sharedInterval spreads calls over agents, at random times: all of them together make one per orphanScanInterval.
type sharedInterval struct {
	draw func() float64 // uniform in [0, 1)
	next time.Time
}

// due reports whether a call by one of n agents is due, and draws the time of the next.
func (l *sharedInterval) due(now time.Time, n int) bool {
	first := l.next.IsZero()
	if !first && now.Before(l.next) {
		return false
	}
	mean := float64(n) * float64(orphanScanInterval)
	l.next = now.Add(time.Duration(2 * l.draw() * mean))
	return !first
}

// neighbourDue reports whether it is time to ask the neighbour.
func (l *orphanScans) neighbourDue(now time.Time) bool {
	if now.Sub(l.neighbour) < neighbourInterval {
		return false
	}
	l.neighbour = now
	return true
}

// findOrphans looks for items that no agent holds and that are not done, if a scan
// is due or the neighbour does not answer, and reassigns them.
func (h *rebalancer) findOrphans(ctx context.Context, jobs []*workJob) {
	jobs = slices.DeleteFunc(slices.Clone(jobs), func(j *workJob) bool { return !h.participates(j) })
	if len(jobs) == 0 {
		return
	}
	peers := h.peerEngines(jobs)
	scan := h.orphanScans.due(time.Now(), len(peers)+1)
	if !scan && len(peers) > 0 && h.orphanScans.neighbourDue(time.Now()) {
		next := neighbour(h.Engine, peers)
		_, alive := h.queryStatuses(ctx, jobs, []string{next})[next]
		scan = !alive
	}
	if scan {
		h.reassignOrphans(ctx, jobs, h.queryStatuses(ctx, jobs, h.otherEngines(jobs, h.holders)))
	}
}

// neighbour returns the engine that follows engine in the ring of the others, which
// are sorted.
func neighbour(engine string, others []string) string {
	at, _ := slices.BinarySearch(others, engine)
	return others[at%len(others)]
}

// reassignOrphans reassigns the items that no agent holds and that are not done,
// which happens after the crash of an agent or a lost handover.
func (w *Worker) reassignOrphans(ctx context.Context, jobs []*workJob, statuses map[string]*Status) {
	for _, j := range jobs {
		orphans, finished := w.orphansOf(j, statuses)
		if finished {
			w.mu.Lock()
			j.finished = true
			w.mu.Unlock()
			continue
		}
		if len(orphans) == 0 {
			continue
		}
		w.mu.Lock()
		due := time.Since(j.orphansChecked) > orphanScanInterval
		if due {
			j.orphansChecked = time.Now()
		}
		w.mu.Unlock()
		if due && w.load(j, true) {
			w.reassign(ctx, j, orphans, statuses)
		}
	}
}

// orphansOf returns the indexes of the items that no agent that answered, nor this
// one, holds, has just handed over or knows as done; finished is true if all items are done.
func (w *Worker) orphansOf(j *workJob, statuses map[string]*Status) (orphans []int, finished bool) {
	held, done := map[int]bool{}, map[int]bool{}
	w.mu.Lock()
	own := j.status()
	w.mu.Unlock()
	for _, s := range append(slices.Collect(maps.Values(statuses)), &Status{Jobs: map[string]JobStatus{j.job.ID: own}}) {
		js := s.Jobs[j.job.ID]
		for _, list := range [][]int{js.Waiting, js.Running, js.AwaitingScore, js.Transferred} {
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
			orphans = append(orphans, i)
		}
	}
	return orphans, len(done) == j.job.Items
}

// reassign assigns orphaned items to this agent and all that answered and are up, by
// rendezvous hashing, so that two agents that find the same orphans choose the same
// agents for them.
func (w *Worker) reassign(ctx context.Context, j *workJob, orphans []int, statuses map[string]*Status) {
	w.mu.Lock()
	open := slices.DeleteFunc(orphans, func(i int) bool { return j.done[i] })
	w.mu.Unlock()
	if len(open) == 0 {
		return
	}
	engines, participants := []string{w.Engine}, w.participants(j)
	for e, s := range statuses {
		if s.Up && slices.Contains(participants, e) {
			engines = append(engines, e)
		}
	}
	slices.Sort(engines)
	saved := w.resumableTexts(j, true)
	shares := map[string]*Handover{}
	for _, i := range open {
		e := engines[highestRanked(j.items[i].ID, engines)]
		if shares[e] == nil {
			shares[e] = &Handover{Job: j.job.ID}
		}
		shares[e].Items = append(shares[e].Items, saved[i].handoverItem(i))
		w.Log.WithFields(logrus.Fields{
			observe.FieldItem: j.items[i].ID, observe.FieldJob: j.job.ID, "owner": j.owners[i],
			"answered": len(statuses), "to": e,
		}).Info("orphaned item found")
	}
	for e, share := range shares {
		w.deliver(ctx, e, share)
	}
}

// deliver hands orphaned items over to an agent. If it takes none, they stay here: each later scan would select
// the same agent for them. If that is not known, a later scan finds those that it did not take.
func (w *Worker) deliver(ctx context.Context, engine string, items *Handover) {
	taken, err := w.offerOrphans(ctx, engine, items)
	if taken == len(items.Items) {
		return
	}
	w.Log.WithError(err).WithFields(logrus.Fields{
		observe.FieldJob: items.Job, "to": engine, "items": len(items.Items), "taken": taken,
	}).Warn("orphaned items not taken")
	if err == nil && taken == 0 && engine != w.Engine {
		w.deliver(ctx, w.Engine, items)
	}
}

// offerOrphans offers orphaned items to an agent, which may be this one, and returns how many it took.
func (w *Worker) offerOrphans(ctx context.Context, engine string, items *Handover) (taken int, err error) {
	if engine == w.Engine {
		return w.accept(w.Engine, items), nil
	}
	reply, err := w.call(ctx, engine, &PeerRequest{Give: items})
	if err != nil {
		return 0, err
	}
	return reply.Taken, nil
}
