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

// These tests cover partial outages, in which the store refuses a third of the processes
// for seconds or does not respond to them, and outages for all processes.

// fixture has a process and three peers, each with a direct path to the store.
type fixture struct {
	store     *rowstore.Store
	direct    *rowstore.Client
	peers     []*rowstore.Client
	peerCalls atomic.Int64 // calls through peers
	relayed   *relay.Store
}

func newFixture() *fixture {
	r := &fixture{store: rowstore.New()}
	r.direct = r.store.Client()
	for range 3 {
		r.peers = append(r.peers, r.store.Client())
	}
	r.relayed = &relay.Store{Direct: r.direct, Peers: r}
	return r
}

// Candidates implements relay.Peers. Calls and replies are encoded and decoded.
func (r *fixture) Candidates() []store.Store {
	var candidates []store.Store
	for _, peer := range r.peers {
		candidates = append(candidates, relay.Remote{Call: func(ctx context.Context, c *relay.Call) (*relay.Reply, error) {
			r.peerCalls.Add(1)
			sent, got := recode(c), &relay.Reply{}
			data, err := codec.Marshal(relay.Serve(ctx, peer, sent))
			if err != nil {
				return nil, err
			}
			return got, codec.Unmarshal(data, got)
		}})
	}
	return candidates
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

// silentStore is a store whose commits get no response before their deadline.
type silentStore struct{ store.Store }

func (silentStore) Commit(ctx context.Context, _ store.Tx) (store.Snapshot, error) {
	<-ctx.Done()
	return store.Snapshot{}, fmt.Errorf("%w: silent", store.ErrUnknown)
}

func TestRefusedCallsAreRelayedThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture()
		r.direct.SetError(errBusy)
		r.peers[0].SetError(errBusy) // is refused too
		start := time.Now()
		if _, err := r.relayed.Commit(t.Context(), put("a")); err != nil {
			t.Fatalf("commit: %v", err)
		}
		s, err := r.relayed.List(t.Context(), store.Range{Table: "t", Part: "p"})
		if err != nil || len(s.Rows) != 1 || s.Rows[0].Key != key || string(s.Rows[0].Value) != "value" || s.Rows[0].Version != s.Version {
			t.Fatalf("list: %+v, %v", s, err)
		}
		feed, err := r.relayed.Feed(t.Context(), "t", 0, time.Second)
		if err != nil || len(feed.Rows) != 1 {
			t.Fatalf("feed: %+v, %v", feed, err)
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("took %s", took)
		}
		if _, err := r.relayed.Commit(t.Context(), put("a")); !errors.Is(err, store.ErrConflict) {
			t.Errorf("second commit under the same condition: got %v, want a conflict", err)
		}
		if _, err := r.relayed.GetObject(t.Context(), "none"); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("object that does not exist: got %v", err)
		}
		if err := r.relayed.PutObject(t.Context(), "o", []byte("body")); err != nil {
			t.Errorf("put: %v", err)
		}
		if body, err := r.relayed.GetObject(t.Context(), "o"); err != nil || string(body) != "body" {
			t.Errorf("get: %q, %v", body, err)
		}
		if names, err := r.relayed.ListObjects(t.Context(), "o"); err != nil || len(names) != 1 || names[0] != "o" {
			t.Errorf("list: %q, %v", names, err)
		}
	})
}

func TestUnresponsiveDirectPathDelaysOnlyFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture()
		r.relayed.Direct = silentStore{r.direct}
		for i, limit := range []time.Duration{450 * time.Millisecond, 0, 0} { // calls are relayed first from then on
			start := time.Now()
			if _, err := r.relayed.Commit(t.Context(), put(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(start); took > limit {
				t.Errorf("call %d took %s", i, took)
			}
		}
	})
}

// TestRestoredDirectPathIsUsedAgain restores the direct path: after about a second calls must no
// longer be relayed.
func TestRestoredDirectPathIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture()
		var switches []bool
		r.relayed.OnSwitch = func(relaying bool) { switches = append(switches, relaying) }
		r.direct.SetError(errBusy)
		for i := range 5 {
			if _, err := r.relayed.Commit(t.Context(), put(fmt.Sprint("a", i))); err != nil {
				t.Fatal(err)
			}
			time.Sleep(700 * time.Millisecond)
		}
		r.direct.SetError(nil)
		time.Sleep(1500 * time.Millisecond)
		before := r.peerCalls.Load()
		for i := range 10 {
			if _, err := r.relayed.Commit(t.Context(), put(fmt.Sprint("b", i))); err != nil {
				t.Fatal(err)
			}
		}
		if n := r.peerCalls.Load() - before; n > 0 {
			t.Errorf("%d relayed calls after the direct path was restored", n)
		}
		if fmt.Sprint(switches) != "[true false]" {
			t.Errorf("switches %v in one outage, want [true false]", switches)
		}
	})
}

// TestFewRelayedCallsWhileStoreRefusesAll lets the store refuse all processes for ten
// seconds and counts the relayed calls.
func TestFewRelayedCallsWhileStoreRefusesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture()
		clients := append([]*rowstore.Client{r.direct}, r.peers...)
		for _, client := range clients {
			client.SetError(errBusy)
		}
		for range 100 {
			if _, err := r.relayed.Commit(t.Context(), put("a")); !errors.Is(err, store.ErrRefused) {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if n := r.peerCalls.Load(); n > 15 {
			t.Errorf("%d calls were relayed in ten seconds, want at most 15", n)
		}
		for _, client := range clients {
			client.SetError(nil)
		}
		if _, err := r.relayed.Commit(t.Context(), put("a")); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}

// TestUnansweredDirectWriteIsUnknownThoughPeersAreRefused makes a write on the direct path get no
// response while the store refuses all peers. The write may have been applied, so the result must
// be ErrUnknown, not ErrRefused.
func TestUnansweredDirectWriteIsUnknownThoughPeersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, outcome := range []rowstore.Outcome{rowstore.ReplyLost, rowstore.RequestLost, rowstore.Late} {
			r := newFixture()
			for _, peer := range r.peers {
				peer.SetError(errBusy)
			}
			r.store.QueueOutcomes(outcome)
			if _, err := r.relayed.Commit(t.Context(), put("a")); !errors.Is(err, store.ErrUnknown) {
				t.Errorf("got %v, want ErrUnknown", err)
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
		t.Errorf("peer that does not support relayed calls: got %v", err)
	}
}

// silentPeers has a peer that never responds, as in the same network partition.
type silentPeers struct{}

func (silentPeers) Candidates() []store.Store {
	return []store.Store{relay.Remote{Call: func(ctx context.Context, _ *relay.Call) (*relay.Reply, error) {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}}}
}

// boundedFeed is a direct path on which a feed call fails after its bound.
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

// TestUnresponsivePeersDoNotDelayFailure separates a process from the store and from all peers. Its
// calls must fail as soon as on the direct path alone, so that the process recovers as
// soon as the partition heals.
func TestUnresponsivePeersDoNotDelayFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait, bound = time.Second, 2 * time.Second
		relayed := &relay.Store{Direct: boundedFeed{rowstore.New(), bound}, Peers: silentPeers{}}
		for range 5 {
			start := time.Now()
			if _, err := relayed.Feed(t.Context(), "t", 0, wait); err == nil {
				t.Fatal("want an error")
			}
			if took := time.Since(start); took > bound+100*time.Millisecond {
				t.Errorf("failed after %s", took)
			}
		}
		r := newFixture()
		r.relayed.Peers = silentPeers{}
		r.direct.SetError(errBusy)
		start := time.Now()
		if _, err := r.relayed.Commit(t.Context(), put("a")); err == nil {
			t.Fatal("want an error")
		}
		if took := time.Since(start); took > 700*time.Millisecond {
			t.Errorf("a commit failed after %s", took)
		}
	})
}
