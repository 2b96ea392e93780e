// Package retrybudget limits the second sends of a process to a share of its recent first sends, so
// that hedges and retries cannot multiply the load of a service that is overloaded already. It has
// no clock, network or goroutine of its own.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// Window is the time over which first and second sends are counted.
	Window = 10 * time.Second
	// DefaultShare is the share of the first sends that second sends may reach.
	DefaultShare = 0.1
	// Floor is the number of second sends in a window that are allowed however few first sends
	// there are: a process with one request a second would otherwise retry none of them.
	Floor = 3

	// slots divide the window; the counts of the oldest one are dropped together.
	slots      = 20
	slotLength = Window / slots
)

// Budget counts the first and second sends of one service. It is safe for concurrent use.
type Budget struct {
	share float64

	mu     sync.Mutex
	counts [slots]count
}

// count holds the sends of one slot of the window.
type count struct {
	// number is the index of the slot since the Unix epoch.
	number        int64
	first, second int
}

// New returns a budget for second sends of at most the given share of the first sends. A share of
// 0 allows only the floor.
func New(share float64) *Budget { return &Budget{share: share} }

// RecordFirst counts the first send of a request.
func (b *Budget) RecordFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now).first++
}

// Take reports whether a second send is allowed, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, second := b.totals(now)
	if second >= max(Floor, int(b.share*float64(first))) {
		return false
	}
	b.slot(now).second++
	return true
}

// Restore gives back a second send that Take allowed at the given time and that was not made.
func (b *Budget) Restore(taken time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := &b.counts[index(taken)]; c.number == number(taken) && c.second > 0 {
		c.second--
	}
}

// totals returns the first and second sends of the window that ends now. The caller holds b.mu.
func (b *Budget) totals(now time.Time) (first, second int) {
	current := number(now)
	for _, c := range b.counts {
		if c.number > current-slots && c.number <= current {
			first += c.first
			second += c.second
		}
	}
	return first, second
}

// slot returns the counts of the current slot of the window. The caller holds b.mu.
func (b *Budget) slot(now time.Time) *count {
	c := &b.counts[index(now)]
	if c.number != number(now) {
		*c = count{number: number(now)}
	}
	return c
}

// number returns the index of a time's slot since the Unix epoch.
func number(at time.Time) int64 { return at.UnixNano() / int64(slotLength) }

// index returns the place of a time's slot in the ring.
func index(at time.Time) int64 { return number(at) % slots }
