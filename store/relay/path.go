package relay

import (
	"sync"
	"time"
)

const (
	// hedgeDelay is how long a call waits for a response on the first path before it is
	// hedged on the other path. It is a hundred times the usual response time, and half of the
	// slowest response that was seen while the store was sixty times as slow as usual.
	hedgeDelay = 400 * time.Millisecond
	// relayTimeout bounds a call through a peer, in addition to the time for which a feed
	// may be held. It is short because a network partition often separates a process from
	// the store and from its peers: its calls then fail no later than on the direct path
	// alone, so that it recovers as soon as the partition heals.
	relayTimeout = 600 * time.Millisecond
	// probeInterval is how long calls go to peers first. After it, a call tries the
	// direct path first again.
	probeInterval = time.Second
	// minRelayBackoff is how long calls are not relayed after several peers could not
	// reach the store either: the store itself is down then, and as many calls again
	// would not help. It doubles up to maxRelayBackoff while relayed calls keep failing.
	minRelayBackoff = time.Second
	maxRelayBackoff = 4 * time.Second
)

// path tracks which paths to the store work. It is safe for concurrent use.
type path struct {
	mu sync.Mutex
	// directLostUntil is until when the direct path counts as lost, backoffUntil is until
	// when calls are not relayed.
	directLostUntil, backoffUntil time.Time
	// backoff is the length of the last backoff.
	backoff time.Duration
	// relaying is set if the last response came through a peer.
	relaying bool
}

// directLost reports whether the direct path counts as lost, so that calls are relayed
// first.
func (p *path) directLost(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.directLostUntil)
}

// mayRelay reports whether calls may be relayed: false during a backoff.
func (p *path) mayRelay(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.backoffUntil)
}

// directSucceeded records a response on the direct path. It reports whether calls were
// relayed until now.
func (p *path) directSucceeded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.relaying
	p.directLostUntil, p.backoffUntil, p.backoff, p.relaying = time.Time{}, time.Time{}, 0, false
	return was
}

// relaySucceeded records a response through a peer after the direct path had failed. It
// reports whether this is the first such response since the direct path last responded.
func (p *path) relaySucceeded(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.relaying
	p.backoff, p.relaying = 0, true
	if !now.Before(p.directLostUntil) {
		p.directLostUntil = now.Add(probeInterval)
	}
	return !was
}

// relayFailed records that no peer reached the store, and starts or extends the backoff.
func (p *path) relayFailed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoff = min(max(minRelayBackoff, 2*p.backoff), maxRelayBackoff)
	p.directLostUntil, p.backoffUntil = time.Time{}, now.Add(p.backoff)
}
