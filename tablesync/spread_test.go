package tablesync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/standin/tableservice"
	"mulberryscale.example/platform"
	"mulberryscale.example/tablestore"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/memtransport"
	"mulberryscale.example/wire"
)

// node is a process that only replicates the table.
type node struct {
	peer   Peer
	holder *Holder
	spread *Spread
	serve  func()
}

// fleet consists of entries and of agents, each of which is watched by some entries.
type fleet struct {
	network *memtransport.Network
	entries []*node
	agents  []*node
	stop    context.CancelFunc
	running sync.WaitGroup
}

// watchersPerAgent is the number of entries that watch each agent.
const watchersPerAgent = 3

func newFleet(t testing.TB, entries, agents int) *fleet {
	f := &fleet{network: memtransport.NewNetworkOptions(memtransport.Options{Latency: time.Millisecond})}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for i := range entries {
		f.entries = append(f.entries, f.newNode(t, fmt.Sprintf("entry-%d", i), uint64(i), entries, agents))
	}
	for i := range agents {
		f.agents = append(f.agents, f.newNode(t, fmt.Sprintf("agent-%d", i), 0, 0, 0))
	}
	for _, n := range f.all() {
		f.running.Go(n.serve)
		f.running.Go(func() { n.spread.Run(ctx) })
	}
	return f
}

func (f *fleet) all() []*node { return append(append([]*node{}, f.entries...), f.agents...) }

func (f *fleet) close() {
	f.stop()
	for _, n := range f.all() {
		_ = n.spread.config.Dialer.Close()
	}
	f.running.Wait()
}

// newNode returns a node. One that knows no entries is an agent.
func (f *fleet) newNode(t testing.TB, id string, seed uint64, entries, agents int) *node {
	listener, err := f.network.Listen(transport.PeerID(id), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{peer: Peer{ID: id, Addr: listener.Addr()}, holder: NewHolder()}
	self := func() wire.Header { return wire.Header{From: id, Addr: n.peer.Addr, TableVersion: n.holder.Version()} }
	n.spread = NewSpread(SpreadConfig{
		Self:   self,
		Dialer: f.network.Dialer(transport.PeerID(id)),
		Holder: n.holder,
		Entries: func() []Peer {
			return peersOf(f.entries[:entries])
		},
		Watched: sync.OnceValue(func() []Peer { return f.watched(int(seed), entries, agents) }),
		Rand:    rand.New(rand.NewPCG(seed, 0)),
		Log:     discard(),
	})
	ctx, stop := context.WithCancel(context.Background())
	before := f.stop
	f.stop = func() { stop(); before() }
	n.serve = func() { _ = listener.Serve(ctx, n.handle(self)) }
	return n
}

func (f *fleet) watched(entry, entries, agents int) []Peer {
	var peers []Peer
	for i := range agents {
		for w := range watchersPerAgent {
			if (i+w)%entries == entry {
				peers = append(peers, f.agents[i].peer)
			}
		}
	}
	return peers
}

func peersOf(nodes []*node) []Peer {
	peers := make([]Peer, len(nodes))
	for i, n := range nodes {
		peers[i] = n.peer
	}
	return peers
}

// handle handles table messages as the servers of entries and agents do.
func (n *node) handle(self func() wire.Header) transport.Handler {
	return func(_ context.Context, s transport.Stream) {
		var req wire.Request
		if s.Recv(&req) != nil {
			return
		}
		n.spread.Observe(req.Header)
		var reply wire.Reply
		if req.PushTable != nil {
			reply = HandlePush(n.holder, self(), *req.PushTable)
		} else {
			reply = HandlePull(n.holder, self(), *req.PullTable)
		}
		_ = s.Send(&reply)
	}
}

func (n *node) install(t testing.TB, version uint64) {
	t.Helper()
	if _, err := n.holder.Install(document(version)); err != nil {
		t.Fatal(err)
	}
}

// countBehind counts the nodes whose table is older than a version.
func (f *fleet) countBehind(version uint64) int {
	count := 0
	for _, n := range f.all() {
		if n.holder.Version() < version {
			count++
		}
	}
	return count
}

func TestSpreadReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20, 100)
		defer f.close()
		f.entries[7].install(t, 1)
		time.Sleep(time.Second)
		if n := f.countBehind(1); n > 0 {
			t.Fatalf("%d of 120 nodes are behind after a second", n)
		}
		for _, n := range f.all() {
			if installs := n.spread.Stats().Installs; installs > 1 {
				t.Errorf("%s received the document %d times", n.peer.ID, installs)
			}
		}
	})
}

// TestSpreadAfterHeal: a node that was partitioned from the network learns of the version
// after its next message of any kind, without the table service.
func TestSpreadAfterHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 4)
		defer f.close()
		cut := f.agents[2]
		f.network.CutAll(transport.PeerID(cut.peer.ID))
		f.entries[0].install(t, 1)
		time.Sleep(10 * time.Second)
		if n := f.countBehind(1); n != 1 {
			t.Fatalf("%d nodes are behind, want only the partitioned one", n)
		}
		f.network.HealAll(transport.PeerID(cut.peer.ID))
		f.entries[0].spread.Observe(wire.Header{From: cut.peer.ID, Addr: cut.peer.Addr})
		time.Sleep(2 * DefaultRenotifyInterval)
		if n := f.countBehind(1); n > 0 {
			t.Fatal("the agent is still behind after the partition healed")
		}
	})
}

// TestSpreadSkipsUnresponsiveSources: pulls from sources that hang time out, and the node
// then pulls the table from another source.
func TestSpreadSkipsUnresponsiveSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 4) // agents send no notices
		defer f.close()
		reader, live, frozen := f.agents[0], f.agents[1], f.agents[2:]
		for _, n := range frozen {
			f.network.StallAll(transport.PeerID(n.peer.ID))
		}
		for _, n := range []*node{frozen[0], live, frozen[1]} {
			n.install(t, 5)
			reader.spread.Observe(wire.Header{From: n.peer.ID, Addr: n.peer.Addr, TableVersion: 5})
			synctest.Wait() // so that the pull from the first hangs
		}
		time.Sleep(3 * DefaultCallTimeout)
		if v := reader.holder.Version(); v != 5 {
			t.Fatalf("version %d in force", v)
		}
		if stats := reader.spread.Stats(); stats.PullFailures != int64(len(frozen)) {
			t.Fatalf("%+v, want %d failed pulls", stats, len(frozen))
		}
	})
}

// TestSpreadFallsBackToNextNewestVersion: when the only source of the newest version is gone, the
// node pulls the next newest version from another source.
func TestSpreadFallsBackToNextNewestVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 2)
		defer f.close()
		reader, other := f.agents[0], f.agents[1]
		other.install(t, 6)
		reader.spread.Observe(wire.Header{From: "gone", Addr: "127.0.0.1:1", TableVersion: 7})
		time.Sleep(2 * DefaultCallTimeout)
		reader.spread.Observe(wire.Header{From: other.peer.ID, Addr: other.peer.Addr, TableVersion: 6})
		time.Sleep(time.Second)
		if v := reader.holder.Version(); v != 6 {
			t.Fatalf("version %d in force", v)
		}
	})
}

// TestSpreadPushesWhenItCannotBePulled: peers cannot pull from a process that does not
// listen, so it pushes the document.
func TestSpreadPushesWhenItCannotBePulled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 0)
		defer f.close()
		sender := f.entries[0]
		sender.spread.config.Self = func() wire.Header { return wire.Header{From: sender.peer.ID} }
		sender.install(t, 1)
		time.Sleep(time.Second)
		if n := f.countBehind(1); n > 0 {
			t.Fatal("the peer is behind")
		}
	})
}

func TestHandlePushRefuses(t *testing.T) {
	h := NewHolder()
	self := wire.Header{From: "entry-1"}
	bad := document(1)
	bad.Body = nil
	reply := HandlePush(h, self, bad)
	if reply.Refusal == nil || reply.Refusal.Code != api.CodeBadRequest || reply.Refusal.Peer != "entry-1" {
		t.Fatalf("%+v", reply.Refusal)
	}
	if reply = HandlePush(h, self, document(2)); reply.Refusal != nil || reply.Header.TableVersion != 2 {
		t.Fatalf("%+v", reply)
	}
	bad.Version = 2
	if reply = HandlePush(h, self, bad); reply.Refusal == nil || reply.Refusal.Code != api.CodeInternal {
		t.Fatalf("%+v", reply.Refusal)
	}
}

// TestBootstrap: a new process installs the newest of its peers' versions, and gets an
// error if no peer has one.
func TestBootstrap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 0)
		defer f.close()
		fresh := f.entries[0]
		if err := fresh.spread.Bootstrap(t.Context(), nil); err == nil {
			t.Fatal("no error without peers")
		}
		if err := fresh.spread.Bootstrap(t.Context(), peersOf(f.entries)); err == nil {
			t.Fatal("no error from peers without a table")
		}
		for _, n := range f.entries {
			f.network.CutAll(transport.PeerID(n.peer.ID)) // no notices between them
		}
		f.entries[1].install(t, 3)
		f.entries[2].install(t, 4)
		synctest.Wait()
		for _, n := range f.entries {
			f.network.HealAll(transport.PeerID(n.peer.ID))
		}
		if err := fresh.spread.Bootstrap(t.Context(), peersOf(f.entries)); err != nil {
			t.Fatal(err)
		}
		if fresh.holder.Version() != 4 {
			t.Fatalf("version %d in force, want 4", fresh.holder.Version())
		}
	})
}

// TestColdStart: a new process gets the table from its peers while the table service is
// down, from the table service while it has no peers, and gets an error if it has neither.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 0)
		defer f.close()
		service := tableservice.New(tableservice.Options{})
		apply(t, tablestore.New(service), 1)
		service.Outage(true)
		start := func(n *node, peers []Peer) error {
			p := newPoller(tablestore.New(service), 1, 1)
			p.config.Holder = n.holder
			return Bootstrap(t.Context(), n.spread, p, peers)
		}
		err := start(f.entries[0], nil)
		if !errors.Is(err, platform.ErrUnavailable) || !errors.Is(err, errNoPeer) {
			t.Fatalf("got %v", err)
		}
		service.Outage(false)
		if err := start(f.entries[0], nil); err != nil || f.entries[0].holder.Version() != 1 {
			t.Fatalf("got %v", err)
		}
		service.Outage(true)
		if err := start(f.entries[1], peersOf(f.entries)); err != nil || f.entries[1].holder.Version() != 1 {
			t.Fatalf("got %v", err)
		}
	})
}
