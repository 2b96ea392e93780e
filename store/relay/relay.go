// Package relay provides a store client that fails over to other processes: while a
// process cannot reach the store itself, peers that can reach it make the calls for it.
//
// It is for partial outages in which the store refuses a third of the processes for
// seconds, or does not respond to them, and serves all others. An affected entry could
// neither accept nor complete a job nor return results, and a client that got two
// affected entries in a row lost a whole training step: when 47 of 248 processes were
// refused for 9 s, 2 of 78 steps were lost this way. A peer may make any call, also a
// second time, because all writes are idempotent: their conditions hold only once, or
// they write the same rows again.
//
// An outage of the store for all processes shows in failures of the peers too. Calls
// are then not relayed for a backoff period.
package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mulberryscale.example/store"
)

// Peers selects the processes through which calls may be relayed.
type Peers interface {
	// Candidates returns stores that make calls through peers, in the order in which
	// to try them; there may be none.
	Candidates() []store.Store
}

// Store is a store.Store that relays calls through peers while its direct path fails.
// It is safe for concurrent use.
type Store struct {
	// Direct reaches the store from this process.
	Direct store.Store
	Peers  Peers
	// OnRelayed, if set, is called for each call that succeeded through a peer. OnSwitch,
	// if set, is called when the store switches to relayed calls and back to direct ones.
	OnRelayed func()
	OnSwitch  func(relaying bool)

	path path
}

// Commit implements store.Rows.
func (s *Store) Commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	return call(ctx, s, 0, func(ctx context.Context, via store.Store, _ time.Duration) (store.Snapshot, error) {
		return via.Commit(ctx, tx)
	})
}

// List implements store.Rows.
func (s *Store) List(ctx context.Context, r store.Range) (store.Snapshot, error) {
	return call(ctx, s, 0, func(ctx context.Context, via store.Store, _ time.Duration) (store.Snapshot, error) {
		return via.List(ctx, r)
	})
}

// Feed implements store.Rows.
func (s *Store) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (store.Snapshot, error) {
	return call(ctx, s, wait, func(ctx context.Context, via store.Store, wait time.Duration) (store.Snapshot, error) {
		return via.Feed(ctx, table, after, wait)
	})
}

// PutObject implements store.Objects.
func (s *Store) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := call(ctx, s, 0, func(ctx context.Context, via store.Store, _ time.Duration) (struct{}, error) {
		return struct{}{}, via.PutObject(ctx, name, body)
	})
	return err
}

// GetObject implements store.Objects.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	return call(ctx, s, 0, func(ctx context.Context, via store.Store, _ time.Duration) ([]byte, error) {
		return via.GetObject(ctx, name)
	})
}

// DeleteObject implements store.Objects.
func (s *Store) DeleteObject(ctx context.Context, name string) error {
	_, err := call(ctx, s, 0, func(ctx context.Context, via store.Store, _ time.Duration) (struct{}, error) {
		return struct{}{}, via.DeleteObject(ctx, name)
	})
	return err
}

// ListObjects implements store.Objects.
func (s *Store) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	return call(ctx, s, 0, func(ctx context.Context, via store.Store, _ time.Duration) ([]string, error) {
		return via.ListObjects(ctx, prefix)
	})
}

// result is the result of a call on one path.
type result[T any] struct {
	value  T
	err    error
	direct bool
}

// storeResponded reports whether err is an outcome that the store itself returned.
func storeResponded(err error) bool {
	for _, outcome := range []error{store.ErrConflict, store.ErrHistoryGone, store.ErrNotFound, store.ErrInvalid} {
		if errors.Is(err, outcome) {
			return true
		}
	}
	return err == nil
}

// operation makes a call through via, a path to the store. The store may hold it for wait.
type operation[T any] func(ctx context.Context, via store.Store, wait time.Duration) (T, error)

// call makes a call on the direct path, or through peers while that path counts as lost,
// and on the other path too if the first fails or does not respond (a hedged call). The
// store may hold the call for wait; the hedge is not held, since wait has passed by then.
func call[T any](ctx context.Context, s *Store, wait time.Duration, do operation[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	tried := map[bool]bool{} // by whether the path is direct
	start := func(direct bool, wait time.Duration) {
		tried[direct] = true
		go func() {
			r := result[T]{direct: direct}
			if direct {
				r.value, r.err = do(ctx, s.Direct, wait)
			} else {
				r.value, r.err = relayCall(ctx, s, wait, do)
			}
			results <- r
		}()
	}
	startedAt := time.Now()
	directFirst := !s.path.directLost(startedAt)
	start(directFirst, wait)
	hedge := time.NewTimer(wait + hedgeDelay)
	defer hedge.Stop()
	var errs []error
	for {
		select {
		case <-hedge.C:
			if !tried[!directFirst] && s.path.mayRelay(time.Now()) {
				start(!directFirst, 0)
			}
			continue
		case r := <-results:
			if storeResponded(r.err) {
				s.recordSuccess(r.direct, ctx.Err() == nil)
				return r.value, r.err
			}
			errs = append(errs, r.err)
		}
		if len(errs) < len(tried) {
			continue
		}
		if tried[!directFirst] || ctx.Err() != nil || !s.tryOtherPath(directFirst, time.Since(startedAt) < wait+hedgeDelay) {
			var none T
			return none, combineErrors(errs)
		}
		start(!directFirst, wait)
	}
}

// tryOtherPath reports whether to try the other path after the first one has failed.
// The direct path is always tried. Peers are tried only after an early failure: after a
// late one the caller has waited long enough.
func (s *Store) tryOtherPath(directFirst, early bool) bool {
	return !directFirst || (early && s.path.mayRelay(time.Now()))
}

// recordSuccess records which path has worked. wanted is false if the caller had already
// cancelled the call.
func (s *Store) recordSuccess(direct, wanted bool) {
	switch {
	case direct:
		if s.path.directSucceeded() {
			s.notifySwitch(false)
		}
	case wanted:
		if s.path.relaySucceeded(time.Now()) {
			s.notifySwitch(true)
		}
		if s.OnRelayed != nil {
			s.OnRelayed()
		}
	}
}

func (s *Store) notifySwitch(relaying bool) {
	if s.OnSwitch != nil {
		s.OnSwitch(relaying)
	}
}

// errNoPeer means that Candidates returned no peer.
var errNoPeer = fmt.Errorf("%w: no other process is known", store.ErrRefused)

// relayCall makes a call through the candidate peers, one after the other. It goes on to
// the next peer only while the result is ErrRefused, so that nothing was done.
func relayCall[T any](ctx context.Context, s *Store, wait time.Duration, do operation[T]) (T, error) {
	var none T
	err := error(errNoPeer)
	for _, peer := range s.Peers.Candidates() {
		var value T
		value, err = withTimeout(ctx, wait, func(ctx context.Context) (T, error) { return do(ctx, peer, wait) })
		if storeResponded(err) {
			return value, err
		}
		if ctx.Err() != nil || !errors.Is(err, store.ErrRefused) {
			break
		}
	}
	if ctx.Err() == nil {
		s.path.relayFailed(time.Now())
	}
	return none, err
}

// withTimeout makes a call with a deadline of relayTimeout after wait.
func withTimeout[T any](ctx context.Context, wait time.Duration, do func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	return do(ctx)
}

// combineErrors returns the error of a call that failed on all paths. It is ErrRefused
// only if all paths refused the call.
func combineErrors(errs []error) error {
	for _, err := range errs {
		if !errors.Is(err, store.ErrRefused) {
			return err
		}
	}
	if len(errs) > 1 {
		return fmt.Errorf("%w; the other way: %w", errs[0], errs[1])
	}
	return errs[0]
}
