// Package rowstore is an in-memory stand-in for the platform's store of durable rows and
// objects, for tests. Its writes can have each outcome that those of the real store have:
// done, refused, done with the reply lost, request lost, and done late.
package rowstore

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"mulberryscale.example/store"
)

// Outcome is the outcome of a write.
type Outcome int

// Outcomes of a write.
const (
	// Done means that the write is applied if its conditions hold, and answered.
	Done Outcome = iota
	// Refused means that nothing is written and the caller gets store.ErrRefused.
	Refused
	// ReplyLost means that the write is done but the caller gets store.ErrUnknown.
	ReplyLost
	// RequestLost means that nothing is written and the caller gets store.ErrUnknown.
	RequestLost
	// Late means that the caller gets store.ErrUnknown at once and the write is done after LateBy,
	// if its conditions hold then.
	Late
)

// LateBy is the delay of a Late write.
const LateBy = 3 * time.Second

// Store implements store.Rows and store.Objects in memory. It is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	start       time.Time
	rows        map[store.Key]store.Row
	history     []store.Row
	version     uint64
	oldest      uint64 // version from which on history is kept
	objects     map[string][]byte
	outcomes    []Outcome // outcomes of the next writes
	muted       bool
	blocked     bool
	delay       time.Duration
	objectDelay time.Duration
	maxFeedRows int // limit of the rows in a feed's answer; 0 means no limit
	commits     int
	changed     chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		start: time.Now(), rows: map[store.Key]store.Row{}, objects: map[string][]byte{}, changed: make(chan struct{}),
	}
}

// QueueOutcomes adds the outcomes of the next writes to a queue. Writes that find the queue
// empty are Done.
func (s *Store) QueueOutcomes(outcomes ...Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, outcomes...)
}

// Slow makes each commit, list and feed wait for d before it is processed.
func (s *Store) Slow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SlowObjects makes each write of an object wait for d, in addition to the delay of Slow.
func (s *Store) SlowObjects(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objectDelay = d
}

// DropHistory drops the history up to now. Feeds that ask for an older version get
// store.ErrHistoryGone and must list the rows again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.history = s.version, nil
	s.wakeFeeds()
}

// MuteFeeds makes feeds report no changes while it is on: they time out with no rows.
func (s *Store) MuteFeeds(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = on
	s.wakeFeeds()
}

// BlockFeeds makes feeds hang while it is on; lists are still answered.
func (s *Store) BlockFeeds(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked = on
	s.wakeFeeds()
}

// LimitFeed truncates each answer of a feed after n rows, as the real store does at a size
// limit of its own. The next call returns the rest.
func (s *Store) LimitFeed(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxFeedRows = n
}

// Rows returns the rows of a table, ordered by part and name.
func (s *Store) Rows(table string) []store.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []store.Row
	for key, row := range s.rows {
		if key.Table == table {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b store.Row) int { return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Name, b.Name)) })
	return list
}

// All returns the rows of all tables.
func (s *Store) All() []store.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.rows))
}

// Commits returns the number of transactions applied.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Now returns the time of the store's clock, which starts at 0 with New. It is always known.
func (s *Store) Now() (time.Duration, bool) { return time.Since(s.start), true }

// wakeFeeds makes all waiting feeds check for changes. The caller holds s.mu.
func (s *Store) wakeFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait delays a read as Slow says. If ctx is already done, the call counts as not sent.
func (s *Store) wait(ctx context.Context) error {
	if ctx.Err() != nil {
		return notSent(ctx)
	}
	s.mu.Lock()
	d := s.delay
	s.mu.Unlock()
	if d == 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %v", store.ErrUnknown, context.Cause(ctx))
	}
}

// notSent returns the error of a call whose context was done before it.
func notSent(ctx context.Context) error {
	return fmt.Errorf("%w: not sent: %v", store.ErrRefused, context.Cause(ctx))
}

// Commit implements store.Rows.
func (s *Store) Commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	if err := checkSize(tx); err != nil {
		return store.Snapshot{}, err
	}
	return s.write(ctx, 0, func() (store.Snapshot, error) { return s.apply(tx) })
}

// apply applies a transaction, or returns store.ErrConflict if one of its conditions does not
// hold. The caller holds s.mu.
func (s *Store) apply(tx store.Tx) (store.Snapshot, error) {
	for _, c := range tx.If {
		if s.rows[c.Key].Version != c.Version {
			return s.snapshot(nil), store.ErrConflict
		}
	}
	s.version++
	s.commits++
	for _, p := range tx.Put {
		row := store.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: s.version}
		s.rows[p.Key] = row
		s.history = append(s.history, row)
	}
	for _, key := range tx.Delete {
		delete(s.rows, key)
		s.history = append(s.history, store.Row{Key: key, Version: s.version, Deleted: true})
	}
	s.wakeFeeds()
	return s.snapshot(nil), nil
}

// Put writes rows as the platform itself does: without conditions and regardless of the
// queued outcomes.
func (s *Store) Put(rows ...store.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.apply(store.Tx{Put: rows}) // no condition can fail
}

// Remove deletes rows as the platform itself does: without conditions and regardless of the
// queued outcomes.
func (s *Store) Remove(keys ...store.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.apply(store.Tx{Delete: keys}) // no condition can fail
}

func (s *Store) snapshot(rows []store.Row) store.Snapshot {
	return store.Snapshot{Rows: rows, Version: s.version, Now: time.Since(s.start)}
}

// List implements store.Rows.
func (s *Store) List(ctx context.Context, r store.Range) (store.Snapshot, error) {
	if err := s.wait(ctx); err != nil {
		return store.Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []store.Row
	for _, key := range slices.SortedFunc(maps.Keys(s.rows), func(a, b store.Key) int { return cmp.Compare(a.Name, b.Name) }) {
		if key.Table != r.Table || key.Part != r.Part || key.Name < r.From || (r.To != "" && key.Name >= r.To) {
			continue
		}
		rows = append(rows, s.rows[key])
	}
	return s.snapshot(rows), nil
}

// Feed implements store.Rows.
func (s *Store) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (store.Snapshot, error) {
	if err := s.wait(ctx); err != nil {
		return store.Snapshot{}, err
	}
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		if s.blocked {
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return store.Snapshot{}, context.Cause(ctx)
			}
		}
		if after < s.oldest {
			s.mu.Unlock()
			return store.Snapshot{}, store.ErrHistoryGone
		}
		snap, changed := s.snapshot(s.since(table, after)), s.changed
		if n := s.maxFeedRows; n > 0 && len(snap.Rows) > n {
			snap.Rows, snap.Version = snap.Rows[:n], snap.Rows[n-1].Version
		}
		if s.muted {
			snap = store.Snapshot{Version: after, Now: snap.Now}
		}
		s.mu.Unlock()
		if len(snap.Rows) > 0 {
			return snap, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return snap, nil
		case <-ctx.Done():
			return store.Snapshot{}, context.Cause(ctx)
		}
	}
}

// since returns the changes of a table after a version. The caller holds s.mu.
func (s *Store) since(table string, after uint64) []store.Row {
	var rows []store.Row
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows
}
