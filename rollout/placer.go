package rollout

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mulberryscale.example/membership"
	"mulberryscale.example/routing"
)

const (
	// unstartedBacklog is how many samples of a step may wait at one agent,
	// so that the agent's fair queue always has each row's next sample at hand.
	unstartedBacklog = 2
	// placeInterval bounds the wait for a changed view.
	placeInterval = 100 * time.Millisecond
)

// waiter is a sample that waits for an agent.
type waiter struct {
	req      *routing.Request
	expected int // expected remaining tokens
	order    int // among equals, first come first placed
	reply    chan *placement
	index    int
}

// placement is an agent that a sample may be sent to.
type placement struct {
	agent *membership.Agent
	// started is called when the run has started there; end when it has ended.
	started func()
	end     func()
}

// placer gives agents to the samples of one step, those with the longest
// expected remaining work first, and holds back what no agent has room for.
type placer struct {
	view   *membership.View
	router *routing.Router
	rng    *rand.Rand

	mu        sync.Mutex
	queue     waiterQueue
	order     int
	unstarted map[string]int // by agent id
	wake      chan struct{}
}

func newPlacer(view *membership.View, router *routing.Router, rng *rand.Rand) *placer {
	return &placer{
		view: view, router: router, rng: rng,
		unstarted: map[string]int{}, wake: make(chan struct{}, 1),
	}
}

// place waits for an agent. The error is ctx's.
func (p *placer) place(ctx context.Context, req *routing.Request, expected int) (*placement, error) {
	w := &waiter{req: req, expected: expected, reply: make(chan *placement, 1)}
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

// abandon takes a waiter out, or gives back what it was given meanwhile.
func (p *placer) abandon(w *waiter) {
	p.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&p.queue, w.index)
	}
	p.mu.Unlock()
	select {
	case pl := <-w.reply:
		pl.end()
	default:
	}
}

func (p *placer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run places waiters until ctx ends.
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

// placeAll places waiters in order until one finds no agent with room. A
// waiter whose own demands fit no agent does not hold up the others.
func (p *placer) placeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	snap := p.view.Snapshot()
	var unplaced []*waiter
	for p.queue.Len() > 0 && len(unplaced) < unplacedBound {
		w := heap.Pop(&p.queue).(*waiter)
		agent := p.pick(w.req, snap)
		if agent == nil {
			unplaced = append(unplaced, w)
			continue
		}
		w.reply <- p.newPlacement(agent)
	}
	for _, w := range unplaced {
		heap.Push(&p.queue, w)
	}
}

// newPlacement counts a run at the agent; p.mu is held.
func (p *placer) newPlacement(agent *membership.Agent) *placement {
	agent.Sends.Begin()
	p.unstarted[agent.ID]++
	started := sync.OnceFunc(func() { p.started(agent.ID) })
	end := sync.OnceFunc(func() {
		agent.Sends.End()
		started()
		p.signal()
	})
	return &placement{agent: agent, started: started, end: end}
}

// unplacedBound is how many waiters without an agent are passed over before
// the rest of the queue is left for the next round.
const unplacedBound = 16

func (p *placer) pick(req *routing.Request, snap *membership.Snapshot) *membership.Agent {
	narrowed := *req
	narrowed.NeedFree = true
	narrowed.Unstarted = p.unstarted
	narrowed.Backlog = unstartedBacklog
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

// waiterQueue is a heap, the longest expected remaining work first.
type waiterQueue []*waiter

func (q waiterQueue) Len() int { return len(q) }

func (q waiterQueue) Less(i, j int) bool {
	if q[i].expected != q[j].expected {
		return q[i].expected > q[j].expected
	}
	return q[i].order < q[j].order
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
