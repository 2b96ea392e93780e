// Package gate is the admission layer of the platform's stand-ins: it counts their calls,
// limits their rates and injects outages, delays and lost replies.
package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mulberryscale.example/internal/standin/fault"
	"mulberryscale.example/platform"
)

// ErrReplyLost means that a write took effect but its reply was lost.
var ErrReplyLost = errors.New("reply lost")

// Limits are the highest rates of reads and writes, per second; zero means no limit.
type Limits struct {
	Reads  float64
	Writes float64
}

// Counts are the numbers of calls so far. Refused calls count in Refused only; a call that
// makes several writes counts as so many.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Refused int64 `json:"refused"`
}

// Gate admits, counts and delays the calls of a stand-in. It is safe for concurrent use.
type Gate struct {
	mu          sync.Mutex
	outage      bool
	slow        time.Duration
	loseReplies int
	reads       *rate.Limiter
	writes      *rate.Limiter
	counts      Counts
}

// New returns a gate without faults.
func New(l Limits) *Gate {
	return &Gate{reads: NewLimiter(l.Reads), writes: NewLimiter(l.Writes)}
}

// NewLimiter returns a limiter of perSecond calls per second, with bursts of up to one
// second's calls; 0 means no limit.
func NewLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Outage switches an outage on or off, during which all calls are refused without effect.
func (g *Gate) Outage(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outage = on
}

// Slow makes each call take d. A write takes effect halfway through, even if its caller has
// given up by then.
func (g *Gate) Slow(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slow = d
}

// LoseNextReplies makes the next n successful writes return ErrReplyLost though they take effect.
func (g *Gate) LoseNextReplies(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loseReplies = n
}

// Counts returns the numbers of calls so far.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Apply applies a posted fault.
func (g *Gate) Apply(f fault.Fault) error {
	switch f.Kind {
	case fault.Outage:
		g.Outage(f.On)
	case fault.Slow:
		g.Slow(time.Duration(f.Duration))
	case fault.LoseReplies:
		g.LoseNextReplies(f.Count)
	default:
		return fault.Unknown(f.Kind)
	}
	return nil
}

// Read calls f if the gate admits a read, and returns platform.ErrUnavailable otherwise.
func (g *Gate) Read(ctx context.Context, f func() error) error {
	slow, err := g.admit(g.reads, &g.counts.Reads, 1)
	if err != nil {
		return err
	}
	return callMidway(ctx, slow, f)
}

// Write calls f if the gate admits n writes, and returns platform.ErrUnavailable otherwise. It
// returns ErrReplyLost if f succeeded and its reply is to be lost.
func (g *Gate) Write(ctx context.Context, n int, f func() error) error {
	slow, err := g.admit(g.writes, &g.counts.Writes, n)
	if err != nil {
		return err
	}
	if err := callMidway(ctx, slow, f); err != nil {
		return err
	}
	if g.takeLostReply() {
		return ErrReplyLost
	}
	return nil
}

func (g *Gate) admit(limit *rate.Limiter, count *int64, n int) (time.Duration, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	allowed := limit.Limit() == rate.Inf || limit.AllowN(time.Now(), min(n, limit.Burst()))
	if g.outage || !allowed {
		g.counts.Refused++
		return 0, platform.ErrUnavailable
	}
	*count += int64(n)
	return g.slow, nil
}

func (g *Gate) takeLostReply() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.loseReplies <= 0 {
		return false
	}
	g.loseReplies--
	return true
}

// callMidway calls f after half of d and returns after d. If ctx is done before, it returns at
// once with its cause; f is still called.
func callMidway(ctx context.Context, d time.Duration, f func() error) error {
	if d <= 0 {
		return f()
	}
	done := make(chan error, 1)
	go func() {
		time.Sleep(d / 2)
		err := f()
		time.Sleep(d - d/2)
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
