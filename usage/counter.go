// Package usage counts, for each organisation, the requests that endpoints began to run, by
// windows of wall clock time, and reports each window once to the platform. Entries count and
// save their counts in the store. The holder of the duty of usage reports adds them up.
package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Counts are numbers of begun requests by the name of the organisation.
type Counts map[string]uint64

// Windows divides Unix time into numbered windows of equal length, beginning with 1970.
type Windows struct{ Length time.Duration }

// Index returns the window that contains a time.
func (w Windows) Index(at time.Time) uint64 { return uint64(at.UnixNano() / int64(w.Length)) }

// End returns the end of a window.
func (w Windows) End(window uint64) time.Time { return time.Unix(0, int64(window+1)*int64(w.Length)) }

// Counter counts the requests of one entry. It is safe for concurrent use.
type Counter struct {
	windows Windows

	mu      sync.Mutex
	byIndex map[uint64]*windowCounts
	changed chan struct{} // has an element while there are changes to write
}

// windowCounts are the counts of one window.
type windowCounts struct {
	counts Counts
	// changed is true if the counts differ from those returned by takeChanged last. taken is
	// true if takeChanged has returned them before, so that they may be in the store.
	changed, taken bool
}

// NewCounter returns a counter with no counts.
func NewCounter(windows Windows) *Counter {
	return &Counter{windows: windows, byIndex: map[uint64]*windowCounts{}, changed: make(chan struct{}, 1)}
}

// Add counts a request that an endpoint began at the given time. The returned function undoes
// that and may be called at most once. Requests without an organisation are not counted.
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
	c.setChanged(w)
	return func() { c.withdraw(w, organisation) }
}

// withdraw removes one request from the counts of a window.
func (c *Counter) withdraw(w *windowCounts, organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.counts[organisation]--
	if w.counts[organisation] == 0 {
		delete(w.counts, organisation)
	}
	c.setChanged(w)
}

// setChanged marks a window as changed, so that it is written. The caller holds c.mu.
func (c *Counter) setChanged(w *windowCounts) {
	w.changed = true
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// takeChanged returns the counts that must be written, by window, and marks them as unchanged. A
// window whose requests were all withdrawn before it was ever returned needs no write.
func (c *Counter) takeChanged() map[uint64]Counts {
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

// markChanged marks windows as changed after their write failed.
func (c *Counter) markChanged(windows []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, window := range windows {
		if w := c.byIndex[window]; w != nil {
			c.setChanged(w)
		}
	}
}

// dropBefore drops the counts of all windows before the given one and returns these windows.
func (c *Counter) dropBefore(before uint64) (dropped []uint64) {
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

// total returns the number of requests counted in a window.
func (c *Counter) total(window uint64) uint64 {
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
