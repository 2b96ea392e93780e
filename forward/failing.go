package forward

import (
	"net/http"
	"sync"
	"time"

	"mulberryscale.example/fleet"
)

const (
	// failingCount is the number of failures in a row from which an endpoint counts as failing. A
	// request that fails everywhere does not bring an endpoint there by itself.
	failingCount = 2
	// failingTime is the time after its last failure for which a failing endpoint is left out while
	// others are left. An entry with 2 requests a second repeats at most 3 in 10 s: with 2 s, 45 of
	// 1,015 requests beside a failing endpoint were answered with its failure.
	failingTime = probeInterval
)

// failing tells which endpoints of a service answer each request with a failure of their own. Where
// repeats are limited, one of four such endpoints would cost more than the budget. It is safe for
// concurrent use.
type failing struct {
	mu       sync.Mutex
	failures map[fleet.Incarnation]failuresInARow
}

// failuresInARow are the failures of an endpoint since its last sound answer.
type failuresInARow struct {
	count  int
	lastAt time.Time
}

func newFailing() *failing { return &failing{failures: map[fleet.Incarnation]failuresInARow{}} }

// answered records an answer of an endpoint.
func (f *failing) answered(from fleet.Incarnation, answer *Answer, now time.Time) {
	if answer.Declined {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if answer.Status < http.StatusInternalServerError {
		delete(f.failures, from)
		return
	}
	f.failures[from] = failuresInARow{count: f.failures[from].count + 1, lastAt: now}
}

// sound returns the endpoints that are not failing; if all are, it returns all.
func (f *failing) sound(endpoints []fleet.Instance, now time.Time) []fleet.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failures) == 0 {
		return endpoints
	}
	return keepUnlessNone(endpoints, func(i fleet.Incarnation) bool {
		known := f.failures[i]
		return known.count < failingCount || now.Sub(known.lastAt) >= failingTime
	})
}

// prune forgets the endpoints that are no longer listed.
func (f *failing) prune(snap *fleet.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	deleteUnlisted(f.failures, snap)
}
