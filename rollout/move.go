package rollout

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/membership"
	"mulberryscale.example/observe"
	"mulberryscale.example/retry"
	"mulberryscale.example/routing"
	"mulberryscale.example/wire"
)

const (
	// moveInterval is the time between two checks of the running samples.
	moveInterval = 200 * time.Millisecond
	// rateWindow is the least time over which the token rate of a run is measured.
	rateWindow = 800 * time.Millisecond
	// minMoveSpeedup is how many times faster the target engine must be.
	minMoveSpeedup = 1.5
	// maxMoves bounds the moves of one sample.
	maxMoves = 3
	// MoveBudget bounds the tokens that moves cause to be generated twice, as a
	// share of the step's tokens.
	MoveBudget = 0.05
)

// measuredRun is a run with the token rate of the latest check.
type measuredRun struct {
	task  *task
	agent string
	// perSecond is the run's rate in tokens a second.
	perSecond float64
}

// watch checks the running samples every moveInterval until ctx is done: it moves or
// parks them, and tells agents to forget abandoned runs.
func (s *step) watch(ctx context.Context, tasks []*task) {
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.balance(tasks, now)
			if abandoned := s.takeAbandoned(); len(abandoned) > 0 {
				s.forgetLater(ctx, abandoned)
			}
		}
	}
}

// balance moves slow samples when no sample waits for an agent, and parks long ones otherwise.
func (s *step) balance(tasks []*task, now time.Time) {
	if s.Policy.NoMoves {
		return
	}
	if s.placer.empty() {
		s.moveSlow(tasks, now)
		return
	}
	s.parkLong(tasks)
}

// abandon records a run whose result is not needed any more, for takeAbandoned.
func (s *step) abandon(p peer, key string) {
	s.abandonedMu.Lock()
	defer s.abandonedMu.Unlock()
	s.abandoned[p] = append(s.abandoned[p], key)
}

// takeAbandoned returns the abandoned runs by agent, and clears the record.
func (s *step) takeAbandoned() map[peer][]string {
	s.abandonedMu.Lock()
	defer s.abandonedMu.Unlock()
	abandoned := s.abandoned
	s.abandoned = map[peer][]string{}
	return abandoned
}

// moveSlow moves samples off engines that are much slower than others. It is
// called only while no sample of the step waits for a slot: a free slot is better
// used by a sample that has not started. A moved sample resumes from the text that
// it has; its old run is cancelled when the new one delivers its first chunk.
func (s *step) moveSlow(tasks []*task, now time.Time) {
	runs := measureRates(tasks, now)
	s.recordRates(runs)
	slices.SortFunc(runs, func(a, b measuredRun) int { return cmp.Compare(a.perSecond, b.perSecond) })
	for _, r := range runs {
		if !s.moveOne(r) {
			return
		}
	}
}

// moveOne moves a sample if an engine with a free slot is much faster. It returns
// false when the remaining, faster samples cannot be moved either.
func (s *step) moveOne(r measuredRun) bool {
	if s.overMoveBudget() {
		return false
	}
	median := s.medianRate()
	target := s.placer.reserve(r.task.routeRequest(), func(a *membership.Agent) bool {
		return a.ID != r.agent && s.expectedRate(a.ID, median) >= minMoveSpeedup*r.perSecond
	})
	if target == nil {
		return false
	}
	select {
	case r.task.moves <- target:
		s.Counters.Retry(s.row.Name, string(retry.ReasonMove))
	default:
		target.release()
	}
	return true
}

// expectedRate returns the tokens a second that a sample can expect at an agent: the
// last mean of the step's samples there, or median where none has run.
func (s *step) expectedRate(agent string, median float64) float64 {
	if rate, ok := s.agentRates[agent]; ok {
		return rate
	}
	return median
}

// medianRate returns the median of the agents' token rates, 0 when none is known.
func (s *step) medianRate() float64 {
	if len(s.agentRates) == 0 {
		return 0
	}
	sorted := slices.Sorted(maps.Values(s.agentRates))
	return sorted[len(sorted)/2]
}

// measureRates returns the movable runs whose token rate is known.
func measureRates(tasks []*task, now time.Time) []measuredRun {
	var runs []measuredRun
	for _, t := range tasks {
		r := t.current.Load()
		if r == nil || t.moved.Load() >= maxMoves {
			continue
		}
		if perSecond, known := r.tokenRate(now); known {
			runs = append(runs, measuredRun{task: t, agent: r.agent.ID, perSecond: perSecond})
		}
	}
	return runs
}

// recordRates stores the mean token rate at each agent; an agent without samples
// keeps its last rate.
func (s *step) recordRates(runs []measuredRun) {
	sum, n := map[string]float64{}, map[string]int{}
	for _, r := range runs {
		sum[r.agent] += r.perSecond
		n[r.agent]++
	}
	for id := range sum {
		s.agentRates[id] = sum[id] / float64(n[id])
	}
}

// overMoveBudget reports whether moves have used up their share of the step's tokens.
func (s *step) overMoveBudget() bool {
	return float64(s.movedTokens.Load()) > MoveBudget*float64(s.tokens.Load()+minMoveBudgetBase)
}

// minMoveBudgetBase is added to the step's tokens, so that the first moves of a step
// are within the budget.
const minMoveBudgetBase = 1000

// addWasted counts tokens that a discarded run generated in vain.
func (s *step) addWasted(tokens int) {
	s.movedTokens.Add(int64(tokens))
	s.Counters.Add(observe.NameWastedTokens, s.row.Name, int64(tokens))
}

// reserve takes a free slot for a sample to be moved. It does not wait: without a
// matching agent it returns nil.
func (p *placer) reserve(req *routing.Request, ok func(*membership.Agent) bool) *placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	narrowed := *req
	narrowed.NeedFree = true
	narrowed.Unstarted = p.unstarted
	narrowed.Backlog = 0
	narrowed.Accept = ok
	agent, err := p.router.Pick(&narrowed, p.view.Snapshot(), p.rng)
	if err != nil {
		return nil
	}
	return p.newPlacement(agent)
}

// empty reports whether no sample waits for an agent.
func (p *placer) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len() == 0
}

// runMovable runs the sample at an agent, and follows the moves and the parking that
// step.watch orders meanwhile. last is the agent of the last run.
func (t *task) runMovable(ctx context.Context, pl *placement) (done *wire.Done, refusal *api.Refusal, last *membership.Agent) {
	current := t.startRun(ctx, pl.agent, t.newRun(), t.progress.Clone(), pl.started)
	t.current.Store(current)
	defer t.current.Store(nil)
	for {
		select {
		case <-current.finished:
			t.progress = current.snapshot()
			t.releasePendingMove()
			return current.done, current.refusal, current.agent
		case <-t.parks:
			return nil, t.park(ctx, current), current.agent
		case target := <-t.moves:
			if next := t.move(ctx, current, target); next != nil {
				defer target.release()
				current = next
				t.current.Store(current)
				t.sendPlacement(ctx)
				continue
			}
			target.release()
		}
	}
}

// move starts a second run at the target and waits for its first chunk, its failure or
// the end of the current run. It returns the new run when it replaces the current one,
// else nil.
func (t *task) move(ctx context.Context, current *agentRun, target *placement) *agentRun {
	t.moved.Add(1)
	text := current.snapshot()
	t.lastPeer = peerOf(target.agent)
	next := t.startRun(ctx, target.agent, t.runAfter(&text), text.Clone(), target.started)
	select {
	case <-next.producing:
	case <-next.finished:
	case <-current.finished:
		if current.refusal == nil {
			t.discard(next, text.Tokens())
			t.lastPeer = peerOf(current.agent)
			return nil
		}
		// The current run failed, so the sample depends on the new run alone.
		select {
		case <-next.producing:
		case <-next.finished:
		}
	}
	if next.failed() {
		t.lastPeer = peerOf(current.agent)
		return nil
	}
	t.discard(current, text.Tokens())
	return next
}

// discard stops a run whose sample continues in another run. from is the sample's length
// in tokens when the second of the two was started; tokens beyond it are counted as wasted.
func (t *task) discard(r *agentRun, from int) {
	r.stop()
	t.s.abandon(peerOf(r.agent), t.key)
	text := r.snapshot()
	t.s.addWasted(max(0, text.Tokens()-from))
}

// releasePendingMove gives back the placement of a move that came after the run had finished.
func (t *task) releasePendingMove() {
	select {
	case target := <-t.moves:
		target.release()
	default:
	}
}
