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
	// helpInterval is how often an agent with free slots looks at the others.
	helpInterval = 250 * time.Millisecond
	// helpAge is the age below which a job is left to its owners.
	helpAge = 400 * time.Millisecond
	// askFew is how many agents are asked in a round. Whoever has work to give is
	// asked by each of the others that are idle with that chance.
	askFew = 8
	// fullRound is the least number of rounds to one that asks all agents. With
	// more agents there are more, so that an agent's calls stay the same; some
	// agent then makes a full round as often as ever.
	fullRound = 4
	// orphanCheck is the least time between two reads of a job's results in
	// search of items that nobody holds. It is longer than a handover takes.
	orphanCheck = 600 * time.Millisecond
	// slowRatio is how many times slower another engine must be for its running
	// items to be worth moving: a move costs a prompt read again, 30 ms.
	slowRatio = 1.6
)

// help looks after the items of other agents while this one has room, and
// gives away its own when its engine cannot run them. Most rounds ask a few
// agents only, which finds work to take about as well as asking all; now and
// then one asks all, to find items that nobody holds.
func (w *Worker) help(ctx context.Context) {
	since := rand.IntN(fullRound) // the last full round, so that agents take turns
	for pause(ctx, helpInterval) == nil {
		jobs := w.openJobs()
		if len(jobs) == 0 {
			continue
		}
		since++
		full := since >= max(fullRound, w.others(jobs)/askFew)
		if full {
			since = 0
		}
		w.helpOnce(ctx, jobs, full)
	}
}

// others is the number of other agents that may hold items of the jobs.
func (w *Worker) others(jobs []*workJob) int { return len(w.engines(jobs)) }

func (w *Worker) helpOnce(ctx context.Context, jobs []*workJob, full bool) {
	w.mu.Lock()
	free, held, broken := w.free(), w.held(), w.broken()
	w.mu.Unlock()
	unable := w.unable()
	if free == 0 && held == 0 {
		return
	}
	if free == 0 && !unable && len(broken) == 0 {
		return
	}
	statuses, all := w.ask(ctx, jobs, full || unable || len(broken) > 0)
	if unable {
		w.giveAll(ctx, statuses, true)
		return
	}
	for j, tasks := range broken {
		w.giveJob(ctx, j, tasks, roomiest(statuses))
	}
	w.takeFrom(ctx, jobs, statuses, free)
	if all {
		w.adoptOrphans(jobs, statuses)
	}
}

// broken are the waiting items that broke off here again and again, though the
// engine reports well. It is called with w.mu held.
func (w *Worker) broken() map[*workJob][]*task {
	byJob := map[*workJob][]*task{}
	for _, t := range w.waiting {
		if t.breaks >= maxBreaks {
			byJob[t.j] = append(byJob[t.j], t)
		}
	}
	return byJob
}

// held is the number of items here. It is called with w.mu held.
func (w *Worker) held() int { return len(w.waiting) + len(w.running) + len(w.scoring) }

// unable reports whether the engine takes no work.
func (w *Worker) unable() bool {
	_, registered := w.instance()
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := w.View.Snapshot().Listed
	return (listed && !registered) || !w.engine.up || w.stopping
}

// openJobs are the jobs that may have unfinished items.
func (w *Worker) openJobs() []*workJob {
	now, known := w.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var open []*workJob
	for _, j := range w.jobs {
		if j.ended || j.finished || !known || now-j.job.Accepted < helpAge || now-j.job.Accepted > j.job.ItemTTL {
			continue
		}
		open = append(open, j)
	}
	slices.SortFunc(open, func(a, b *workJob) int {
		return cmp.Or(cmp.Compare(a.job.Accepted, b.job.Accepted), cmp.Compare(a.job.ID, b.job.ID))
	})
	return open
}

// participants are the engines whose agents may hold items of a job.
func (w *Worker) participants(j *workJob) []string {
	engines := map[string]bool{}
	for _, o := range j.job.Owners {
		engines[o] = true
	}
	if j.job.Model != "" {
		for _, e := range w.deals(w.View.Snapshot())[j.job.Model].All() {
			engines[e] = true
		}
	}
	return slices.Sorted(maps.Keys(engines))
}

// engines are those of the other agents that may hold items of the jobs.
func (w *Worker) engines(jobs []*workJob) []string {
	engines := map[string]bool{}
	for _, j := range jobs {
		for _, e := range w.participants(j) {
			engines[e] = true
		}
	}
	delete(engines, w.Engine)
	return slices.Sorted(maps.Keys(engines))
}

// ask asks the agents that may hold items of the jobs, all or a random few;
// those that do not answer are missing in what it returns. It says whether it
// asked all.
func (w *Worker) ask(ctx context.Context, jobs []*workJob, all bool) (statuses map[string]*Status, asksAll bool) {
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.job.ID)
	}
	asked := w.engines(jobs)
	all = all || len(asked) <= askFew
	if !all {
		rand.Shuffle(len(asked), func(i, k int) { asked[i], asked[k] = asked[k], asked[i] })
		asked = asked[:askFew]
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses = map[string]*Status{}
	for _, e := range asked {
		wg.Go(func() {
			reply, err := w.call(ctx, e, &PeerRequest{Status: &StatusAsk{Jobs: ids}})
			if err != nil || reply.Status == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[e] = reply.Status
		})
	}
	wg.Wait()
	return statuses, all
}

// takeFrom takes items from the agent that has the most to give.
func (w *Worker) takeFrom(ctx context.Context, jobs []*workJob, statuses map[string]*Status, free int) {
	w.mu.Lock()
	pace := w.engine.pace
	w.mu.Unlock()
	for _, j := range jobs {
		if free <= 0 || !w.fresh(j) {
			continue
		}
		engine, running, n := richest(j.job.ID, statuses, pace)
		if n == 0 {
			continue
		}
		ask := &TakeAsk{Job: j.job.ID, Max: min(free, (n+1)/2), Running: running}
		if !w.read(j, false) {
			continue
		}
		reply, err := w.call(ctx, engine, &PeerRequest{Take: ask})
		if err != nil || reply.Handed == nil {
			continue
		}
		free -= w.accept(engine, reply.Handed)
	}
}

// fresh reports whether the engine's weights serve a job now.
func (w *Worker) fresh(j *workJob) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engine.serves(j.job)
}

// richest finds the agent to take items of a job from: one whose engine is much
// slower than a pace, whose items running here would end earlier, or else the
// one with the most waiting items.
func richest(job string, statuses map[string]*Status, pace time.Duration) (engine string, running bool, n int) {
	engines := slices.Sorted(maps.Keys(statuses))
	var slowest time.Duration
	for _, e := range engines {
		s := statuses[e]
		held := len(s.Jobs[job].Running) + len(s.Jobs[job].Waiting)
		if held > 0 && pace > 0 && s.Pace > slowest && float64(s.Pace) > slowRatio*float64(pace) {
			engine, n, slowest = e, 2*held, s.Pace // all of them
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
