// Package relay lets a process that has lost its path to the store go on
// through other processes that still have one.
//
// The pattern: the store turns a third of the processes away for seconds, or is
// silent to them, and serves all others. An entry among them could accept no job,
// end none and show no result; a client that met two such entries in a row lost a
// whole training step. On a day on which 47 of 248 processes were turned away for
// 9 s, two of 78 steps were lost so. What a process can't bring to the store itself
// is as good in another's hands: every write of ours has conditions that hold
// once, or writes the same rows again, so it may be made twice.
//
// A store that is away for all is told apart by the others' answers: then nobody
// is asked for a while.
package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mulberryscale.example/store"
)

// Peers are the processes that may be asked.
type Peers interface {
	// Candidates returns the store as some other processes reach it, in the order in
	// which to ask them; there may be none.
	Candidates() []store.Store
}

// Store is a store.Store that relays calls when its own path fails. It is safe for concurrent use.
type Store struct {
	// Direct is the process's own path.
	Direct store.Store
	Peers  Peers
	// OnRelayed, if set, is told of each call that got through by another process, and
	// Changed when such calls begin and end.
	OnRelayed func()
	OnSwitch  func(detouring bool)

	path path
}

// Commit implements store.Rows.
func (s *Store) Commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	return call(ctx, s, 0, func(ctx context.Context, by store.Store, _ time.Duration) (store.Snapshot, error) {
		return by.Commit(ctx, tx)
	})
}

// List implements store.Rows.
func (s *Store) List(ctx context.Context, r store.Range) (store.Snapshot, error) {
	return call(ctx, s, 0, func(ctx context.Context, by store.Store, _ time.Duration) (store.Snapshot, error) {
		return by.List(ctx, r)
	})
}

// Feed implements store.Rows.
func (s *Store) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (store.Snapshot, error) {
	return call(ctx, s, wait, func(ctx context.Context, by store.Store, wait time.Duration) (store.Snapshot, error) {
		return by.Feed(ctx, table, after, wait)
	})
}

// PutObject implements store.Objects.
func (s *Store) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := call(ctx, s, 0, func(ctx context.Context, by store.Store, _ time.Duration) (struct{}, error) {
		return struct{}{}, by.PutObject(ctx, name, body)
	})
	return err
}

// GetObject implements store.Objects.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	return call(ctx, s, 0, func(ctx context.Context, by store.Store, _ time.Duration) ([]byte, error) {
		return by.GetObject(ctx, name)
	})
}

// DeleteObject implements store.Objects.
func (s *Store) DeleteObject(ctx context.Context, name string) error {
	_, err := call(ctx, s, 0, func(ctx context.Context, by store.Store, _ time.Duration) (struct{}, error) {
		return struct{}{}, by.DeleteObject(ctx, name)
	})
	return err
}

// result is what came of a call by one way.
type result[T any] struct {
	value T
	err   error
	own   bool
}

// answered reports whether the store itself has answered.
func answered(err error) bool {
	for _, outcome := range []error{store.ErrConflict, store.ErrHistoryGone, store.ErrNotFound, store.ErrInvalid} {
		if errors.Is(err, outcome) {
			return true
		}
	}
	return err == nil
}

// ask makes a call by a way to the store, which may hold it for a time.
type ask[T any] func(ctx context.Context, by store.Store, wait time.Duration) (T, error)

// call makes a call by the way that is believed to work, and by the other one
// too once that fails or is silent. The store may hold the call for wait; one that
// another process makes because the own path has been silent is not held again.
func call[T any](ctx context.Context, s *Store, wait time.Duration, do ask[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	tried := map[bool]bool{} // by whether it is the own way
	begin := func(own bool, wait time.Duration) {
		tried[own] = true
		go func() {
			r := result[T]{own: own}
			if own {
				r.value, r.err = do(ctx, s.Direct, wait)
			} else {
				r.value, r.err = through(ctx, s, wait, do)
			}
			results <- r
		}()
	}
	began := time.Now()
	ownFirst := !s.path.lost(began)
	begin(ownFirst, wait)
	silent := time.NewTimer(wait + silentAfter)
	defer silent.Stop()
	var failed []error
	for {
		select {
		case <-silent.C:
			if !tried[!ownFirst] && s.path.mayAsk(time.Now()) {
				begin(!ownFirst, 0)
			}
			continue
		case r := <-results:
			if answered(r.err) {
				s.note(r.own, ctx.Err() == nil)
				return r.value, r.err
			}
			failed = append(failed, r.err)
		}
		if len(failed) < len(tried) {
			continue
		}
		if tried[!ownFirst] || ctx.Err() != nil || !s.secondWay(ownFirst, time.Since(began) < wait+silentAfter) {
			var none T
			return none, joined(failed)
		}
		begin(!ownFirst, wait)
	}
}

// secondWay reports whether the other way is to be tried once the first has
// failed. The own one always is; others are only after a failure that came early,
// since after a long silence the caller has waited enough.
func (s *Store) secondWay(ownFirst, early bool) bool {
	return !ownFirst || (early && s.path.mayAsk(time.Now()))
}

// note remembers which way has worked; known says that the caller still
// wanted the answer.
func (s *Store) note(own, known bool) {
	switch {
	case own:
		if s.path.ownAnswered() {
			s.changed(false)
		}
	case known:
		if s.path.otherAnswered(time.Now()) {
			s.changed(true)
		}
		if s.OnRelayed != nil {
			s.OnRelayed()
		}
	}
}

func (s *Store) changed(detouring bool) {
	if s.OnSwitch != nil {
		s.OnSwitch(detouring)
	}
}

// errNoOther says that there is nobody to ask.
var errNoOther = fmt.Errorf("%w: no other process is known", store.ErrRefused)

// through makes a call through other processes, one after the other while they
// say that nothing was done.
func through[T any](ctx context.Context, s *Store, wait time.Duration, do ask[T]) (T, error) {
	var none T
	err := error(errNoOther)
	for _, other := range s.Peers.Candidates() {
		var value T
		value, err = bounded(ctx, wait, func(ctx context.Context) (T, error) { return do(ctx, other, wait) })
		if answered(err) {
			return value, err
		}
		if ctx.Err() != nil || !errors.Is(err, store.ErrRefused) {
			break
		}
	}
	if ctx.Err() == nil {
		s.path.othersFailed(time.Now())
	}
	return none, err
}

// bounded makes a call that may be held for wait.
func bounded[T any](ctx context.Context, wait time.Duration, do func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+otherAnswer)
	defer cancel()
	return do(ctx)
}

// joined is the outcome of a call that failed by all ways: nothing was done only
// if each of them says so.
func joined(failed []error) error {
	for _, err := range failed {
		if !errors.Is(err, store.ErrRefused) {
			return err
		}
	}
	if len(failed) > 1 {
		return fmt.Errorf("%w; the other way: %w", failed[0], failed[1])
	}
	return failed[0]
}
