// Package retry decides whether a failed attempt may be repeated: by what is
// known of the attempt, and within a budget that keeps retries from amplifying
// an overload.
package retry

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"mulberryscale.example/api"
)

// Reason names why an attempt is repeated. Each reason has one counter.
type Reason string

// Reasons of a retry.
const (
	ReasonRefused     Reason = "refused"     // refused before it ran
	ReasonBroken      Reason = "broken"      // the stream to the agent broke
	ReasonEndpoint    Reason = "endpoint"    // the endpoint failed in mid-run
	ReasonStale       Reason = "stale"       // produced by weights older than allowed
	ReasonAttach      Reason = "attach"      // asks again for a run that may still go on
	ReasonMove        Reason = "move"        // moved off a slow endpoint
	ReasonPark        Reason = "park"        // made room for samples that had not begun
	ReasonPreempt     Reason = "preempt"     // made room for an interactive request
	ReasonScorer      Reason = "scorer"      // the scoring service failed
	ReasonUnfinished  Reason = "unfinished"  // resumed after a prefix
	ReasonReadBack    Reason = "read_back"   // a write's outcome is read back
	ReasonUnreachable Reason = "unreachable" // the agent could not be reached
	ReasonSwap        Reason = "swap"        // waits for engines that all change their weights
)

// Reasons lists all reasons.
func Reasons() []Reason {
	return []Reason{
		ReasonRefused, ReasonBroken, ReasonEndpoint, ReasonStale, ReasonAttach, ReasonMove, ReasonPark, ReasonPreempt,
		ReasonScorer, ReasonUnfinished, ReasonReadBack, ReasonUnreachable, ReasonSwap,
	}
}

// Repeatable says whether a refused attempt may be sent again: always when it
// is proven not to have run, else only when the request is idempotent and the
// fault lies with the path or the endpoint.
func Repeatable(r *api.Refusal, idempotent bool) bool {
	switch r.Code {
	case api.CodeQueueFull, api.CodeDraining, api.CodeNoEndpoint, api.CodeStale,
		api.CodeTransport, api.CodeEndpointFailed, api.CodeWrongIncarnation, api.CodeCancelled, api.CodePreempted:
		return idempotent || r.NotRun == api.NotRunTrue
	}
	return false
}

// Budget bounds retries to a share of the first attempts. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	cap    float64
	tokens float64
}

// NewBudget returns a budget of ratio retries for each first attempt, with at
// most burst saved up. It starts full.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, cap: burst, tokens: burst}
}

// Attempted counts a first attempt.
func (b *Budget) Attempted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cap, b.tokens+b.ratio)
}

// Take takes one retry from the budget and says whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewBackoff returns delays that grow from first to most, with jitter.
func NewBackoff(first, most time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = most
	return b
}
