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
	// orphanScanInterval is the least time between two reads of a job's results in
	// search of items that nobody holds. It is longer than a handover takes.
	orphanScanInterval = 600 * time.Millisecond
	// neighbourInterval is how often an agent looks whether the next one lives.
	neighbourInterval = 500 * time.Millisecond
)

// orphanScans says when an agent asks all others of its jobs, to find items that
// nobody holds. Two causes are told apart. An agent that dies is noticed by the
// one before it in the ring of their addresses, which asks it twice a second. A
// hand-over that was lost leaves all agents alive, so all of them together make a
// round each orphanCheck, in turns drawn at random. So the calls of an agent do not
// grow with the agents: four a second for its neighbour and its part of the rounds.
type orphanScans struct {
	draw      func() float64 // uniform in [0, 1)
	next      time.Time      // of the next round
	neighbour time.Time      // when it was last asked
}

func newOrphanScans(draw func() float64) *orphanScans { return &orphanScans{draw: draw} }

// due reports whether a round of n agents is due, and draws the time of the next.
func (l *orphanScans) due(now time.Time, n int) bool {
	first := l.next.IsZero()
	if !first && now.Before(l.next) {
		return false
	}
	mean := float64(n) * float64(orphanScanInterval)
	l.next = now.Add(time.Duration(2 * l.draw() * mean))
	return !first
}

// neighbourDue reports whether the neighbour is to be asked now.
func (l *orphanScans) neighbourDue(now time.Time) bool {
	if now.Sub(l.neighbour) < neighbourInterval {
		return false
	}
	l.neighbour = now
	return true
}

// findOrphans finds items that no agent holds and that are not done, and deals
// them out.
func (h *rebalancer) findOrphans(ctx context.Context, jobs []*workJob) {
	jobs = slices.DeleteFunc(slices.Clone(jobs), func(j *workJob) bool { return !h.participates(j) })
	if len(jobs) == 0 {
		return
	}
	others := h.peerEngines(jobs)
	round := h.orphanScans.due(time.Now(), len(others)+1)
	if !round && len(others) > 0 && h.orphanScans.neighbourDue(time.Now()) {
		next := neighbour(h.Engine, others)
		_, lives := h.queryStatuses(ctx, jobs, []string{next})[next]
		round = !lives
	}
	if round {
		h.reassignOrphans(ctx, jobs, h.queryStatuses(ctx, jobs, others))
	}
}

// neighbour is the engine after one in the ring of the others, which are sorted.
func neighbour(engine string, others []string) string {
	at, _ := slices.BinarySearch(others, engine)
	return others[at%len(others)]
}

// reassignOrphans deals out the items that no agent holds and that are not done, as
// happens when an agent died or a handover was lost.
func (w *Worker) reassignOrphans(ctx context.Context, jobs []*workJob, statuses map[string]*Status) {
	for _, j := range jobs {
		missing, finished := w.orphansOf(j, statuses)
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
		due := time.Since(j.orphansChecked) > orphanScanInterval
		if due {
			j.orphansChecked = time.Now()
		}
		w.mu.Unlock()
		if due && w.load(j, true) {
			w.reassign(ctx, j, missing, statuses)
		}
	}
}

// orphansOf are the items that nobody who answered holds or has done; finished
// says that all are done.
func (w *Worker) orphansOf(j *workJob, statuses map[string]*Status) (missing []int, finished bool) {
	held, done := map[int]bool{}, map[int]bool{}
	w.mu.Lock()
	own := j.status()
	w.mu.Unlock()
	for _, s := range append(slices.Collect(maps.Values(statuses)), &Status{Jobs: map[string]JobStatus{j.job.ID: own}}) {
		js := s.Jobs[j.job.ID]
		for _, list := range [][]int{js.Waiting, js.Running, js.AwaitingScore} {
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

// reassign deals out the items without a holder: to all agents that answered and
// are up, by rendezvous hashing, so that two that find the same items name the
// same agents.
func (w *Worker) reassign(ctx context.Context, j *workJob, missing []int, statuses map[string]*Status) {
	w.mu.Lock()
	lost := slices.DeleteFunc(missing, func(i int) bool { return j.done[i] })
	w.mu.Unlock()
	if len(lost) == 0 {
		return
	}
	engines := []string{w.Engine}
	for e, s := range statuses {
		if s.Up {
			engines = append(engines, e)
		}
	}
	slices.Sort(engines)
	saved := w.resumableTexts(j, true)
	shares := map[string]*Handover{}
	for _, i := range lost {
		e := engines[highestRanked(j.items[i].ID, engines)]
		if shares[e] == nil {
			shares[e] = &Handover{Job: j.job.ID}
		}
		shares[e].Items = append(shares[e].Items, saved[i].handoverItem(i))
		w.Log.WithFields(logrus.Fields{
			observe.FieldItem: j.items[i].ID, observe.FieldJob: j.job.ID, "owner": j.owners[i],
			"answered": len(statuses), "to": e,
		}).Info("item without a holder found")
	}
	for e, share := range shares {
		w.deliver(ctx, e, share)
	}
}

// deliver gives found items to an agent. What it does not take is found again.
func (w *Worker) deliver(ctx context.Context, engine string, items *Handover) {
	if engine == w.Engine {
		w.accept(w.Engine, items)
		return
	}
	if _, err := w.call(ctx, engine, &PeerRequest{Give: items}); err != nil {
		w.Log.WithError(err).WithFields(logrus.Fields{observe.FieldJob: items.Job, "to": engine}).Info("found items not delivered")
	}
}
