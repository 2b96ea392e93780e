package observe

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

const (
	// repeatWindow is the window in which identical lines are counted.
	repeatWindow = time.Second
	// maxTrackedLines bounds the lines that the filter tracks.
	maxTrackedLines = 4096
)

// repeatFilter is a formatter that drops identical lines beyond limit per
// repeatWindow; the next one written carries the number dropped in FieldSuppressed.
// It is a formatter because a logrus hook cannot drop a line, while a formatter
// that returns nothing can.
type repeatFilter struct {
	next  logrus.Formatter
	limit int

	mu    sync.Mutex
	lines map[uint64]*repeats
}

// repeats counts the occurrences of one line within its window.
type repeats struct {
	windowStart time.Time
	written     int
	dropped     int
}

func newRepeatFilter(next logrus.Formatter, limit int) *repeatFilter {
	return &repeatFilter{next: next, limit: limit, lines: make(map[uint64]*repeats)}
}

// Format implements logrus.Formatter; it returns nothing for a dropped line.
func (f *repeatFilter) Format(entry *logrus.Entry) ([]byte, error) {
	write, dropped := f.admit(lineKey(entry), entry.Time)
	if !write {
		return nil, nil
	}
	if dropped == 0 {
		return f.next.Format(entry)
	}
	counted := *entry
	counted.Data = maps.Clone(entry.Data)
	counted.Data[FieldSuppressed] = dropped
	return f.next.Format(&counted)
}

// admit reports whether to write a line, and how many identical lines were
// dropped before it.
func (f *repeatFilter) admit(key uint64, now time.Time) (write bool, dropped int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.lines[key]
	if !ok {
		f.evict(now)
		f.lines[key] = &repeats{windowStart: now, written: 1}
		return true, 0
	}
	if now.Sub(r.windowStart) >= repeatWindow {
		dropped = r.dropped
		*r = repeats{windowStart: now, written: 1}
		return true, dropped
	}
	if r.written < f.limit {
		r.written++
		return true, 0
	}
	r.dropped++
	return false, 0
}

// evict removes lines whose window has passed, or all lines if the filter is still full.
func (f *repeatFilter) evict(now time.Time) {
	if len(f.lines) < maxTrackedLines {
		return
	}
	maps.DeleteFunc(f.lines, func(_ uint64, r *repeats) bool {
		return now.Sub(r.windowStart) >= repeatWindow
	})
	if len(f.lines) >= maxTrackedLines {
		clear(f.lines)
	}
}

// lineKey is a hash of the line's level, message and fields.
func lineKey(entry *logrus.Entry) uint64 {
	digest := xxhash.New()
	write := func(text string) {
		_, _ = fmt.Fprintf(digest, "%d:%s", len(text), text) // a hash never fails
	}
	write(entry.Level.String())
	write(entry.Message)
	for _, name := range slices.Sorted(maps.Keys(entry.Data)) {
		write(name)
		write(fmt.Sprint(entry.Data[name]))
	}
	return digest.Sum64()
}
