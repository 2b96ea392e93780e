// Package rowstore is an in-memory stand-in of the store in which everything
// that must last is kept, with the outcomes that the real one has: done,
// refused, done without an answer, not done without an answer, done late. It is
// for tests.
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

// Outcome is what becomes of a write.
type Outcome int

// Outcomes.
const (
	Done Outcome = iota
	// Refused writes nothing and says so.
	Refused
	// ReplyLost writes and gives no answer.
	ReplyLost
	// RequestLost writes nothing and gives no answer.
	RequestLost
	// Late gives no answer and writes after LateBy if its conditions hold then.
	Late
)

// LateBy is how much later a Late write is done.
const LateBy = 3 * time.Second

// Store is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	began    time.Time
	rows     map[store.Key]store.Row
	history  []store.Row
	version  uint64
	oldest   uint64 // the feed reaches back to here
	objects  map[string][]byte
	outcomes []Outcome // of the next writes
	silent   bool
	held     bool
	delay    time.Duration
	feedRows int // the most rows of a feed's answer; 0 is no bound
	commits  int
	changed  chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		began: time.Now(), rows: map[store.Key]store.Row{}, objects: map[string][]byte{}, changed: make(chan struct{}),
	}
}

// QueueOutcomes sets the outcomes of the next writes; those after them are Done.
func (s *Store) QueueOutcomes(outcomes ...Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, outcomes...)
}

// Slow delays each answer.
func (s *Store) Slow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// DropHistory drops the history up to now: feeds that ask for more start anew.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.history = s.version, nil
	s.wake()
}

// MuteFeeds lets feeds hear nothing while it is on.
func (s *Store) MuteFeeds(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	s.wake()
}

// BlockFeeds gives feeds no answer while it is on; lists are answered.
func (s *Store) BlockFeeds(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = on
	s.wake()
}

// LimitFeed cuts the answers of feeds off after n rows, as the real store does at
// a size of its own. The rest comes with the next call.
func (s *Store) LimitFeed(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feedRows = n
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

// Commits is the number of transactions done.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Now is the store's clock.
func (s *Store) Now() (time.Duration, bool) { return time.Since(s.began), true }

// wake wakes the feeds. It is called with s.mu held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait delays a call. A call whose context has ended before it was sent is
// refused, as a client would say.
func (s *Store) wait(ctx context.Context) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: not sent: %v", store.ErrRefused, context.Cause(ctx))
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

// Commit implements store.Rows.
func (s *Store) Commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	if err := s.wait(ctx); err != nil {
		return store.Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := Done
	if len(s.outcomes) > 0 {
		outcome, s.outcomes = s.outcomes[0], s.outcomes[1:]
	}
	switch outcome {
	case Refused:
		return store.Snapshot{}, store.ErrRefused
	case RequestLost:
		return store.Snapshot{}, store.ErrUnknown
	case Late:
		time.AfterFunc(LateBy, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.apply(tx) // nobody waits for it
		})
		return store.Snapshot{}, store.ErrUnknown
	case ReplyLost:
		_, _ = s.apply(tx) // its answer is lost
		return store.Snapshot{}, store.ErrUnknown
	}
	return s.apply(tx)
}

// apply is called with s.mu held.
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
	s.wake()
	return s.snapshot(nil), nil
}

// Put writes rows as the platform itself does: without conditions, and
// whatever the outcomes of our writes are.
func (s *Store) Put(rows ...store.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.apply(store.Tx{Put: rows}) // no condition can fail
}

// Remove deletes rows as the platform itself does.
func (s *Store) Remove(keys ...store.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.apply(store.Tx{Delete: keys}) // no condition can fail
}

func (s *Store) snapshot(rows []store.Row) store.Snapshot {
	return store.Snapshot{Rows: rows, Version: s.version, Now: time.Since(s.began)}
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
		if s.held {
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
		if n := s.feedRows; n > 0 && len(snap.Rows) > n {
			snap.Rows, snap.Version = snap.Rows[:n], snap.Rows[n-1].Version
		}
		if s.silent {
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

// since is called with s.mu held.
func (s *Store) since(table string, after uint64) []store.Row {
	var rows []store.Row
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	return rows
}

// PutObject implements store.Objects.
func (s *Store) PutObject(_ context.Context, name string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[name]; ok {
		return store.ErrConflict
	}
	s.objects[name] = slices.Clone(body)
	return nil
}

// GetObject implements store.Objects.
func (s *Store) GetObject(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[name]
	if !ok {
		return nil, store.ErrNotFound
	}
	return body, nil
}

// DeleteObject implements store.Objects.
func (s *Store) DeleteObject(_ context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

// Client is one process's way to the store, which can be cut.
type Client struct {
	*Store
	mu  sync.Mutex
	cut error
}

// Client returns a way to the store.
func (s *Store) Client() *Client { return &Client{Store: s} }

// SetError makes each call fail with err; nil mends it.
func (c *Client) SetError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = err
}

func (c *Client) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// Commit implements store.Rows.
func (c *Client) Commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	if err := c.err(); err != nil {
		return store.Snapshot{}, err
	}
	return c.Store.Commit(ctx, tx)
}

// List implements store.Rows.
func (c *Client) List(ctx context.Context, r store.Range) (store.Snapshot, error) {
	if err := c.err(); err != nil {
		return store.Snapshot{}, err
	}
	return c.Store.List(ctx, r)
}

// Feed implements store.Rows.
func (c *Client) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (store.Snapshot, error) {
	if err := c.err(); err != nil {
		return store.Snapshot{}, err
	}
	s, err := c.Store.Feed(ctx, table, after, wait)
	if cut := c.err(); cut != nil {
		return store.Snapshot{}, cut
	}
	return s, err
}
