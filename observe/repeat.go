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
	// repeatWindow is the time in which repeats are counted.
	repeatWindow = time.Second
	// maxTracked bounds the lines that the filter remembers.
	maxTracked = 4096
)

// repeatFilter is a formatter that drops repeats of a line beyond a number a
// second. The next line like it that is written says how many were dropped. A
// logrus hook cannot drop a line; a formatter that returns nothing does.
type repeatFilter struct {
	next  logrus.Formatter
	limit int

	mu    sync.Mutex
	lines map[uint64]*repeats
}

// repeats counts one line within its window.
type repeats struct {
	began   time.Time
	written int
	dropped int
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

// admit says whether a line is written and how many like it were dropped before.
func (f *repeatFilter) admit(key uint64, now time.Time) (write bool, dropped int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.lines[key]
	if !ok {
		f.makeRoom(now)
		f.lines[key] = &repeats{began: now, written: 1}
		return true, 0
	}
	if now.Sub(r.began) >= repeatWindow {
		dropped = r.dropped
		*r = repeats{began: now, written: 1}
		return true, dropped
	}
	if r.written < f.limit {
		r.written++
		return true, 0
	}
	r.dropped++
	return false, 0
}

// makeRoom forgets lines whose window is over, and all of them if that is not enough.
func (f *repeatFilter) makeRoom(now time.Time) {
	if len(f.lines) < maxTracked {
		return
	}
	maps.DeleteFunc(f.lines, func(_ uint64, r *repeats) bool {
		return now.Sub(r.began) >= repeatWindow
	})
	if len(f.lines) >= maxTracked {
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
