package forward

import (
	"sync"
	"time"
)

// patienceMemory is the time for which the longest time left of a client's requests is remembered,
// at least.
const patienceMemory = 30 * time.Second

// maxPatiences bounds the kinds of clients that are remembered at a time.
const maxPatiences = 4096

// patience estimates when a client first asked. A client that returns after a refusal has less time
// left than at first, so the longest time left of recent requests of its organisation and route,
// less its own, is how long ago it began. It is 0 for clients that begin their time anew or state
// none. It is safe for concurrent use.
type patience struct {
	mu        sync.Mutex
	rotatedAt time.Time
	// longest holds the longest times left since rotatedAt, former those of the time before.
	longest, former map[patienceKey]time.Duration
}

// patienceKey identifies clients that are expected to wait equally long.
type patienceKey struct{ organisation, route string }

func newPatience() *patience { return &patience{longest: map[patienceKey]time.Duration{}} }

// age records a request that arrives with some time left, and returns how long ago its client first
// asked.
func (p *patience) age(key patienceKey, left time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.rotatedAt) >= patienceMemory || len(p.longest) >= maxPatiences {
		p.former, p.longest, p.rotatedAt = p.longest, map[patienceKey]time.Duration{}, now
	}
	p.longest[key] = max(p.longest[key], left)
	return max(p.longest[key], p.former[key]) - left
}
