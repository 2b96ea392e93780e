package engine

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/internal/standin/fault"
)

type faults struct {
	frozen       bool
	refuse       bool
	slow         float64
	statusLag    time.Duration
	failedLoads  int
	lostLoads    int
	cutNextAfter int
	// endsUnder are the prompts that end the engine, for how long; ends counts them.
	endsUnder map[string]time.Duration
	ends      int
}

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

// Crash breaks all streams and loses weights, cache and fencing number, as a
// crash and restart do. The records stay.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.models)
	e.fence = 0
	e.cache.clear(time.Now())
	for _, r := range append(slices.Clone(e.waiting), e.running...) {
		e.endRunLocked(r, ErrConnection)
	}
	e.noteLocked()
}

// CrashOnPrompt makes the engine end as soon as it begins to run a prompt. It refuses
// connections for a while then, and is back with its weights.
func (e *Engine) CrashOnPrompt(prompt string, down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.endsUnder == nil {
		e.faults.endsUnder = map[string]time.Duration{}
	}
	e.faults.endsUnder[prompt] = down
}

// Exited implements endpoint.Prober.
func (e *Engine) Exited(context.Context) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.refuse
}

// PromptCrashes is how often the engine ended under a prompt.
func (e *Engine) PromptCrashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.ends
}

// endUnder ends the engine if a run's prompt does that, and says whether it did.
func (e *Engine) endUnder(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	down, ends := e.faults.endsUnder[r.req.Prompt]
	if !ends || r.hasEnded() {
		return false
	}
	e.faults.ends++
	e.faults.refuse = true
	for _, other := range append(slices.Clone(e.waiting), e.running...) {
		e.endRunLocked(other, ErrConnection)
	}
	time.AfterFunc(down, func() { e.RefuseConnections(false) })
	return true
}

// Freeze stops the engine as SIGSTOP does: nothing is generated or answered.
func (e *Engine) Freeze() { e.setFrozen(true) }

// Thaw lets a frozen engine go on.
func (e *Engine) Thaw() { e.setFrozen(false) }

func (e *Engine) setFrozen(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.frozen = on
	e.broadcastLocked()
}

// SlowBy multiplies the time of each token from the next chunk on; 1 is the usual speed.
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

// LoseNextLoadReplies makes the next n loads take effect with their replies lost.
func (e *Engine) LoseNextLoadReplies(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.lostLoads = n
}

// StatusLag makes Status tell the state as it was so long ago.
func (e *Engine) StatusLag(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.statusLag = d
}

// CutNextStream breaks the next admitted stream after that many tokens.
func (e *Engine) CutNextStream(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.cutNextAfter = tokens
}

// RefuseConnections refuses new calls; running streams go on.
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

// awaitThaw waits while the engine is frozen.
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
