package batch

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// rebalanceInterval is how often an agent checks whether to exchange items with
	// others. The check itself makes no calls.
	rebalanceInterval = 250 * time.Millisecond
	// minRebalanceAge is the age below which a job is left to its owners.
	minRebalanceAge = 400 * time.Millisecond
	// stealFanout is how many agents are asked in a round for items to take. Each idle
	// agent thus asks a given one with items to hand over with a probability of
	// stealFanout divided by the number of agents.
	stealFanout = 4
	// pushFanout is how many agents are asked for free slots by an agent whose engine
	// takes no work.
	pushFanout = 16
	// maxStealPause bounds the pause between rounds that found nothing to take. It doubles
	// from rebalanceInterval with each such round and is reset by each new job.
	maxStealPause = time.Second
	// slowRatio is how many times slower another engine must be for its running items to
	// be worth moving: a move costs reading the prompt again, 30 ms.
	slowRatio = 1.6
)

// rebalance exchanges items with other agents until ctx is cancelled: it hands over those
// that this engine cannot run, takes some from busier agents and reassigns orphaned ones.
func (w *Worker) rebalance(ctx context.Context) {
	h := &rebalancer{Worker: w, orphanScans: newOrphanScans(rand.Float64)}
	for w.awaitRebalance(ctx) == nil {
		w.adoptJobs()
		jobs := w.openJobs()
		if len(jobs) == 0 {
			continue
		}
		h.pushUnrunnable(ctx, jobs)
		h.stealWork(ctx, jobs)
		h.pushLate(ctx)
		h.findOrphans(ctx, jobs)
	}
}

// awaitRebalance waits until the next round is due, or the engine is lost. It returns the cause of ctx if that is done.
func (w *Worker) awaitRebalance(ctx context.Context) error {
	timer := time.NewTimer(rebalanceInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
	case <-w.engineLost:
	}
	return nil
}

// rebalancer is the state that an agent keeps between rounds of rebalancing.
type rebalancer struct {
	*Worker
	orphanScans *orphanScans
	// latePushed is when items that will be late were last offered to other services.
	latePushed time.Time
	// stealPause is the current pause between rounds that ask for items, lastSteal the
	// time of the last one and newestJob when the newest job at that time was accepted.
	stealPause time.Duration
	lastSteal  time.Time
	newestJob  time.Duration
}

// pushUnrunnable hands over what this engine cannot run: all items but complete texts
// while it is unavailable, otherwise the items that broke off here repeatedly.
func (h *rebalancer) pushUnrunnable(ctx context.Context, jobs []*workJob) {
	h.mu.Lock()
	count, broken := h.itemCount(), h.repeatedlyBroken()
	h.mu.Unlock()
	unable := h.engineUnavailable()
	if count == 0 || (!unable && len(broken) == 0) {
		return
	}
	if unable {
		statuses := h.queryCapacity(ctx, jobs)
		h.pushItems(ctx, statuses, true)
		return
	}
	statuses := h.queryStatuses(ctx, jobs, sampleEngines(h.peerEngines(jobs), pushFanout))
	for j, tasks := range broken {
		h.pushJobItems(ctx, j, tasks, statuses, moveUnavailable)
	}
}

// stealWork asks a few agents for items that wait for a slot or run slowly there. An agent
// takes items only of jobs that it participates in: agents that look for orphaned items ask
// participants only, and would run the items a second time.
func (h *rebalancer) stealWork(ctx context.Context, jobs []*workJob) {
	jobs = slices.DeleteFunc(slices.Clone(jobs), func(j *workJob) bool { return !h.engineCanServe(j) || !h.participatesLocking(j) })
	h.mu.Lock()
	free := h.freeSlots()
	h.mu.Unlock()
	if free == 0 || len(jobs) == 0 || h.engineUnavailable() {
		return
	}
	if newest := jobs[len(jobs)-1].job.Accepted; newest != h.newestJob {
		h.newestJob, h.stealPause = newest, 0
	}
	if time.Since(h.lastSteal) < h.stealPause {
		return
	}
	h.lastSteal = time.Now()
	statuses := h.queryStatuses(ctx, jobs, sampleEngines(h.peerEngines(jobs), stealFanout))
	if h.stealFrom(ctx, jobs, statuses, free) > 0 {
		h.stealPause = 0
		return
	}
	h.stealPause = min(max(rebalanceInterval, 2*h.stealPause), maxStealPause)
}

// sampleEngines returns up to n of the engines, drawn at random.
func sampleEngines(engines []string, n int) []string {
	engines = slices.Clone(engines)
	rand.Shuffle(len(engines), func(i, k int) { engines[i], engines[k] = engines[k], engines[i] })
	return engines[:min(n, len(engines))]
}

// repeatedlyBroken returns the waiting items whose answers broke off here at least
// maxBrokenAnswers times, though the engine reports that it is healthy. It is called with
// w.mu held.
func (w *Worker) repeatedlyBroken() map[*workJob][]*task {
	byJob := map[*workJob][]*task{}
	for _, t := range w.waiting {
		if t.brokenAnswers >= maxBrokenAnswers {
			byJob[t.j] = append(byJob[t.j], t)
		}
	}
	return byJob
}

// itemCount returns the number of items that wait, run or are being scored here. It is
// called with w.mu held.
func (w *Worker) itemCount() int { return len(w.waiting) + len(w.running) + len(w.scoring) }

// engineUnavailable reports whether the engine takes no work.
func (w *Worker) engineUnavailable() bool {
	_, registered := w.instance()
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := w.View.Snapshot().Listed
	return (listed && !registered) || !w.engine.up || w.stopping
}

// openJobs returns the jobs that may have unfinished items here or whose items this engine
// could run, oldest first. Jobs of models that other engines serve are left to their
// agents: with six trainers an agent then makes a sixth of the calls.
func (w *Worker) openJobs() []*workJob {
	now, known := w.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var open []*workJob
	for _, j := range w.jobs {
		if j.ended || j.finished || !known || now-j.job.Accepted < minRebalanceAge || now-j.job.Accepted > j.job.ItemTTL {
			continue
		}
		if len(j.tasks) > 0 || w.engine.canServe(j.job) || w.participates(j) {
			open = append(open, j)
		}
	}
	slices.SortFunc(open, func(a, b *workJob) int {
		return cmp.Or(cmp.Compare(a.job.Accepted, b.job.Accepted), cmp.Compare(a.job.ID, b.job.ID))
	})
	return open
}

// statusParallelism bounds the calls for statuses that are open at a time. A new connection takes
// an agent's share of a core for some 6 ms, so that 32 of them take less than half of peerTimeout:
// with hundreds open at once, agents that answer would count as silent and their items as orphaned.
const statusParallelism = 32

// queryStatuses asks agents for their statuses, by engine; those that do not answer are
// missing from the result.
func (w *Worker) queryStatuses(ctx context.Context, jobs []*workJob, engines []string) map[string]*Status {
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.job.ID)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[string]*Status{}
	open := make(chan struct{}, statusParallelism)
	for _, e := range engines {
		open <- struct{}{}
		wg.Go(func() {
			defer func() { <-open }()
			reply, err := w.call(ctx, e, &PeerRequest{Status: &StatusRequest{Jobs: ids}})
			if err != nil || reply.Status == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[e] = reply.Status
		})
	}
	wg.Wait()
	return statuses
}

// stealFrom takes items from the agents that have the most to hand over, and returns how
// many.
func (w *Worker) stealFrom(ctx context.Context, jobs []*workJob, statuses map[string]*Status, free int) int {
	taken := 0
	for _, j := range jobs {
		if taken >= free || !w.engineCanServe(j) {
			continue
		}
		engine, ask, ok := w.takeFrom(j, statuses, free-taken)
		if !ok || !w.load(j, false) {
			continue
		}
		reply, err := w.call(ctx, engine, &PeerRequest{Take: ask})
		if err != nil || reply.Handover == nil {
			continue
		}
		taken += w.accept(engine, reply.Handover)
	}
	return taken
}

// engineCanServe is engineState.canServe for callers that do not hold w.mu.
func (w *Worker) engineCanServe(j *workJob) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engine.canServe(j.job)
}

// busiestPeer picks the agent to take items of a job from: one whose engine is much slower
// than interval, so that its running items would complete earlier here, or else the one
// with the most waiting items. A caller asks for half of n items; n is 0 if no agent has
// any.
func busiestPeer(job string, statuses map[string]*Status, interval time.Duration) (engine string, running bool, n int) {
	engines := slices.Sorted(maps.Keys(statuses))
	var slowest time.Duration
	for _, e := range engines {
		s := statuses[e]
		items := len(s.Jobs[job].Running) + len(s.Jobs[job].Waiting)
		if items > 0 && interval > 0 && s.EventInterval > slowest && float64(s.EventInterval) > slowRatio*float64(interval) {
			engine, n, slowest = e, 2*items, s.EventInterval // so that half of n is all of them
		}
	}
	if n > 0 {
		return engine, true, n
	}
	for _, e := range engines {
		if waiting := len(statuses[e].Jobs[job].Waiting); waiting > n {
			engine, n = e, waiting
		}
	}
	return engine, false, n
}
