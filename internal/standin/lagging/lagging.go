// Package lagging keeps the past states of a value, so that a stand-in can report an
// outdated one.
package lagging

import (
	"slices"
	"sort"
	"time"
)

// maxEntries limits the states kept. Above it, the older half is dropped.
const maxEntries = 4096

type entry[T any] struct {
	at    time.Time
	value T
}

// History holds the states of a value, oldest first. It is not safe for concurrent use.
type History[T any] struct{ entries []entry[T] }

// Record adds a state that is current from now on.
func (h *History[T]) Record(now time.Time, value T) {
	h.entries = append(h.entries, entry[T]{now, value})
	if len(h.entries) > maxEntries {
		h.entries = slices.Clone(h.entries[maxEntries/2:])
	}
}

// At returns the state that was current at t, or the oldest one kept. At least one state
// must have been recorded.
func (h *History[T]) At(t time.Time) T {
	after := sort.Search(len(h.entries), func(i int) bool { return h.entries[i].at.After(t) })
	return h.entries[max(0, after-1)].value
}
