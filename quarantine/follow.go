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
	// newsBudget is what hearing of the table may cost, in bytes a second, and
	// newsAge how late its news may be while there is much of it: the caller's second
	// attempt comes a fifth of a second after the first.
	newsBudget = 1000
	newsAge    = time.Second
	// newsSavings keeps the budget of quiet times: the ends of one crash come together.
	newsSavings = 10 * time.Second
	// quietWait is how long a call for news may wait: a feed that has gone silent is
	// noticed within the time in which all processes are to know of an end.
	quietWait = 2 * time.Second
	// expiryInterval is how often a process looks for what is to be forgotten. Each
	// waits up to that long again, so that few remove the same rows.
	expiryInterval = time.Minute
)

// Run follows what other processes have seen and tells them what this one sees,
// until ctx ends.
func (k *Tracker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	pace := store.Pace{BytesPerSecond: newsBudget, MaxAge: newsAge, Savings: newsSavings}
	wg.Go(func() { store.Follow(ctx, k.Rows, store.Source{Table: Table, Pace: pace, Wait: quietWait}, k) })
	wg.Go(func() { k.write(ctx) })
	wg.Go(func() { k.expire(ctx) })
	wg.Wait()
}

// Synced is closed once what others have seen has been read.
func (k *Tracker) Synced() <-chan struct{} { return k.listed }

// Replace implements store.Watcher.
func (k *Tracker) Replace(s store.Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.listed:
	default:
		close(k.listed)
	}
	k.book = newBook()
	k.apply(s.Rows)
	k.keepUnwritten()
}

// keepUnwritten takes over what was seen here and does not stand in the store yet.
func (k *Tracker) keepUnwritten() {
	for key, m := range k.outbox.rows {
		e, err := decodeName(key.Name)
		if err != nil {
			k.Log.WithError(err).Error("quarantine: own row not readable")
			continue
		}
		if m == nil {
			k.book.undo(e)
			continue
		}
		e.mark = *m
		k.book.note(e)
	}
}

// Apply implements store.Watcher.
func (k *Tracker) Apply(s store.Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(s.Rows)
}

// apply takes rows in. It is called with k.mu held.
func (k *Tracker) apply(rows []store.Row) {
	for _, row := range rows {
		if row.Deleted {
			k.undo(row.Name)
			continue
		}
		e, err := decode(row)
		if err != nil {
			k.Log.WithError(err).Error("quarantine: row not readable")
			continue
		}
		k.book.note(e)
	}
}

// undo takes back what a removed row said. It is called with k.mu held.
func (k *Tracker) undo(name string) {
	e, err := decodeName(name)
	if err != nil {
		k.Log.WithError(err).Error("quarantine: removed row not readable")
		return
	}
	k.book.undo(e)
}

// Lost implements store.Watcher.
func (k *Tracker) Lost(err error) { store.LogLoss(k.Log, Table, err) }

// Regained implements store.Watcher.
func (k *Tracker) Regained(after time.Duration) { store.LogReturn(k.Log, Table, after) }

// expire forgets what is old, until ctx ends.
func (k *Tracker) expire(ctx context.Context) {
	for ctx.Err() == nil {
		_ = pause.Sleep(ctx, expiryInterval+time.Duration(rand.Int64N(int64(expiryInterval)))) // the end of ctx is looked at next
		now, known := k.Clock()
		if !known {
			continue
		}
		k.mu.Lock()
		for _, s := range k.book.forgotten(now) {
			k.drop(s)
		}
		k.mu.Unlock()
	}
}

func compareKeys(a, b store.Key) int { return strings.Compare(a.Name, b.Name) }
