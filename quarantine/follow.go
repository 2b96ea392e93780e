package quarantine

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/store"
)

const (
	// feedBudget limits what following the table may cost, in bytes a second. feedMaxPause limits
	// how late updates may be while there are many of them: a caller's second attempt comes a
	// fifth of a second after its first.
	feedBudget   = 1000
	feedMaxPause = time.Second
	// feedBurst is how long unused budget accumulates: the rows of one crash come in a burst.
	feedBurst = 10 * time.Second
	// feedWait limits one long poll for updates, so that a silent feed is noticed within the time
	// in which all processes should know of a crash.
	feedWait = 2 * time.Second
	// expiryInterval is how often a process looks for expired contents. Each process adds a
	// random delay of up to the same length, so that few of them remove the same rows.
	expiryInterval = time.Minute
)

// Run follows the events of other processes and writes those of this one until ctx is cancelled.
func (t *Tracker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	pace := store.Pace{BytesPerSecond: feedBudget, MaxPause: feedMaxPause, Burst: feedBurst}
	wg.Go(func() { store.Follow(ctx, t.Rows, store.Source{Table: Table, Pace: pace, Wait: feedWait}, t) })
	wg.Go(func() { t.write(ctx) })
	wg.Go(func() { t.expire(ctx) })
	wg.Wait()
}

// Synced is closed once the table has been read for the first time.
func (t *Tracker) Synced() <-chan struct{} { return t.synced }

// Replace implements store.Watcher.
func (t *Tracker) Replace(s store.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.synced:
	default:
		close(t.synced)
	}
	t.histories = newHistories()
	t.apply(s.Rows)
	t.reapplyOutbox()
}

// reapplyOutbox applies this process's changes that are not in the store yet.
func (t *Tracker) reapplyOutbox() {
	for key, v := range t.outbox.rows {
		e, err := decodeName(key.Name)
		if err != nil {
			t.Log.WithError(err).Error("quarantine: own row not readable")
			continue
		}
		if v == nil {
			t.histories.remove(e)
			continue
		}
		e.value = *v
		t.histories.record(e)
	}
}

// Apply implements store.Watcher.
func (t *Tracker) Apply(s store.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(s.Rows)
}

// apply records the events of rows. It is called with t.mu held.
func (t *Tracker) apply(rows []store.Row) {
	for _, row := range rows {
		if row.Deleted {
			t.removeRow(row.Name)
			continue
		}
		e, err := decode(row)
		if err != nil {
			t.Log.WithError(err).Error("quarantine: row not readable")
			continue
		}
		t.histories.record(e)
	}
}

// removeRow removes the event of a deleted row. It is called with t.mu held.
func (t *Tracker) removeRow(name string) {
	e, err := decodeName(name)
	if err != nil {
		t.Log.WithError(err).Error("quarantine: removed row not readable")
		return
	}
	t.histories.remove(e)
}

// Lost implements store.Watcher.
func (t *Tracker) Lost(err error) { store.LogLost(t.Log, Table, err) }

// Regained implements store.Watcher.
func (t *Tracker) Regained(after time.Duration) { store.LogRegained(t.Log, Table, after) }

// expire removes expired contents until ctx is cancelled.
func (t *Tracker) expire(ctx context.Context) {
	for ctx.Err() == nil {
		_ = pause.Sleep(ctx, expiryInterval+time.Duration(rand.Int64N(int64(expiryInterval)))) // cancellation is checked next
		now, known := t.Clock()
		if !known {
			continue
		}
		t.mu.Lock()
		for _, fp := range t.histories.expired(now) {
			t.drop(fp)
		}
		t.mu.Unlock()
	}
}

func compareKeys(a, b store.Key) int { return strings.Compare(a.Name, b.Name) }
