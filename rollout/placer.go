package rollout

import (
	"cmp"
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mulberryscale.example/membership"
	"mulberryscale.example/routing"
)

// placeInterval bounds the time between two rounds of placing when neither the view nor
// the queue changes.
const placeInterval = 100 * time.Millisecond

// waiter is a sample that waits for an agent.
type waiter struct {
	req      *routing.Request
	priority priority
	order    int // arrival number, breaks ties of priority
	reply    chan *placement
	index    int
}

// priority orders waiting samples by level, then by work, smaller values first.
type priority struct {
	level level
	work  int // tokens
}

// level is the major key of priority.
type level int

const (
	// levelResumed: the sample has text from a run that a failure, or a preemption for an
	// interactive request, interrupted.
	levelResumed level = iota
	// levelFresh: the sample has no text yet.
	levelFresh
	// levelParked: the sample was parked once; each further time adds a level.
	levelParked
)

// placement is an agent with a slot taken for one sample.
type placement struct {
	agent *membership.Agent
	// started must be called when the run has started there, release when it has returned.
	// Both may be called more than once.
	started func()
	release func()
}

// placer assigns agents to the samples of one step in the order of their
// priorities, and queues samples while no agent has a slot for them.
type placer struct {
	view    *membership.View
	router  routing.Picker
	rng     *rand.Rand
	backlog int

	mu        sync.Mutex
	queue     waiterQueue
	order     int
	unstarted map[string]int // runs sent and not started, by agent id
	wake      chan struct{}
}

func newPlacer(r *Runner, rng *rand.Rand) *placer {
	backlog := r.Policy.Backlog
	if backlog == 0 {
		backlog = DefaultBacklog
	}
	return &placer{
		view: r.View, router: r.Router, rng: rng, backlog: backlog,
		unstarted: map[string]int{}, wake: make(chan struct{}, 1),
	}
}

// place waits for an agent. The error is that of ctx.
func (p *placer) place(ctx context.Context, req *routing.Request, pr priority) (*placement, error) {
	w := &waiter{req: req, priority: pr, reply: make(chan *placement, 1)}
	p.mu.Lock()
	w.order = p.order
	p.order++
	heap.Push(&p.queue, w)
	p.mu.Unlock()
	p.signal()
	select {
	case pl := <-w.reply:
		return pl, nil
	case <-ctx.Done():
		p.abandon(w)
		return nil, ctx.Err()
	}
}

// abandon removes a waiter from the queue, or gives back a placement that it received
// meanwhile.
func (p *placer) abandon(w *waiter) {
	p.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&p.queue, w.index)
	}
	p.mu.Unlock()
	select {
	case pl := <-w.reply:
		pl.release()
	default:
	}
}

func (p *placer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run places waiters until ctx is done.
func (p *placer) run(ctx context.Context) {
	timer := time.NewTicker(placeInterval)
	defer timer.Stop()
	for {
		changed := p.view.Changed()
		p.placeAll()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-p.wake:
		case <-timer.C:
		}
	}
}

// placeAll places waiters in order of priority. A waiter that fits no agent does not
// block those behind it, up to maxUnplaced such waiters.
func (p *placer) placeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	snap := p.view.Snapshot()
	var unplaced []*waiter
	for blocked := 0; p.queue.Len() > 0 && blocked < maxUnplaced; {
		w := heap.Pop(&p.queue).(*waiter)
		agent := p.pick(w, snap)
		if agent == nil {
			unplaced = append(unplaced, w)
			blocked++
			continue
		}
		w.reply <- p.newPlacement(agent)
	}
	for _, w := range unplaced {
		heap.Push(&p.queue, w)
	}
}

// newPlacement counts a run at the agent. The caller holds p.mu.
func (p *placer) newPlacement(agent *membership.Agent) *placement {
	agent.InFlight.Begin()
	p.unstarted[agent.ID]++
	started := sync.OnceFunc(func() { p.started(agent.ID) })
	release := sync.OnceFunc(func() {
		agent.InFlight.End()
		started()
		p.signal()
	})
	return &placement{agent: agent, started: started, release: release}
}

// maxUnplaced is how many waiters that fit no agent are skipped before the rest of
// the queue is left for the next round.
const maxUnplaced = 16

func (p *placer) pick(w *waiter, snap *membership.Snapshot) *membership.Agent {
	narrowed := *w.req
	narrowed.NeedFree = true
	narrowed.Unstarted = p.unstarted
	narrowed.Backlog = p.backlog
	agent, err := p.router.Pick(&narrowed, snap, p.rng)
	if err != nil {
		return nil
	}
	return agent
}

func (p *placer) started(agentID string) {
	p.mu.Lock()
	p.unstarted[agentID]--
	p.mu.Unlock()
	p.signal()
}

// waitsBelow reports whether a sample of a level lower than l waits for an agent.
func (p *placer) waitsBelow(l level) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len() > 0 && p.queue[0].priority.level < l
}

// waiterQueue is a heap with the next waiter to be placed on top.
type waiterQueue []*waiter

func (q waiterQueue) Len() int { return len(q) }

func (q waiterQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	return cmp.Or(
		cmp.Compare(a.priority.level, b.priority.level),
		cmp.Compare(a.priority.work, b.priority.work),
		cmp.Compare(a.order, b.order),
	) < 0
}

func (q waiterQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *waiterQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waiterQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
