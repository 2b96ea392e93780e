package forward

import (
	"slices"
	"sync"
	"time"
)

const (
	// ageMemory is half of the time for which the time left of a client's request is remembered.
	ageMemory = 30 * time.Second
	// ageSamples is the number of requests that are remembered for each kind of clients.
	ageSamples = 32
	// rareShare is the part of the requests, one in rareShare, that may state more time than the
	// usual: a single client which states an hour must not make all others returning ones.
	rareShare = 10
	// maxAgeShare is the part of the usual time after which a client returns at the latest: it is
	// refused early in an overload and honours a Retry-After of a third of its time. One that has
	// less time left states less of its own accord.
	maxAgeShare = 2
	// maxClientKinds bounds the kinds of clients that are remembered at a time.
	maxClientKinds = 4096
)

// ageEstimator estimates when a client first asked. A client that returns after a refusal has less time
// left than at first, so the usual time of its organisation's requests for the route, less its own,
// is how long ago it began. It is 0 for clients that begin their time anew or state none. It is safe
// for concurrent use.
type ageEstimator struct {
	mu       sync.Mutex
	prunedAt time.Time
	recent   map[clientKind]*timesLeft
}

// clientKind identifies clients that are expected to wait equally long.
type clientKind struct{ organisation, route string }

// timesLeft holds the newest requests of a kind of clients, in a ring.
type timesLeft struct {
	samples [ageSamples]struct {
		left time.Duration
		at   time.Time
	}
	next int
	last time.Time
}

func newAgeEstimator() *ageEstimator { return &ageEstimator{recent: map[clientKind]*timesLeft{}} }

// age records a request that arrives with some time left, and returns how long ago its client first
// asked.
func (p *ageEstimator) age(key clientKind, left time.Duration, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	kind := p.recent[key]
	if kind == nil {
		kind = &timesLeft{}
		p.recent[key] = kind
	}
	kind.add(left, now)
	usual := kind.usual(now)
	if age := usual - left; age <= usual/maxAgeShare {
		return max(0, age)
	}
	return 0
}

// prune forgets the clients that have not asked for long, and all if there are too many. The caller
// holds p.mu.
func (p *ageEstimator) prune(now time.Time) {
	if len(p.recent) >= maxClientKinds {
		clear(p.recent)
	}
	if now.Sub(p.prunedAt) < ageMemory {
		return
	}
	p.prunedAt = now
	for key, kind := range p.recent {
		if now.Sub(kind.last) >= 2*ageMemory {
			delete(p.recent, key)
		}
	}
}

// add records a request.
func (t *timesLeft) add(left time.Duration, now time.Time) {
	t.samples[t.next].left, t.samples[t.next].at = left, now
	t.next = (t.next + 1) % ageSamples
	t.last = now
}

// usual returns the longest time left, without the rare ones.
func (t *timesLeft) usual(now time.Time) time.Duration {
	var known [ageSamples]time.Duration
	n := 0
	for _, s := range t.samples {
		if !s.at.IsZero() && now.Sub(s.at) < 2*ageMemory {
			known[n] = s.left
			n++
		}
	}
	slices.Sort(known[:n])
	return known[n-1-n/rareShare]
}
