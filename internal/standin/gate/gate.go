// Package gate stands before the platform's stand-ins: it counts their calls,
// limits their rates and brings about their faults.
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

// ErrReplyLost says that the caller got no reply; the write took effect.
var ErrReplyLost = errors.New("reply lost")

// Limits are rates a second; zero means no limit.
type Limits struct {
	Reads  float64
	Writes float64
}

// Counts are the calls so far, refused ones included in Refused only.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Refused int64 `json:"refused"`
}

// Gate is safe for concurrent use.
type Gate struct {
	mu          sync.Mutex
	outage      bool
	slow        time.Duration
	loseReplies int
	reads       *rate.Limiter
	writes      *rate.Limiter
	counts      Counts
}

// New makes a gate without faults.
func New(l Limits) *Gate {
	return &Gate{reads: NewLimiter(l.Reads), writes: NewLimiter(l.Writes)}
}

// NewLimiter allows perSecond calls a second, in bursts of one second; 0 means no limit.
func NewLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Outage refuses all calls without effect while it is on.
func (g *Gate) Outage(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outage = on
}

// Slow makes each call take d. A write takes effect in the middle, also when
// its caller has gone by then.
func (g *Gate) Slow(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slow = d
}

// LoseNextReplies lets the next n successful writes take effect with their replies lost.
func (g *Gate) LoseNextReplies(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loseReplies = n
}

// Counts returns the calls so far.
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

// Read calls f once the gate lets a read through.
func (g *Gate) Read(ctx context.Context, f func() error) error {
	slow, err := g.admit(g.reads, &g.counts.Reads, 1)
	if err != nil {
		return err
	}
	return inMiddleOf(ctx, slow, f)
}

// Write calls f once the gate lets n writes through, and may lose its reply.
func (g *Gate) Write(ctx context.Context, n int, f func() error) error {
	slow, err := g.admit(g.writes, &g.counts.Writes, n)
	if err != nil {
		return err
	}
	if err := inMiddleOf(ctx, slow, f); err != nil {
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

// inMiddleOf calls f in the middle of d. When ctx ends first it returns at
// once, and f is still called.
func inMiddleOf(ctx context.Context, d time.Duration, f func() error) error {
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
