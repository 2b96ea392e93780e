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
	// batchDelay is how long events are collected before they are written, so that all contents
	// that were running when an endpoint crashed are written in one transaction. It is shorter
	// than the time until a caller's next attempt.
	batchDelay = 10 * time.Millisecond
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 300 * time.Millisecond
	// maxEntries limits the entries of a transaction, as the store does.
	maxEntries = 100
)

// outbox holds the rows that are still to be written or, if nil, removed, by key. It is not safe
// for concurrent use, except for its channel.
type outbox struct {
	rows    map[store.Key]*rowValue
	changed chan struct{}
}

func newOutbox() outbox {
	return outbox{rows: map[store.Key]*rowValue{}, changed: make(chan struct{}, 1)}
}

func (o *outbox) put(key store.Key, v rowValue) {
	o.rows[key] = &v
	o.notify()
}

func (o *outbox) remove(key store.Key) {
	o.rows[key] = nil
	o.notify()
}

func (o *outbox) notify() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// take removes and returns the rows of one transaction.
func (o *outbox) take() map[store.Key]*rowValue {
	batch := map[store.Key]*rowValue{}
	for key, v := range o.rows {
		if len(batch) == maxEntries {
			o.notify()
			break
		}
		batch[key] = v
		delete(o.rows, key)
	}
	return batch
}

// putBack returns a batch that could not be written, except for keys that have changed since.
func (o *outbox) putBack(batch map[store.Key]*rowValue) {
	for key, v := range batch {
		if _, newer := o.rows[key]; !newer {
			o.rows[key] = v
		}
	}
	o.notify()
}

// transaction builds the write of a batch; rows never change, so it needs no condition and may be
// repeated.
func transaction(batch map[store.Key]*rowValue) (tx store.Tx, err error) {
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

// write writes the outbox until ctx is cancelled.
func (t *Tracker) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.outbox.changed:
		}
		_ = pause.Sleep(ctx, batchDelay) // cancellation is checked next
		if err := t.flush(ctx); err != nil && ctx.Err() == nil {
			t.Log.WithError(err).WithField("dependency", "store").Warn("quarantine rows not written")
			_ = pause.Sleep(ctx, writeRetryDelay) // cancellation is checked next
		}
	}
}

// flush writes one transaction. It puts the batch back if the write failed, unless the store has
// rejected it as invalid.
func (t *Tracker) flush(ctx context.Context) error {
	t.mu.Lock()
	batch := t.outbox.take()
	t.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	tx, err := transaction(batch)
	if err != nil {
		return err
	}
	_, err = t.Rows.Commit(ctx, tx)
	if err == nil || errors.Is(err, store.ErrInvalid) {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outbox.putBack(batch)
	return err
}
