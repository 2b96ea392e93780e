package batch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

const (
	// uploadTimeout is how long an upload may take. Clients stop retrying a submission long
	// before that.
	uploadTimeout = 2 * time.Minute
	// lateWriteTime is longer than the store takes to apply a write without a response.
	lateWriteTime = 30 * time.Second
)

// removeAbandonedUploads removes the objects of uploads whose jobs were never accepted. An upload
// is first marked as abandoned, so that no attempt that is still running can accept its job. Its
// objects are removed lateWriteTime later, when no write of such an attempt is pending.
func (l *Ledger) removeAbandonedUploads(ctx context.Context) error {
	s, err := store.ListAll(ctx, l.Store, store.Range{Table: tableUploads})
	if err != nil {
		return err
	}
	var errs []error
	for _, row := range s.Rows {
		errs = append(errs, l.advanceRemoval(ctx, row, s.Now))
	}
	return errors.Join(errs...)
}

// advanceRemoval takes the next step in the removal of an upload, if it is due.
func (l *Ledger) advanceRemoval(ctx context.Context, row store.Row, now time.Duration) error {
	u, err := decodeUpload(row)
	if err != nil {
		return err
	}
	switch {
	case u.Abandoned == 0 && now-u.Began > uploadTimeout:
		return l.abandonUpload(ctx, row, u, now)
	case u.Abandoned > 0 && now-u.Abandoned > lateWriteTime:
		if err := l.removeUpload(ctx, uploadPrefix(u.ID)); err != nil {
			return fmt.Errorf("upload of job %s: %w", row.Name, err)
		}
		return l.replaceRow(ctx, row, store.Tx{Delete: []store.Key{row.Key}})
	}
	return nil
}

// abandonUpload marks an upload as abandoned.
func (l *Ledger) abandonUpload(ctx context.Context, row store.Row, u upload, now time.Duration) error {
	u.Abandoned, u.ID = now, row.Version
	value, err := codec.Marshal(u)
	if err != nil {
		return fmt.Errorf("encode an upload: %w", err)
	}
	return l.replaceRow(ctx, row, store.Tx{Put: []store.Row{{Key: row.Key, Value: value}}})
}

// replaceRow commits tx if the row has not changed since it was read. A conflict is no error: the
// job was accepted meanwhile, or another process was first.
func (l *Ledger) replaceRow(ctx context.Context, row store.Row, tx store.Tx) error {
	tx.If = []store.Condition{{Key: row.Key, Version: row.Version}}
	_, err := l.Store.Commit(ctx, tx)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}
