package quarantine

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

const (
	// gatherTime is how long events gather before they are written: what met one end
	// together is written together, and the caller's next attempt comes later.
	gatherTime = 10 * time.Millisecond
	// writePause is the pause after a write that failed.
	writePause = 300 * time.Millisecond
	// maxEntries bounds the entries of a transaction, as the store does.
	maxEntries = 100
)

// outbox are rows that are still to be written, and to be removed (nil), by key. It
// is not safe for concurrent use, but its channel is.
type outbox struct {
	rows    map[store.Key]*mark
	changed chan struct{}
}

func newOutbox() outbox {
	return outbox{rows: map[store.Key]*mark{}, changed: make(chan struct{}, 1)}
}

func (o *outbox) put(key store.Key, m mark) {
	o.rows[key] = &m
	o.wake()
}

func (o *outbox) remove(key store.Key) {
	o.rows[key] = nil
	o.wake()
}

func (o *outbox) wake() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// take takes out what one transaction holds.
func (o *outbox) take() map[store.Key]*mark {
	batch := map[store.Key]*mark{}
	for key, m := range o.rows {
		if len(batch) == maxEntries {
			o.wake()
			break
		}
		batch[key] = m
		delete(o.rows, key)
	}
	return batch
}

// putBack puts back what could not be written, unless there is newer word of it.
func (o *outbox) putBack(batch map[store.Key]*mark) {
	for key, m := range batch {
		if _, newer := o.rows[key]; !newer {
			o.rows[key] = m
		}
	}
	o.wake()
}

// transaction writes a batch; rows are never changed, so it needs no condition and
// may be repeated.
func transaction(batch map[store.Key]*mark) (tx store.Tx, err error) {
	for _, key := range slices.SortedFunc(maps.Keys(batch), compareKeys) {
		if batch[key] == nil {
			tx.Delete = append(tx.Delete, key)
			continue
		}
		value, err := codec.Marshal(batch[key])
		if err != nil {
			return store.Tx{}, fmt.Errorf("row %s of %s: %w", key.Name, Table, err)
		}
		tx.Put = append(tx.Put, store.Row{Key: key, Value: value})
	}
	return tx, nil
}

// write writes what is to be told until ctx ends.
func (k *Tracker) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.outbox.changed:
		}
		_ = pause.Sleep(ctx, gatherTime) // the end of ctx is looked at next
		if err := k.flush(ctx); err != nil && ctx.Err() == nil {
			k.Log.WithError(err).WithField("dependency", "store").Warn("quarantine not written")
			_ = pause.Sleep(ctx, writePause) // the end of ctx is looked at next
		}
	}
}

// flush writes one transaction.
func (k *Tracker) flush(ctx context.Context) error {
	k.mu.Lock()
	batch := k.outbox.take()
	k.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	tx, err := transaction(batch)
	if err != nil {
		return err
	}
	_, err = k.Rows.Commit(ctx, tx)
	if err == nil || errors.Is(err, store.ErrInvalid) {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outbox.putBack(batch)
	return err
}
