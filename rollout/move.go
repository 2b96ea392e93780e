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
	// moveInterval is how often running samples are looked at.
	moveInterval = 200 * time.Millisecond
	// paceWindow is the least time over which a leg's pace is taken.
	paceWindow = 800 * time.Millisecond
	// moveGain is how many times faster the other engine must be.
	moveGain = 1.5
	// mostMoves bounds the moves of one sample.
	mostMoves = 3
	// MoveBudget bounds the tokens generated twice by moves, as a share of the
	// step's tokens.
	MoveBudget = 0.05
)

// runningLeg is a leg's pace at one look.
type runningLeg struct {
	task  *task
	agent string
	// perSecond is its tokens a second.
	perSecond float64
}

// watch looks at the running samples until ctx ends: it moves them, and tells
// agents of the runs that nobody waits for any more.
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

// balance moves samples when none waits, and parks long ones when some do.
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

// abandon notes a run that nobody waits for any more.
func (s *step) abandon(p peer, key string) {
	s.abandonedMu.Lock()
	defer s.abandonedMu.Unlock()
	s.abandoned[p] = append(s.abandoned[p], key)
}

func (s *step) takeAbandoned() map[peer][]string {
	s.abandonedMu.Lock()
	defer s.abandonedMu.Unlock()
	abandoned := s.abandoned
	s.abandoned = map[peer][]string{}
	return abandoned
}

// moveSlow moves samples off engines that are much slower than others. It is
// called once no sample of the step waits for a slot: a slot is better used by
// a sample that has not begun. A sample goes on elsewhere after what it has;
// its first run is cancelled when the second brings its first chunk.
func (s *step) moveSlow(tasks []*task, now time.Time) {
	legs := paces(tasks, now)
	s.notePaces(legs)
	slices.SortFunc(legs, func(a, b runningLeg) int { return cmp.Compare(a.perSecond, b.perSecond) })
	for _, l := range legs {
		if !s.moveOne(l) {
			return
		}
	}
}

// moveOne moves a sample if some engine with a free slot is much faster; it is
// false when no other sample can be moved either.
func (s *step) moveOne(l runningLeg) bool {
	if s.overMoveBudget() {
		return false
	}
	usual := s.usualPace()
	target := s.placer.reserve(l.task.routeRequest(), func(a *membership.Agent) bool {
		return a.ID != l.agent && s.expectedPace(a.ID, usual) >= moveGain*l.perSecond
	})
	if target == nil {
		return false
	}
	select {
	case l.task.moves <- target:
		s.Counters.Retry(s.row.Name, string(retry.ReasonMove))
	default:
		target.end()
	}
	return true
}

// expectedPace is what a sample would get at an agent: what the step's samples
// got there last, or what is usual where none has run.
func (s *step) expectedPace(agent string, usual float64) float64 {
	if p, ok := s.pace[agent]; ok {
		return p
	}
	return usual
}

// usualPace is the median of the agents' paces.
func (s *step) usualPace() float64 {
	if len(s.pace) == 0 {
		return 0
	}
	sorted := slices.Sorted(maps.Values(s.pace))
	return sorted[len(sorted)/2]
}

// paces measures the legs that have run long enough and may be moved.
func paces(tasks []*task, now time.Time) []runningLeg {
	var legs []runningLeg
	for _, t := range tasks {
		l := t.current.Load()
		if l == nil || t.moved.Load() >= mostMoves {
			continue
		}
		if perSecond, known := l.pace(now); known {
			legs = append(legs, runningLeg{task: t, agent: l.agent.ID, perSecond: perSecond})
		}
	}
	return legs
}

// notePaces keeps the mean pace at each agent; an agent without samples keeps
// the pace it had last.
func (s *step) notePaces(legs []runningLeg) {
	sum, n := map[string]float64{}, map[string]int{}
	for _, l := range legs {
		sum[l.agent] += l.perSecond
		n[l.agent]++
	}
	for id := range sum {
		s.pace[id] = sum[id] / float64(n[id])
	}
}

// overMoveBudget says whether moves have used up their share of the step's tokens.
func (s *step) overMoveBudget() bool {
	return float64(s.movedTokens.Load()) > MoveBudget*float64(s.tokens.Load()+minMoveBudgetBase)
}

// minMoveBudgetBase lets a step's first moves pass, in tokens.
const minMoveBudgetBase = 1000

// lost counts tokens that a leg generated for nothing.
func (s *step) lost(tokens int) {
	s.movedTokens.Add(int64(tokens))
	s.Counters.Add(observe.NameWastedTokens, s.row.Name, int64(tokens))
}

// reserve takes a slot for a sample that is moved, at once or not at all.
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

// empty says whether no sample waits for an agent.
func (p *placer) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len() == 0
}

// runMovable runs the sample at an agent, and at others to which the mover
// moves it meanwhile. last is the agent of the last leg.
func (t *task) runMovable(ctx context.Context, pl *placement) (done *wire.Done, refusal *api.Refusal, last *membership.Agent) {
	here := t.startLeg(ctx, pl.agent, t.newRun(), t.progress.Clone(), pl.started)
	t.current.Store(here)
	defer t.current.Store(nil)
	for {
		select {
		case <-here.ended:
			t.progress = here.text()
			t.dropMove()
			return here.done, here.refusal, here.agent
		case <-t.parks:
			return nil, t.park(ctx, here), here.agent
		case target := <-t.moves:
			if next := t.move(ctx, here, target); next != nil {
				defer target.end()
				here = next
				t.current.Store(here)
				t.sendPlacement(ctx)
				continue
			}
			target.end()
		}
	}
}

// move starts a second leg and waits until it produces, or until the first has
// ended. It returns the leg that goes on, or nil for the first.
func (t *task) move(ctx context.Context, here *leg, target *placement) *leg {
	t.moved.Add(1)
	text := here.text()
	t.at = peerOf(target.agent)
	there := t.startLeg(ctx, target.agent, t.runAfter(&text), text.Clone(), target.started)
	select {
	case <-there.producing:
	case <-there.ended:
	case <-here.ended:
		if here.refusal == nil {
			t.leave(there, text.Tokens())
			t.at = peerOf(here.agent)
			return nil
		}
		// The first leg failed: the second is all there is.
		select {
		case <-there.producing:
		case <-there.ended:
		}
	}
	if there.failed() {
		t.at = peerOf(here.agent)
		return nil
	}
	t.leave(here, text.Tokens())
	return there
}

// leave ends a leg whose sample goes on in another one, and counts what it
// generated after the other began.
func (t *task) leave(l *leg, from int) {
	l.stop()
	t.s.abandon(peerOf(l.agent), t.key)
	text := l.text()
	t.s.lost(max(0, text.Tokens()-from))
}

// dropMove gives back a placement that came too late.
func (t *task) dropMove() {
	select {
	case target := <-t.moves:
		target.end()
	default:
	}
}
