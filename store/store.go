// Package store is the seam to the service in which everything that must last
// is kept: versioned rows with conditional transactions, a feed of changes and
// immutable objects. It holds no client; package platform/metastore has the one
// for the users' platform and internal/standin/metastore the one for tests.
package store

import (
	"context"
	"errors"
	"time"
)

// Outcomes of a call that was not carried out as asked.
var (
	// ErrConflict says that a condition did not hold and nothing was written.
	ErrConflict = errors.New("store: condition failed")
	// ErrRefused says that the store turned the call away and nothing was done.
	ErrRefused = errors.New("store: refused, nothing done")
	// ErrUnknown says that a write got no answer: it may have been done, or may
	// still be done later if its conditions hold then.
	ErrUnknown = errors.New("store: no answer, outcome unknown")
	// ErrHistoryGone says that the feed no longer reaches back to the version asked for.
	ErrHistoryGone = errors.New("store: history gone")
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.New("store: not found")
	// ErrInvalid says that the store rejects the call as it stands; repeating it is useless.
	ErrInvalid = errors.New("store: invalid call")
)

// Key names a row. Each of the three texts has at most 200 bytes.
type Key struct {
	Table string
	// Part is the unit of ordering and of the write rate within a table; it may be empty.
	Part string
	Name string
}

// Row is one row. Version grows over all rows of the store, and all rows of one
// transaction share it.
type Row struct {
	Key
	Value   []byte
	Version uint64
	// Deleted marks a row in a feed that was removed.
	Deleted bool
}

// Snapshot is the answer to a read: rows as of one moment.
type Snapshot struct {
	Rows []Row
	// Version is the newest version at that moment.
	Version uint64
	// Now is the store's steady clock at that moment.
	Now time.Duration
	// More says that the range holds more rows than were returned.
	More bool
	// Asked is when the call began, by this process's clocks. Follow sets it.
	Asked time.Time
}

// Condition wants a row to have a version; 0 wants it to be absent.
type Condition struct {
	Key
	Version uint64
}

// Tx is an atomic write: all of it or nothing. All keys share one part.
type Tx struct {
	If     []Condition
	Put    []Row // Version and Deleted are not used
	Delete []Key
}

// Range selects rows of a part by name; empty bounds are open, To is excluded.
type Range struct {
	Table, Part string
	From, To    string
}

// Rows are the versioned rows.
type Rows interface {
	// Commit applies tx and returns its version. An error is, or wraps, one of
	// ErrConflict, ErrRefused, ErrUnknown and ErrInvalid.
	Commit(ctx context.Context, tx Tx) (Snapshot, error)
	// List reads rows in ascending order of their names.
	List(ctx context.Context, r Range) (Snapshot, error)
	// Feed waits up to wait for rows of a table that changed after a version,
	// and returns them in order of their versions. Continue from Snapshot.Version.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Snapshot, error)
}

// Objects are immutable objects.
type Objects interface {
	// PutObject stores an object unless one of that name exists (ErrConflict).
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject reads a whole object, or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DeleteObject removes an object; removing an absent one is no error.
	DeleteObject(ctx context.Context, name string) error
}

// Store is all of it.
type Store interface {
	Rows
	Objects
}

// ListAll reads a whole range, page by page. The rows of its pages may be of
// different moments: Version is that of the first page, so that a feed that
// continues from it misses nothing.
func ListAll(ctx context.Context, rows Rows, r Range) (Snapshot, error) {
	all, err := rows.List(ctx, r)
	if err != nil {
		return Snapshot{}, err
	}
	for more := all.More; more; {
		r.From = all.Rows[len(all.Rows)-1].Name + "\x00"
		page, err := rows.List(ctx, r)
		if err != nil {
			return Snapshot{}, err
		}
		all.Rows = append(all.Rows, page.Rows...)
		all.Now = page.Now
		more = page.More && len(page.Rows) > 0
	}
	all.More = false
	return all, nil
}
