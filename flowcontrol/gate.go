package flowcontrol

import (
	"context"
	"sync"
	"time"

	"mulberryscale.example/fleet"
)

// waiter is the value of a waiting item: the request's functions and the outcome of its wait.
type waiter struct {
	candidates func() []fleet.Instance
	choose     func([]fleet.Instance) (fleet.Instance, bool)
	lease      *Lease
	err        error
	decided    chan struct{} // closed once lease or err is set
}

// Gate admits the requests of a process to one service. It is safe for concurrent use.
type Gate struct {
	config Config

	mu      sync.Mutex
	queue   *Queue
	windows *windows
	returns Returns
	timer   *time.Timer
	timerAt time.Time

	admitted, queued uint64
	refused          map[string]uint64
}

// New returns a gate that has heard of no endpoint.
func New(config Config) *Gate {
	return &Gate{config: config.withDefaults(), queue: NewQueue(), windows: newWindows(), refused: map[string]uint64{}}
}

// Lease is the capacity that a request holds at an endpoint.
type Lease struct {
	// To is the endpoint that choose picked.
	To       fleet.Instance
	gate     *Gate
	item     *Item
	window   *Window
	expected time.Duration
}

// Enter waits for capacity at one of the candidates and reserves it there. candidates leaves out
// endpoints tried before. choose picks one of the endpoints that have capacity; if it returns false,
// the request keeps waiting and choose is called again after a change. Both are called with the
// gate's lock held, by any goroutine, and must not call the gate. The error is a *Refused,
// ErrNoEndpoint, or the cause of ctx. Without an error, Done of the lease must be called, also if
// ctx has been cancelled in the meantime.
func (g *Gate) Enter(ctx context.Context, t Ticket, candidates func() []fleet.Instance, choose func(withRoom []fleet.Instance) (fleet.Instance, bool)) (*Lease, error) {
	w := &waiter{candidates: candidates, choose: choose, decided: make(chan struct{})}
	it := &Item{Ticket: t, Value: w}
	g.mu.Lock()
	g.arrive(it, time.Now())
	waits := it.queued
	g.mu.Unlock()
	if !waits {
		return w.lease, w.err
	}
	select {
	case <-w.decided:
		return w.lease, w.err
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if it.queued {
		g.queue.Remove(it)
		g.admitWaiting(time.Now())
		return nil, context.Cause(ctx)
	}
	return w.lease, w.err
}

// Done returns the capacity; it is called once, when the send has ended. load is what the endpoint
// reported, nil if nothing; declined is set if it rejected the send; took is the time of the send, 0
// if it was not answered.
func (l *Lease) Done(load *fleet.Load, declined bool, took time.Duration) {
	g := l.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.windows.done(l.window, load, declined, took, now)
	work := l.window.serviceTime()
	if declined {
		work = 0
	}
	g.queue.Charge(l.item, work-l.expected, now)
	g.admitWaiting(now)
}

// arrive admits, queues or refuses a new request.
func (g *Gate) arrive(it *Item, now time.Time) {
	it.normalise(now, g.config.MaxWait)
	w := it.Value.(*waiter)
	candidates := w.candidates()
	if len(candidates) == 0 {
		g.decide(it, nil, ErrNoEndpoint)
		return
	}
	g.windows.observe(candidates, it, now)
	switch {
	case !now.Before(it.Deadline):
		g.refuse(it, ReasonExpired, now)
		return
	case g.queue.Bytes()+it.Bytes > g.config.MaxBytes && !g.windows.anyRoom(now):
		g.refuse(it, ReasonQueueFull, now)
		return
	case g.windows.common.Sustained(now) && g.queue.OverShare(it, g.windows.work(), now):
		g.refuse(it, ReasonNoTime, now)
		return
	}
	g.queue.Push(it, !g.windows.inTime(it, now))
	g.admitWaiting(now)
	if it.queued {
		g.queued++
	}
}

// normalise sets times that are not known, and bounds the wait.
func (it *Item) normalise(now time.Time, maxWait time.Duration) {
	if it.Arrived.IsZero() {
		it.Arrived = now
	}
	if it.Deadline.IsZero() {
		it.Deadline = now.Add(noDeadline)
	}
	if it.Objective.IsZero() {
		it.Objective = it.Deadline
	}
	if maxWait > 0 && it.Deadline.Sub(now) > maxWait {
		it.Deadline = now.Add(maxWait)
	}
}

// noDeadline is the time left of requests without a deadline.
const noDeadline = time.Hour

// admitWaiting admits the requests for which there is capacity, and refuses those that cannot be
// served.
func (g *Gate) admitWaiting(now time.Time) {
	g.windows.common.Expire(now)
	g.dispatch(now)
	if g.queue.Len() == 0 {
		return
	}
	g.windows.common.Limited(now)
	g.expire(now)
	if g.trim(now) {
		g.dispatch(now)
	}
	g.schedule(now)
}

// maxPassedOver bounds how many requests are tried for which the endpoints with capacity are not
// suitable.
const maxPassedOver = 8

// dispatch admits waiting requests while the windows have room.
func (g *Gate) dispatch(now time.Time) {
	var passedOver []*Item
	skip := func(it *Item) bool {
		for _, other := range passedOver {
			if other == it {
				return true
			}
		}
		return false
	}
	for len(passedOver) < maxPassedOver && g.queue.Len() > 0 && g.windows.anyRoom(now) {
		it := g.queue.Next(skip)
		if it == nil {
			return
		}
		if !it.late && !g.windows.inTime(it, now) {
			g.queue.MarkLate(it)
			continue
		}
		if !g.admit(it, now) {
			passedOver = append(passedOver, it)
		}
	}
}

// admit admits a request if an endpoint that suits it has room.
func (g *Gate) admit(it *Item, now time.Time) bool {
	w := it.Value.(*waiter)
	candidates := w.candidates()
	if len(candidates) == 0 {
		g.queue.Remove(it)
		g.decide(it, nil, ErrNoEndpoint)
		return true
	}
	room := g.windows.withRoom(candidates, now, g.suits(it, now))
	if len(room) == 0 {
		return false
	}
	to, ok := w.choose(room)
	if !ok {
		return false
	}
	g.queue.Remove(it)
	window := g.windows.of(to, now)
	expected := window.serviceTime()
	window.Sent(now)
	g.queue.Charge(it, expected, now)
	g.admitted++
	g.decide(it, &Lease{To: to, gate: g, item: it, window: window, expected: expected}, nil)
	return true
}

// suits returns whether an endpoint suits a request: one that would answer after the objective is for
// late requests only, and the others are not for late requests during a sustained overload.
func (g *Gate) suits(it *Item, now time.Time) func(capable bool) bool {
	if !it.late {
		return func(capable bool) bool { return capable }
	}
	sustained := g.windows.common.Sustained(now)
	return func(capable bool) bool { return !capable || !sustained }
}

// decide ends the wait of a request that is not in the queue.
func (g *Gate) decide(it *Item, lease *Lease, err error) {
	w := it.Value.(*waiter)
	w.lease, w.err = lease, err
	close(w.decided)
}

// refuse removes a request from the queue, if it is there, and tells when to return.
func (g *Gate) refuse(it *Item, reason string, now time.Time) {
	g.queue.Remove(it)
	g.refused[reason]++
	g.windows.common.Limited(now)
	if reason == ReasonNoTime {
		g.queue.Refused(it, now)
	}
	after := g.returns.After(now, it.Deadline.Sub(now), g.windows.rate(now))
	g.decide(it, nil, &Refused{Reason: reason, RetryAfter: after})
}

// expire refuses the requests that can no longer be served within their deadline.
func (g *Gate) expire(now time.Time) {
	need := g.windows.leastTook()
	for _, it := range g.queue.All(func(it *Item) bool { return !now.Add(need).Before(it.Deadline) }) {
		g.refuse(it, ReasonExpired, now)
	}
}

// trim refuses the requests that cannot be served in time, those that go last first, and marks
// those late that can be served after their objective only. It reports whether any was marked.
func (g *Gate) trim(now time.Time) (marked bool) {
	for g.queue.Len() > g.config.MaxWaiting {
		g.refuse(g.lastItem(), ReasonQueueFull, now)
	}
	for _, it := range g.queue.All(func(it *Item) bool { return !it.late && !g.windows.inTime(it, now) }) {
		g.queue.MarkLate(it)
		marked = true
	}
	if !g.windows.common.Congested(now) {
		return marked
	}
	for g.queue.Timely() > 0 {
		it := g.queue.Last(false, g.windows.work())
		wait := g.timelyWait(now)
		if g.windows.inTime(it, now.Add(wait)) {
			break
		}
		g.queue.MarkLate(it)
		marked = true
	}
	for g.queue.Late() > 0 && g.windows.common.Sustained(now) {
		it := g.queue.Last(true, g.windows.work())
		wait := seconds(float64(g.queue.Late()) / g.lateRate(now))
		if now.Add(wait + g.windows.leastTook()).Before(it.Deadline) {
			break
		}
		g.refuse(it, ReasonNoTime, now)
	}
	return marked
}

// timelyWait estimates how long the last of the timely requests will wait.
func (g *Gate) timelyWait(now time.Time) time.Duration {
	interval := 1 / g.windows.timelyRate(now)
	first := seconds(interval / 2)
	if ready, ok := g.windows.nextReady(now); ok {
		first = min(first, ready.Sub(now))
	}
	return first + seconds(float64(g.queue.Timely()-1)*interval)
}

// lateRate returns how many late requests a second an overloaded service can serve: those of the
// endpoints that are too slow for others.
func (g *Gate) lateRate(now time.Time) float64 {
	return g.windows.rate(now) - g.windows.timelyRate(now)
}

// Waiting returns the number of requests that wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

// lastItem returns the waiting request that goes last.
func (g *Gate) lastItem() *Item {
	if it := g.queue.Last(true, g.windows.work()); it != nil {
		return it
	}
	return g.queue.Last(false, g.windows.work())
}

const (
	// checkInterval is the longest time between two checks of the waiting requests.
	checkInterval = 20 * time.Millisecond
	// minCheckInterval is the least time between two checks, which bounds their cost.
	minCheckInterval = time.Millisecond
)

// schedule sets the timer for the next check of the queue.
func (g *Gate) schedule(now time.Time) {
	if g.queue.Len() == 0 {
		return
	}
	at := now.Add(checkInterval)
	if ready, ok := g.windows.nextReady(now); ok && ready.Before(at) {
		at = ready
	}
	if earliest := now.Add(minCheckInterval); at.Before(earliest) {
		at = earliest
	}
	if g.timerAt.After(now) && !at.Before(g.timerAt) {
		return
	}
	g.timerAt = at
	if g.timer == nil {
		g.timer = time.AfterFunc(at.Sub(now), g.check)
		return
	}
	g.timer.Reset(at.Sub(now))
}

// check admits and refuses waiting requests; the timer calls it.
func (g *Gate) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timerAt = time.Time{}
	g.admitWaiting(time.Now())
}

// seconds converts a number of seconds, bounded to noDeadline.
func seconds(s float64) time.Duration {
	if !(s < noDeadline.Seconds()) {
		return noDeadline
	}
	return time.Duration(s * float64(time.Second))
}
