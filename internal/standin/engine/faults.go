package engine

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/internal/standin/fault"
)

// faults has the faults that are switched on or armed for the next calls.
type faults struct {
	frozen       bool
	refuse       bool
	slow         float64
	statusLag    time.Duration
	failedLoads  int
	lostLoads    int
	cutNextAfter int
	// crashPrompts are the prompts that crash the engine; promptCrashes counts the crashes.
	crashPrompts  map[string]*promptCrash
	promptCrashes int
}

// promptCrash says how often a prompt still crashes the engine, and for how long.
type promptCrash struct {
	down   time.Duration
	always bool
	left   int
}

// take reports whether the prompt crashes the engine now, and counts it.
func (c *promptCrash) take() bool { return c != nil && (c.always || take(&c.left)) }

func (f *faults) takeFailedLoad() bool    { return take(&f.failedLoads) }
func (f *faults) takeLostLoadReply() bool { return take(&f.lostLoads) }
func (f *faults) takeCut() (tokens int)   { tokens, f.cutNextAfter = f.cutNextAfter, 0; return tokens }
func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// Crash breaks all streams and loses weights, cache and fencing token, as a crash and restart
// do. The records remain.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.models)
	e.fence = 0
	e.cache.clear(time.Now())
	for _, r := range append(slices.Clone(e.waiting), e.running...) {
		e.finishRunLocked(r, ErrConnection)
	}
	e.recordStatusLocked()
}

// CrashOnPrompt makes the engine crash when it starts to generate for a prompt, the given number of times;
// 0 means always. It then refuses connections for the given time.
func (e *Engine) CrashOnPrompt(prompt string, down time.Duration, times int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.crashPrompts == nil {
		e.faults.crashPrompts = map[string]*promptCrash{}
	}
	e.faults.crashPrompts[prompt] = &promptCrash{down: down, always: times == 0, left: times}
}

// Exited implements endpoint.Prober. It returns true while connections are refused.
func (e *Engine) Exited(context.Context) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.refuse
}

// PromptCrashes returns how often a prompt crashed the engine.
func (e *Engine) PromptCrashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.promptCrashes
}

// maybeCrash crashes the engine if a run's prompt is one of CrashOnPrompt. It returns whether it
// did.
func (e *Engine) maybeCrash(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	crash := e.faults.crashPrompts[r.req.Prompt]
	if r.isFinished() || !crash.take() {
		return false
	}
	e.faults.promptCrashes++
	e.faults.refuse = true
	for _, other := range append(slices.Clone(e.waiting), e.running...) {
		e.finishRunLocked(other, ErrConnection)
	}
	time.AfterFunc(crash.down, func() { e.RefuseConnections(false) })
	return true
}

// Freeze suspends the engine as SIGSTOP does: nothing is generated or answered.
func (e *Engine) Freeze() { e.setFrozen(true) }

// Thaw resumes a frozen engine.
func (e *Engine) Thaw() { e.setFrozen(false) }

func (e *Engine) setFrozen(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.frozen = on
	e.broadcastLocked()
}

// SlowBy multiplies the time of each token from the next chunk on; 1 is the normal speed.
func (e *Engine) SlowBy(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.slow = factor
}

// FailNextLoads makes the next n loads fail partway.
func (e *Engine) FailNextLoads(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.failedLoads = n
}

// LoseNextLoadReplies makes the next n loads return ErrConnection though they take effect.
func (e *Engine) LoseNextLoadReplies(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.lostLoads = n
}

// StatusLag makes Status report the status as it was d ago; 0 means the current one.
func (e *Engine) StatusLag(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.statusLag = d
}

// CutNextStream breaks the connection of the next admitted run after a number of tokens.
func (e *Engine) CutNextStream(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.cutNextAfter = tokens
}

// RefuseConnections switches the refusal of new calls on or off; running streams continue.
func (e *Engine) RefuseConnections(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.refuse = on
}

// Apply applies a posted fault.
func (e *Engine) Apply(f fault.Fault) error {
	switch f.Kind {
	case fault.Crash:
		e.Crash()
	case fault.Freeze:
		e.setFrozen(f.On)
	case fault.Slow:
		if f.Factor <= 0 {
			return trace.BadParameter("slow: want factor > 0, got %g", f.Factor)
		}
		e.SlowBy(f.Factor)
	case fault.FailLoads:
		e.FailNextLoads(f.Count)
	case fault.LoseLoads:
		e.LoseNextLoadReplies(f.Count)
	case fault.StatusLag:
		e.StatusLag(time.Duration(f.Duration))
	case fault.CutStream:
		e.CutNextStream(f.Count)
	case fault.Refuse:
		e.RefuseConnections(f.On)
	default:
		return fault.Unknown(f.Kind)
	}
	return nil
}

// awaitThaw waits while the engine is frozen. It returns an error if ctx is done before.
func (e *Engine) awaitThaw(ctx context.Context) error {
	for {
		e.mu.Lock()
		frozen, changed := e.faults.frozen, e.changed
		e.mu.Unlock()
		if !frozen {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.Wrap(context.Cause(ctx), "engine %s does not answer", e.opts.ID)
		}
	}
}
