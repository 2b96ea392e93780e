package batch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
)

// readerRig is a reader with a connection to the store of its own, which can be cut.
type readerRig struct {
	t      *testing.T
	store  *rowstore.Store
	client *rowstore.Client
	ledger *Ledger
	reader *Reader
	n      int
}

func newReaderRig(t *testing.T, items int) *readerRig {
	s := rowstore.New()
	rig := &readerRig{t: t, store: s, client: s.Client(), ledger: newLedger(s)}
	rig.reader = NewReader(newLedger(rig.client), rig.store.Now, observe.Discard())
	must(t, rig.ledger.Submit(t.Context(), someJob("j", items), someItems(items)))
	go rig.reader.Run(t.Context())
	synctest.Wait()
	return rig
}

func (r *readerRig) append(ids ...string) {
	r.n++
	var results []Result
	for _, id := range ids {
		results = append(results, Result{ID: id, State: StateDone, Output: "text of " + id})
	}
	must(r.t, r.ledger.Append(r.t.Context(), "j", fmt.Sprintf("w-%d", r.n), results))
}

func (r *readerRig) ids(from int, wait time.Duration) []string {
	r.t.Helper()
	page, err := r.reader.Read(r.t.Context(), "j", from, 1<<20, wait)
	if err != nil {
		r.t.Fatal(err)
	}
	var ids []string
	for _, x := range page.Results {
		ids = append(ids, x.ID)
	}
	return ids
}

func (r *readerRig) want(from int, want ...string) {
	r.t.Helper()
	if got := r.ids(from, 0); fmt.Sprint(got) != fmt.Sprint(want) {
		r.t.Fatalf("from %d: got %v, want %v", from, got, want)
	}
}

func TestReadWaitsForTheNextResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 4)
		began := time.Now()
		go func() {
			time.Sleep(300 * time.Millisecond)
			rig.append("a")
		}()
		if got := rig.ids(0, time.Second); len(got) != 1 || time.Since(began) != 300*time.Millisecond+gatherTime {
			t.Fatalf("got %v after %v", got, time.Since(began))
		}
		began = time.Now()
		if got := rig.ids(0, time.Second); len(got) != 1 || time.Since(began) != 0 {
			t.Fatalf("a result that is listed already: got %v after %v", got, time.Since(began))
		}
		if got := rig.ids(1, time.Second); len(got) != 0 || time.Since(began) != time.Second {
			t.Fatalf("got %v after %v", got, time.Since(began))
		}
	})
}

// Results that follow shortly after the first one are returned with it, and the call
// returns as soon as the list is complete.
func TestReadGathersResultsThatComeTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 3)
		began := time.Now()
		go func() {
			for _, id := range []string{"a", "b", "c"} {
				time.Sleep(30 * time.Millisecond)
				rig.append(id)
			}
		}()
		if got := rig.ids(0, time.Second); len(got) != 3 || time.Since(began) != 90*time.Millisecond {
			t.Fatalf("got %v after %v", got, time.Since(began))
		}
	})
}

// TestReadGathersTheLastResults checks that a caller that allows waiting gets the last
// results that arrive within tailGatherTime, and any other what is listed already.
func TestReadGathersTheLastResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 5)
		rig.append("a", "b", "c")
		rig.want(0, "a", "b", "c")
		began := time.Now()
		go func() {
			time.Sleep(300 * time.Millisecond)
			rig.append("d")
			time.Sleep(300 * time.Millisecond)
			rig.append("e")
		}()
		if got := rig.ids(2, time.Second); fmt.Sprint(got) != "[c d]" || time.Since(began) != tailGatherTime {
			t.Errorf("got %v after %s", got, time.Since(began))
		}
		if got := rig.ids(3, 0); fmt.Sprint(got) != "[d]" || time.Since(began) != tailGatherTime {
			t.Errorf("got %v after %s from a call that allows no waiting", got, time.Since(began))
		}
		if got := rig.ids(3, time.Second); fmt.Sprint(got) != "[d e]" || time.Since(began) != 600*time.Millisecond {
			t.Errorf("got %v after %s, want the complete list as soon as it is complete", got, time.Since(began))
		}
	})
}

// A list that was read while the feed was unavailable must not miss results that are
// appended before the feed is available again.
func TestListReadDuringFeedOutageHasNoGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 8)
		rig.append("a")
		rig.want(0, "a")
		rig.store.DropHistory()
		rig.client.SetError(fmt.Errorf("%w: away", store.ErrUnknown))
		time.Sleep(3 * time.Second) // the feed call times out
		rig.client.SetError(nil)
		rig.want(0, "a") // read entirely before the feed is available
		rig.append("b")
		time.Sleep(2 * time.Second) // the feed is available, at a newer version
		rig.append("c")
		time.Sleep(time.Second)
		rig.want(0, "a", "b", "c")
	})
}

func TestListedResultsStayDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 4)
		rig.append("a", "b")
		rig.want(0, "a", "b")
		rig.client.SetError(store.ErrRefused)
		time.Sleep(5 * time.Second)
		rig.want(0, "a", "b")
		rig.want(1, "b")
	})
}

// TestUnresponsiveFeedHidesNoPosition appends a result while the feed does not respond: a
// result that other entries may have shown for a second must be read here as well.
func TestUnresponsiveFeedHidesNoPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 8)
		rig.append("a")
		rig.want(0, "a")
		rig.store.BlockFeeds(true)
		rig.append("b")
		time.Sleep(time.Second)
		rig.want(1, "b")
		rig.store.BlockFeeds(false)
	})
}

func TestDroppedFeedHistoryLosesNoPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 8)
		rig.append("a")
		rig.want(0, "a")
		rig.store.MuteFeeds(true)
		rig.append("b")
		rig.append("c")
		rig.store.DropHistory()
		rig.store.MuteFeeds(false)
		time.Sleep(2 * time.Second)
		rig.append("d")
		time.Sleep(time.Second)
		rig.want(0, "a", "b", "c", "d")
	})
}

// Read returns ErrNoJob only if the store has confirmed that the job does not exist.
func TestErrNoJobOnlyWhenConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 4)
		if _, err := rig.reader.Read(t.Context(), "other", 0, 1, 0); !errors.Is(err, ErrNoJob) {
			t.Fatalf("got %v", err)
		}
		if n := len(rig.reader.jobs); n != 0 {
			t.Errorf("%d jobs cached that do not exist", n)
		}
		rig.client.SetError(store.ErrRefused)
		if _, err := rig.reader.Read(t.Context(), "third", 0, 1, 0); err == nil || errors.Is(err, ErrNoJob) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestBodyOfAnItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 4)
		body, err := rig.reader.Body(t.Context(), "j", "item-002")
		if err != nil || len(body) != 100 {
			t.Fatalf("got %d bytes, %v", len(body), err)
		}
		if _, err := rig.reader.Body(t.Context(), "j", "item-9"); !errors.Is(err, ErrNoItem) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestPageIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 4)
		rig.append("a", "b", "c")
		page, err := rig.reader.Read(t.Context(), "j", 0, 12, 0)
		if err != nil || len(page.Results) != 1 || page.Total != 4 {
			t.Fatalf("got %v, %v", page, err)
		}
	})
}

// TestIdleReadersMakeNoStoreCalls runs twenty idle readers while a caller reads one of
// many jobs at another one: the idle readers make no calls to the store, and the busy one
// gets no rows from the tables of other jobs.
func TestIdleReadersMakeNoStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 200)
		var idle []*countingStore
		for range 20 {
			c := &countingStore{Store: rig.store}
			idle = append(idle, c)
			go NewReader(newLedger(c), rig.store.Now, observe.Discard()).Run(t.Context())
		}
		own := &countingStore{Store: rig.store}
		rig.reader = NewReader(newLedger(own), rig.store.Now, observe.Discard())
		const seconds = 10
		go func() {
			for i := range 10 * seconds {
				rig.append(fmt.Sprint("item-", i))
				must(t, rig.ledger.Append(t.Context(), fmt.Sprint("other-", i), "w", []Result{{ID: "x", State: StateDone, Output: "text"}}))
				time.Sleep(100 * time.Millisecond)
			}
		}()
		from := 0
		for range 2 * seconds {
			from += len(rig.ids(from, 0))
			time.Sleep(500 * time.Millisecond)
		}
		from += len(rig.ids(from, 0))
		for i, c := range idle {
			if c.calls.Load() > 0 {
				t.Errorf("entry %d: %d calls", i, c.calls.Load())
			}
		}
		if from != 10*seconds {
			t.Errorf("%d of %d results read", from, 10*seconds)
		}
		if own.calls.Load() > 3*seconds {
			t.Errorf("%d calls for %d reads", own.calls.Load(), 2*seconds)
		}
		if own.rows.Load() > 13*seconds {
			t.Errorf("%d rows for %d results", own.rows.Load(), 10*seconds)
		}
	})
}

// countingStore counts read calls and the rows that they return.
type countingStore struct {
	store.Store
	calls, rows atomic.Int64
}

func (c *countingStore) List(ctx context.Context, r store.Range) (store.Snapshot, error) {
	s, err := c.Store.List(ctx, r)
	c.calls.Add(1)
	c.rows.Add(int64(len(s.Rows)))
	return s, err
}

func (c *countingStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (store.Snapshot, error) {
	s, err := c.Store.Feed(ctx, table, after, wait)
	c.calls.Add(1)
	c.rows.Add(int64(len(s.Rows)))
	return s, err
}

// TestSlowStoreDelaysNoCachedResult checks that cached results are served at once
// while the store takes a second for each call.
func TestSlowStoreDelaysNoCachedResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 8)
		rig.append("a", "b")
		rig.want(0, "a", "b")
		rig.store.Slow(time.Second)
		began := time.Now()
		rig.want(0, "a", "b")
		if took := time.Since(began); took > 2*refreshWait {
			t.Errorf("served after %s", took)
		}
		time.Sleep(2 * updateTimeout) // until the update in flight is done
	})
}

// TestSharedUpdate lets ten callers wait for one job: they share the calls to the store.
func TestSharedUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 8)
		own := &countingStore{Store: rig.store}
		rig.reader = NewReader(newLedger(own), rig.store.Now, observe.Discard())
		for range 10 {
			go func() {
				if _, err := rig.reader.Read(t.Context(), "j", 0, 1<<20, time.Second); err != nil {
					t.Error(err)
				}
			}()
		}
		time.Sleep(2 * time.Second)
		if n := own.calls.Load(); n > 8 {
			t.Errorf("%d calls for ten callers of one job", n)
		}
	})
}

// TestJobWithManyUnreadRowsIsReadCompletely reads a job again after more was appended than fits
// into one response of the feed: no position that others may have shown is missing.
func TestJobWithManyUnreadRowsIsReadCompletely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 80)
		rig.append("a")
		rig.want(0, "a")
		rig.store.LimitFeed(20)
		for i := range 70 {
			rig.n++
			text := strings.Repeat("x", 8<<10)
			must(t, (&Ledger{Store: rig.store, RowBytes: 64 << 10}).Append(t.Context(), "j", fmt.Sprintf("w-%d", rig.n),
				[]Result{{ID: fmt.Sprint("item-", i), State: StateDone, Output: text}}))
		}
		if got := rig.ids(65, 0); len(got) != 6 {
			t.Errorf("from position 65 of 71: %v", got)
		}
	})
}

// TestCallerThatJoinsAReadWaitsForIt lets a second caller join an update that the
// first one started a moment ago, while the cached list is seconds old: it must not
// get the outdated list.
func TestCallerThatJoinsAReadWaitsForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 8)
		rig.append("a")
		rig.want(0, "a")
		rig.append("b")
		time.Sleep(5 * time.Second) // other entries have shown b for some time
		rig.store.Slow(50 * time.Millisecond)
		go func() {
			if _, err := rig.reader.Read(t.Context(), "j", 0, 1<<20, 0); err != nil {
				t.Error(err)
			}
		}()
		time.Sleep(2 * time.Millisecond)
		rig.want(1, "b")
	})
}
