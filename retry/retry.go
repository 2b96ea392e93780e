// Package retry decides whether a failed attempt may be repeated: by what is known about the
// attempt, and within a budget that keeps retries from amplifying an overload.
package retry

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"mulberryscale.example/api"
)

// Reason is why an attempt is repeated. Each reason has a counter.
type Reason string

// Reasons of a retry.
const (
	ReasonRefused     Reason = "refused"     // refused before it ran
	ReasonBroken      Reason = "broken"      // the stream to the agent broke
	ReasonEndpoint    Reason = "endpoint"    // the endpoint failed during the run
	ReasonStale       Reason = "stale"       // produced by weights older than allowed
	ReasonAttach      Reason = "attach"      // attaches again to a run that may still be going on
	ReasonMove        Reason = "move"        // moved off a slow endpoint
	ReasonPark        Reason = "park"        // preempted by samples that had not started
	ReasonPreempt     Reason = "preempt"     // preempted by an interactive request
	ReasonScorer      Reason = "scorer"      // the scoring service failed
	ReasonUnfinished  Reason = "unfinished"  // resumed after a prefix
	ReasonReadBack    Reason = "read_back"   // a write's outcome is read back
	ReasonUnreachable Reason = "unreachable" // the agent could not be reached
	ReasonSwap        Reason = "swap"        // waits while all engines swap their weights
)

// Reasons lists all reasons.
func Reasons() []Reason {
	return []Reason{
		ReasonRefused, ReasonBroken, ReasonEndpoint, ReasonStale, ReasonAttach, ReasonMove, ReasonPark, ReasonPreempt,
		ReasonScorer, ReasonUnfinished, ReasonReadBack, ReasonUnreachable, ReasonSwap,
	}
}

// Repeatable reports whether a refused attempt may be sent again: always when it is proven not to
// have run, otherwise only when the request is idempotent and the fault lies with the path or the
// endpoint.
func Repeatable(r *api.Refusal, idempotent bool) bool {
	switch r.Code {
	case api.CodeQueueFull, api.CodeDraining, api.CodeNoEndpoint, api.CodeStale,
		api.CodeTransport, api.CodeEndpointFailed, api.CodeWrongIncarnation, api.CodeCancelled, api.CodePreempted:
		return idempotent || r.NotRun == api.NotRunTrue
	}
	return false
}

// Budget limits retries to a share of the first attempts. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget of ratio retries for each first attempt, with at most burst saved
// up. It starts full.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// CountAttempt counts a first attempt.
func (b *Budget) CountAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Take takes one retry from the budget and reports whether one was left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewBackoff returns delays that grow exponentially from initial to longest, with jitter.
func NewBackoff(initial, longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.MaxInterval = longest
	return b
}
