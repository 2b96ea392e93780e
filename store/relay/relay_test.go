package relay_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/store"
	"mulberryscale.example/store/relay"
	"mulberryscale.example/transport/codec"
)

// The load answered: the store turns a third of the processes away, or is silent
// to them, for seconds, and serves the others; or it is away for all.

// rig is a process with its own path and three others with theirs.
type rig struct {
	store  *rowstore.Store
	own    *rowstore.Client
	others []*rowstore.Client
	asked  atomic.Int64 // calls of the others
	reach  *relay.Store
}

func newRig() *rig {
	r := &rig{store: rowstore.New()}
	r.own = r.store.Client()
	for range 3 {
		r.others = append(r.others, r.store.Client())
	}
	r.reach = &relay.Store{Direct: r.own, Peers: r}
	return r
}

// Candidates implements relay.Peers; calls go through the wire's encoding.
func (r *rig) Candidates() []store.Store {
	var drawn []store.Store
	for _, o := range r.others {
		drawn = append(drawn, relay.Remote{Call: func(ctx context.Context, c *relay.Call) (*relay.Reply, error) {
			r.asked.Add(1)
			sent, got := recode(c), &relay.Reply{}
			data, err := codec.Marshal(relay.Serve(ctx, o, sent))
			if err != nil {
				return nil, err
			}
			return got, codec.Unmarshal(data, got)
		}})
	}
	return drawn
}

func recode(c *relay.Call) *relay.Call {
	data, err := codec.Marshal(c)
	if err != nil {
		panic(err)
	}
	out := &relay.Call{}
	if err := codec.Unmarshal(data, out); err != nil {
		panic(err)
	}
	return out
}

var key = store.Key{Table: "t", Part: "p", Name: "a"}

func put(name string) store.Tx {
	k := key
	k.Name = name
	return store.Tx{If: []store.Condition{{Key: k}}, Put: []store.Row{{Key: k, Value: []byte("value")}}}
}

var errBusy = fmt.Errorf("%w: busy", store.ErrRefused)

// silence is a path on which calls get no answer until their time is up.
type silence struct{ store.Store }

func (silence) Commit(ctx context.Context, _ store.Tx) (store.Snapshot, error) {
	<-ctx.Done()
	return store.Snapshot{}, fmt.Errorf("%w: silent", store.ErrUnknown)
}

func TestCallsGoOnThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		r.own.Cut(errBusy)
		r.others[0].Cut(errBusy) // is turned away too
		began := time.Now()
		if _, err := r.reach.Commit(t.Context(), put("a")); err != nil {
			t.Fatalf("commit: %v", err)
		}
		s, err := r.reach.List(t.Context(), store.Range{Table: "t", Part: "p"})
		if err != nil || len(s.Rows) != 1 || s.Rows[0].Key != key || string(s.Rows[0].Value) != "value" || s.Rows[0].Version != s.Version {
			t.Fatalf("list: %+v, %v", s, err)
		}
		feed, err := r.reach.Feed(t.Context(), "t", 0, time.Second)
		if err != nil || len(feed.Rows) != 1 {
			t.Fatalf("feed: %+v, %v", feed, err)
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("took %s", took)
		}
		if _, err := r.reach.Commit(t.Context(), put("a")); !errors.Is(err, store.ErrConflict) {
			t.Errorf("a second commit under the same condition: %v", err)
		}
		if _, err := r.reach.GetObject(t.Context(), "none"); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("an object that is not there: %v", err)
		}
		if err := r.reach.PutObject(t.Context(), "o", []byte("body")); err != nil {
			t.Errorf("put: %v", err)
		}
		if body, err := r.reach.GetObject(t.Context(), "o"); err != nil || string(body) != "body" {
			t.Errorf("get: %q, %v", body, err)
		}
	})
}

func TestSilentPathDelaysNoCallForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		r.reach.Direct = silence{r.own}
		for i, limit := range []time.Duration{450 * time.Millisecond, 0, 0} { // others are asked first from then on
			began := time.Now()
			if _, err := r.reach.Commit(t.Context(), put(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); took > limit {
				t.Errorf("call %d took %s", i, took)
			}
		}
	})
}

// TestOwnPathIsUsedAgain mends the own path: within a second or so nobody else
// is asked any more.
func TestOwnPathIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		var told []bool
		r.reach.OnSwitch = func(detouring bool) { told = append(told, detouring) }
		r.own.Cut(errBusy)
		for i := range 5 {
			if _, err := r.reach.Commit(t.Context(), put(fmt.Sprint("a", i))); err != nil {
				t.Fatal(err)
			}
			time.Sleep(700 * time.Millisecond)
		}
		r.own.Cut(nil)
		time.Sleep(1500 * time.Millisecond)
		asked := r.asked.Load()
		for i := range 10 {
			if _, err := r.reach.Commit(t.Context(), put(fmt.Sprint("b", i))); err != nil {
				t.Fatal(err)
			}
		}
		if n := r.asked.Load() - asked; n > 0 {
			t.Errorf("%d calls through others", n)
		}
		if fmt.Sprint(told) != "[true false]" {
			t.Errorf("told %v of one loss", told)
		}
	})
}

// TestStoreThatIsAwayForAllIsLeftAlone fails everywhere for ten seconds, and
// counts what others are asked.
func TestStoreThatIsAwayForAllIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		ways := append([]*rowstore.Client{r.own}, r.others...)
		for _, w := range ways {
			w.Cut(errBusy)
		}
		for range 100 {
			if _, err := r.reach.Commit(t.Context(), put("a")); !errors.Is(err, store.ErrRefused) {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if n := r.asked.Load(); n > 15 {
			t.Errorf("others were asked %d times in ten seconds", n)
		}
		for _, w := range ways {
			w.Cut(nil)
		}
		if _, err := r.reach.Commit(t.Context(), put("a")); err != nil {
			t.Errorf("after its return: %v", err)
		}
	})
}

// TestRefusedOnlyIfNoWayLeavesItOpen has the own path lose the answer of a write
// that is done, while all others are turned away.
func TestRefusedOnlyIfNoWayLeavesItOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, outcome := range []rowstore.Outcome{rowstore.Lost, rowstore.Dropped, rowstore.Late} {
			r := newRig()
			for _, o := range r.others {
				o.Cut(errBusy)
			}
			r.store.Next(outcome)
			if _, err := r.reach.Commit(t.Context(), put("a")); !errors.Is(err, store.ErrUnknown) {
				t.Errorf("got %v, want an open outcome", err)
			}
		}
		time.Sleep(2 * rowstore.LateBy)
	})
}

func TestUnknownCallIsRefused(t *testing.T) {
	remote := relay.Remote{Call: func(ctx context.Context, _ *relay.Call) (*relay.Reply, error) {
		return relay.Serve(ctx, rowstore.New(), &relay.Call{}), nil
	}}
	if _, err := remote.List(t.Context(), store.Range{}); !errors.Is(err, store.ErrInvalid) {
		t.Errorf("got %v", err)
	}
	old := relay.Remote{Call: func(context.Context, *relay.Call) (*relay.Reply, error) { return nil, nil }}
	if _, err := old.List(t.Context(), store.Range{}); !errors.Is(err, store.ErrRefused) {
		t.Errorf("a process that makes no such calls: %v", err)
	}
}

// deaf are others that give no answer at all, such as those behind the same cut.
type deaf struct{}

func (deaf) Candidates() []store.Store {
	return []store.Store{relay.Remote{Call: func(ctx context.Context, _ *relay.Call) (*relay.Reply, error) {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}}}
}

// boundedFeed is an own path on which a feed call fails after its bound.
type boundedFeed struct {
	store.Store
	bound time.Duration
}

func (b boundedFeed) Feed(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Snapshot, error) {
	select {
	case <-time.After(b.bound):
	case <-ctx.Done():
	}
	return store.Snapshot{}, fmt.Errorf("%w: silent", store.ErrUnknown)
}

// TestSilentOthersHoldUpNoCall cuts a process off from the store and from all
// others: its calls must fail as soon as by its own path alone, so that it is back
// as soon as the cut heals.
func TestSilentOthersHoldUpNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait, bound = time.Second, 2 * time.Second
		reach := &relay.Store{Direct: boundedFeed{rowstore.New(), bound}, Peers: deaf{}}
		for range 5 {
			began := time.Now()
			if _, err := reach.Feed(t.Context(), "t", 0, wait); err == nil {
				t.Fatal("want an error")
			}
			if took := time.Since(began); took > bound+100*time.Millisecond {
				t.Errorf("failed after %s", took)
			}
		}
		r := newRig()
		r.reach.Peers = deaf{}
		r.own.Cut(errBusy)
		began := time.Now()
		if _, err := r.reach.Commit(t.Context(), put("a")); err == nil {
			t.Fatal("want an error")
		}
		if took := time.Since(began); took > 700*time.Millisecond {
			t.Errorf("a commit failed after %s", took)
		}
	})
}
