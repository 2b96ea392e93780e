// Package flowcontrol decides in each entry which requests to a service are sent to its endpoints,
// in which order, and which are refused. The entries do not communicate: each follows the load that
// the endpoints report with their answers.
package flowcontrol

import (
	"context"
	"errors"
	"sync"
	"time"

	"mulberryscale.example/fleet"
)

// Defaults of Config.
const (
	DefaultMaxWaiting = 4096
	DefaultMaxBytes   = 16 << 20
)

// Config holds the bounds of a gate; the zero value of a field means its default.
type Config struct {
	// MaxWaiting bounds the requests that wait, MaxBytes the memory that they hold.
	MaxWaiting int
	MaxBytes   int
	// MaxWait bounds the time that a request waits; 0 means until its deadline.
	MaxWait time.Duration
}

// Ticket describes a request that asks for admission.
type Ticket struct {
	Organisation string
	Rank         int       // 0 is the highest
	Arrived      time.Time // when the request arrived; zero for now
	Objective    time.Time // an answer has its full value until then; zero for no objective
	Deadline     time.Time // nobody waits for the answer after this time; zero for never
	Bytes        int       // memory held while the request waits
}

// Reasons of refusals.
const (
	// ReasonQueueFull is for requests that exceed a bound of the queue.
	ReasonQueueFull = "queue_full"
	// ReasonNoTime is for requests that cannot be served in the time that they have left.
	ReasonNoTime = "no_time"
	// ReasonExpired is for requests whose deadline or longest wait has passed.
	ReasonExpired = "expired"
)

// Refused is the error that Enter returns for a request that is not admitted. The request never ran.
type Refused struct {
	Reason string
	// RetryAfter is how long the client should wait before it asks again.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refused) Error() string { return "flowcontrol: refused: " + r.Reason }

// ErrNoEndpoint is returned by Enter if candidates returns no endpoint.
var ErrNoEndpoint = errors.New("flowcontrol: no endpoint")

// Status is the state of a gate, for the operator.
type Status struct {
	// Open is the number of requests that hold a lease, Waiting that of those in the queue.
	Open, Waiting int
	// Bytes is the memory that waiting requests hold.
	Bytes                 int
	WaitingByRank         map[int]int
	WaitingByOrganisation map[string]int
	// Windows are ordered by endpoint.
	Windows []WindowStatus
	// Admitted counts the leases so far, Queued those of them that had to wait.
	Admitted, Queued uint64
	// Refused counts the refusals so far, by reason.
	Refused map[string]uint64
	// Rate is the number of requests a second that the windows allow at present.
	Rate float64
}

// WindowStatus is the state of the window of one endpoint.
type WindowStatus struct {
	Endpoint fleet.Incarnation
	Limit    float64
	Open     int
}

// Gate admits the requests of a process to one service. It is safe for concurrent use.
type Gate struct {
	config Config

	mu      sync.Mutex
	open    map[fleet.Incarnation]int
	waiting []*waiter
	refused map[string]uint64
}

type waiter struct {
	candidates func() []fleet.Instance
	choose     func([]fleet.Instance) (fleet.Instance, bool)
	lease      *Lease
	admitted   chan struct{}
}

// New returns a gate.
func New(config Config) *Gate {
	return &Gate{config: config, open: map[fleet.Incarnation]int{}, refused: map[string]uint64{}}
}

// Lease is the capacity that a request holds at an endpoint.
type Lease struct {
	// To is the endpoint that choose picked.
	To   fleet.Instance
	gate *Gate
}

const fixedWindow = 12

// Enter waits for capacity at one of the candidates and reserves it there. candidates leaves out
// endpoints tried before. choose picks one of the endpoints that have capacity; if it returns false,
// the request keeps waiting and choose is called again after a change. Both are called with the
// gate's lock held, by any goroutine, and must not call the gate. The error is a *Refused,
// ErrNoEndpoint, or the cause of ctx. Without an error, Done of the lease must be called.
func (g *Gate) Enter(ctx context.Context, _ Ticket, candidates func() []fleet.Instance, choose func(withRoom []fleet.Instance) (fleet.Instance, bool)) (*Lease, error) {
	w := &waiter{candidates: candidates, choose: choose, admitted: make(chan struct{})}
	g.mu.Lock()
	if len(candidates()) == 0 {
		g.mu.Unlock()
		return nil, ErrNoEndpoint
	}
	g.waiting = append(g.waiting, w)
	g.dispatch()
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return w.lease, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.lease != nil {
		g.open[w.lease.To.Incarnation()]--
		g.dispatch()
	}
	for i, other := range g.waiting {
		if other == w {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			break
		}
	}
	return nil, context.Cause(ctx)
}

func (g *Gate) dispatch() {
	for len(g.waiting) > 0 {
		w := g.waiting[0]
		var room []fleet.Instance
		for _, c := range w.candidates() {
			if g.open[c.Incarnation()] < fixedWindow {
				room = append(room, c)
			}
		}
		if len(room) == 0 {
			return
		}
		to, ok := w.choose(room)
		if !ok {
			return
		}
		g.open[to.Incarnation()]++
		w.lease = &Lease{To: to, gate: g}
		g.waiting = g.waiting[1:]
		close(w.admitted)
	}
}

// Done returns the capacity; it is called once, when the send has ended. load is what the endpoint
// reported, nil if nothing; declined is set if it rejected the send; took is the time of the send, 0
// if it was not answered.
func (l *Lease) Done(_ *fleet.Load, _ bool, _ time.Duration) {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	l.gate.open[l.To.Incarnation()]--
	l.gate.dispatch()
}

// Waiting returns the number of requests that wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

// Status returns the state of the gate.
func (g *Gate) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{Waiting: len(g.waiting), Refused: map[string]uint64{}}
}
