// Package usage counts the requests of each organisation that endpoints began, by
// windows of true time, and reports each window once to the platform. Entries
// count and keep their counts in the store; whoever holds the duty adds them up.
package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Counts are begun requests by the name of their organisation.
type Counts map[string]uint64

// Windows divide true time, from the beginning of 1970 on.
type Windows struct{ Length time.Duration }

// Index is the window of a moment.
func (w Windows) Index(at time.Time) uint64 { return uint64(at.UnixNano() / int64(w.Length)) }

// End is when a window ends.
func (w Windows) End(window uint64) time.Time { return time.Unix(0, int64(window+1)*int64(w.Length)) }

// Counter counts at one entry. It is safe for concurrent use.
type Counter struct {
	windows Windows

	mu      sync.Mutex
	byIndex map[uint64]*windowCounts
	changed chan struct{} // holds a token while something is to be written
}

// windowCounts are the counts of one window.
type windowCounts struct {
	counts Counts
	// changed says that they differ from what was taken last; taken that they
	// were, so that they may stand in the store.
	changed, taken bool
}

// NewCounter returns a counter without counts.
func NewCounter(windows Windows) *Counter {
	return &Counter{windows: windows, byIndex: map[uint64]*windowCounts{}, changed: make(chan struct{}, 1)}
}

// Add counts a request that an endpoint began at a moment. What it returns
// takes that back, and is called once at most. Requests of no organisation are
// not counted.
func (c *Counter) Add(organisation string, at time.Time) (withdraw func()) {
	if organisation == "" {
		return func() {}
	}
	window := c.windows.Index(at)
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byIndex[window]
	if w == nil {
		w = &windowCounts{counts: Counts{}}
		c.byIndex[window] = w
	}
	w.counts[organisation]++
	c.mark(w)
	return func() { c.withdraw(w, organisation) }
}

// withdraw takes one request out of a window's counts.
func (c *Counter) withdraw(w *windowCounts, organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.counts[organisation]--
	if w.counts[organisation] == 0 {
		delete(w.counts, organisation)
	}
	c.mark(w)
}

// mark has a window written. It is called with c.mu held.
func (c *Counter) mark(w *windowCounts) {
	w.changed = true
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// take returns what is to be written, and forgets that it is. A window whose
// only requests were withdrawn before they were taken needs no writing.
func (c *Counter) take() map[uint64]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := map[uint64]Counts{}
	for window, w := range c.byIndex {
		if w.changed && (w.taken || len(w.counts) > 0) {
			taken[window] = maps.Clone(w.counts)
			w.taken = true
		}
		w.changed = false
	}
	select {
	case <-c.changed:
	default:
	}
	return taken
}

// putBack has windows written again.
func (c *Counter) putBack(windows []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, window := range windows {
		if w := c.byIndex[window]; w != nil {
			c.mark(w)
		}
	}
}

// forget drops the counts of windows before one.
func (c *Counter) forget(before uint64) (dropped []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for window := range c.byIndex {
		if window < before {
			dropped = append(dropped, window)
			delete(c.byIndex, window)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// size is how many requests of a window are counted.
func (c *Counter) size(window uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byIndex[window]
	if w == nil {
		return 0
	}
	var n uint64
	for _, count := range w.counts {
		n += count
	}
	return n
}
