// Package store defines the interface to the service that holds all durable
// state: versioned rows with conditional transactions, a change feed and
// immutable objects. It contains no client: package platform/metastore has the one
// for the users' platform, and internal/standin/metastore has the one for tests.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of calls to the store.
var (
	// ErrConflict means that a condition did not hold and nothing was written.
	ErrConflict = errors.New("store: condition failed")
	// ErrRefused means that the store rejected the call without executing it.
	ErrRefused = errors.New("store: refused, nothing done")
	// ErrUnknown means that a write got no response: it may have been applied, or may
	// still be applied later if its conditions hold then.
	ErrUnknown = errors.New("store: no answer, outcome unknown")
	// ErrHistoryGone means that the feed no longer goes back to the requested version.
	ErrHistoryGone = errors.New("store: history gone")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrInvalid means that the call itself is invalid; a retry cannot succeed.
	ErrInvalid = errors.New("store: invalid call")
)

// Key identifies a row. Each of its three fields has at most 200 bytes.
type Key struct {
	Table string
	// Part is the partition: the unit of ordering and of the write rate limit within a
	// table. It may be empty.
	Part string
	Name string
}

// Row is one versioned row. Versions increase across all rows of the store, and all
// rows that one transaction writes have the same version.
type Row struct {
	Key
	Value   []byte
	Version uint64
	// Deleted marks a row of a feed as deleted.
	Deleted bool
}

// Snapshot is the response to a read: rows as of one point in time.
type Snapshot struct {
	Rows []Row
	// Version is the newest version of the store at that time.
	Version uint64
	// Now is the store's monotonic clock at that time.
	Now time.Duration
	// More is set if the range holds more rows than were returned.
	More bool
	// Asked is when the call started, by this process's clock. Follow sets it.
	Asked time.Time
}

// Condition requires a row to have a version; version 0 requires it to be absent.
type Condition struct {
	Key
	Version uint64
}

// Tx is an atomic transaction. All of its keys are of one part.
type Tx struct {
	If     []Condition
	Put    []Row // Version and Deleted are not used
	Delete []Key
}

// Range selects rows of a part by name, from From up to but not including To. An empty
// bound is open.
type Range struct {
	Table, Part string
	From, To    string
}

// Rows reads and writes versioned rows.
type Rows interface {
	// Commit applies tx and returns its version. Its error is or wraps one of
	// ErrConflict, ErrRefused, ErrUnknown and ErrInvalid.
	Commit(ctx context.Context, tx Tx) (Snapshot, error)
	// List reads a page of rows, in ascending order of their names.
	List(ctx context.Context, r Range) (Snapshot, error)
	// Feed is a long poll: it waits up to wait for rows of a table that changed after a
	// version and returns them in order of their versions. The next call continues from
	// Snapshot.Version.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Snapshot, error)
}

// Objects reads and writes immutable objects.
type Objects interface {
	// PutObject stores an object. It returns ErrConflict if the name is taken.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject reads a whole object. It returns ErrNotFound if there is none.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DeleteObject removes an object. It is no error if the object does not exist.
	DeleteObject(ctx context.Context, name string) error
	// ListObjects returns the names of all objects that begin with a prefix, in ascending order.
	ListObjects(ctx context.Context, prefix string) ([]string, error)
}

// Store combines rows and objects.
type Store interface {
	Rows
	Objects
}

// ListAll reads a whole range, page by page. Its pages may be of different points in
// time: Version is that of the first page, so that a feed which continues from it
// misses no change.
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
