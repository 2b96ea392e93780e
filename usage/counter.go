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

// Of is the window of a moment.
func (w Windows) Of(at time.Time) uint64 { return uint64(at.UnixNano() / int64(w.Length)) }

// End is when a window ends.
func (w Windows) End(window uint64) time.Time { return time.Unix(0, int64(window+1)*int64(w.Length)) }

// Counter counts at one entry. It is safe for concurrent use.
type Counter struct {
	windows Windows

	mu      sync.Mutex
	counts  map[uint64]Counts
	dirty   map[uint64]bool
	changed chan struct{} // holds a token while something is dirty
}

// NewCounter returns a counter without counts.
func NewCounter(windows Windows) *Counter {
	return &Counter{windows: windows, counts: map[uint64]Counts{}, dirty: map[uint64]bool{}, changed: make(chan struct{}, 1)}
}

// Began counts a request that an endpoint began at a moment. Requests of no
// organisation are not counted.
func (c *Counter) Began(organisation string, at time.Time) {
	if organisation == "" {
		return
	}
	window := c.windows.Of(at)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[window] == nil {
		c.counts[window] = Counts{}
	}
	c.counts[window][organisation]++
	c.mark(window)
}

// mark has a window written. It is called with c.mu held.
func (c *Counter) mark(window uint64) {
	c.dirty[window] = true
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// take returns what is to be written, and forgets that it is.
func (c *Counter) take() map[uint64]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := make(map[uint64]Counts, len(c.dirty))
	for window := range c.dirty {
		taken[window] = maps.Clone(c.counts[window])
	}
	clear(c.dirty)
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
		if c.counts[window] != nil {
			c.mark(window)
		}
	}
}

// forget drops the counts of windows before one.
func (c *Counter) forget(before uint64) (dropped []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for window := range c.counts {
		if window < before {
			dropped = append(dropped, window)
			delete(c.counts, window)
			delete(c.dirty, window)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// size is how many requests of a window are counted.
func (c *Counter) size(window uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n uint64
	for _, count := range c.counts[window] {
		n += count
	}
	return n
}
