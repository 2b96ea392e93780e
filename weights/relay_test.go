package weights

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/api"
	_ "mulberryscale.example/internal/rapidseed" // the same draws in each run
	"mulberryscale.example/internal/standin/instances"
	standin "mulberryscale.example/internal/standin/weights"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/memtransport"
	"mulberryscale.example/wire"
)

const (
	testModel   = "guide"
	testVersion = 7
	testParts   = 20
	testBytes   = 1000
)

// relayRig is a relay whose parent is a fake peer that answers as a test says.
type relayRig struct {
	relay *Relay
	peers *PeerList
	store *standin.Store
	calls int // calls of the peer
}

// answerer is the parent's handler for the relay's calls.
type answerer func(r *relayRig, s transport.Stream, req *wire.Request)

// relayTest runs f with a relay whose only peer is its parent, which answers with
// answer. With a nil answer the relay has no peers.
func relayTest(t *testing.T, answer answerer, f func(t *testing.T, r *relayRig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := memtransport.NewNetwork()
		list := instances.New(instances.Options{})
		r := &relayRig{store: standin.New(standin.Options{})}
		var parts []standin.PartSpec
		for i := range testParts {
			parts = append(parts, standin.PartSpec{Name: fmt.Sprint("part-", i), Size: testBytes})
		}
		if err := r.store.Publish(testModel, testVersion, parts); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		self, parent := parentOf(t)
		l, err := net.Listen(transport.PeerID(parent.ID), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if answer != nil {
			parent.Addr = l.Addr()
			list.Register(parent)
		}
		go l.Serve(ctx, func(_ context.Context, s transport.Stream) {
			var req wire.Request
			if s.Recv(&req) == nil {
				r.calls++
				answer(r, s, &req)
			}
		})
		dialer := net.Dialer(transport.PeerID(self.ID))
		r.peers = NewPeerList(list, self.ID, observe.Discard(), 1)
		go r.peers.Run(ctx)
		r.relay = NewRelay(RelayConfig{
			Self: self, Header: func() wire.Header { return wire.Header{From: self.ID} }, Dialer: dialer, Store: r.store, Peers: r.peers,
			OnRequest: func(string, uint64) Availability { return Discarded }, InFlight: 1, Seed: 1, Log: observe.Discard(),
		})
		synctest.Wait()
		f(t, r)
		cancel()
		dialer.Close()
		l.Close()
		time.Sleep(time.Minute)
	})
}

// parentOf returns two agents, the second being the parent of the first.
func parentOf(t *testing.T) (self, parent platform.Instance) {
	for i := range 100 {
		self = platform.Instance{ID: "self", Role: platform.RoleAgent, Zone: "z"}
		parent = platform.Instance{ID: fmt.Sprint("peer-", i), Role: platform.RoleAgent, Zone: "z"}
		if len(TreePosition(self, testModel, testVersion, []platform.Instance{parent}, DefaultFanout).Sources) == 1 {
			return self, parent
		}
	}
	t.Fatal("no parent found")
	return self, parent
}

func (r *relayRig) fetch(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := r.relay.Fetch(ctx, testModel, testVersion); err != nil {
		t.Fatal(err)
	}
	if s := r.relay.Stats(); s.PeerParts+s.StoreParts != testParts {
		t.Fatalf("fetched %+v, want %d parts", s, testParts)
	}
}

// refuseWith answers every request with a refusal.
func refuseWith(code api.Code, retryAfter time.Duration) answerer {
	return func(_ *relayRig, s transport.Stream, _ *wire.Request) {
		s.Send(&wire.Reply{Refusal: &api.Refusal{Code: code, RetryAfter: retryAfter}})
	}
}

func TestRelayWithoutPeersReadsTheStore(t *testing.T) {
	relayTest(t, nil, func(t *testing.T, r *relayRig) {
		r.fetch(t)
		if s := r.relay.Stats(); s.StoreParts != testParts || s.PeakBytes > DefaultWindow*testBytes {
			t.Fatalf("got %+v", s)
		}
	})
}

func TestRelayRefusesForgedParts(t *testing.T) {
	forge := func(r *relayRig, s transport.Stream, req *wire.Request) {
		if req.PullManifest != nil {
			m, err := r.store.Manifest(context.Background(), testModel, testVersion)
			if err != nil {
				t.Error(err)
			}
			s.Send(&wire.Reply{Manifest: &m})
			return
		}
		s.Send(&wire.Reply{Part: &wire.PartData{Bytes: make([]byte, testBytes), Last: true}})
	}
	relayTest(t, forge, func(t *testing.T, r *relayRig) {
		r.fetch(t)
		if s := r.relay.Stats(); s.BadParts != 1 || s.PeerParts > 0 || r.calls != 2 {
			t.Fatalf("fetch of forged parts: %+v", s)
		}
	})
}

func TestRelayPassesOverPeersWithoutTheModel(t *testing.T) {
	relayTest(t, refuseWith(api.CodeBadRequest, 0), func(t *testing.T, r *relayRig) {
		r.fetch(t)
		if n := len(r.peers.Serving(time.Now(), testModel)); r.calls != 1 || n != 0 {
			t.Fatalf("the peer was called %d times; still serving: %d", r.calls, n)
		}
		if n := len(r.peers.Serving(time.Now().Add(notServingTTL+time.Second), testModel)); n != 1 {
			t.Fatal("the peer is skipped for longer than notServingTTL")
		}
	})
}

// TestRelayGivesUpPendingPeer checks that a peer that keeps answering that it is
// still fetching the weights does not block the fetch for ever.
func TestRelayGivesUpPendingPeer(t *testing.T) {
	relayTest(t, refuseWith(api.CodeNoEndpoint, time.Millisecond), func(t *testing.T, r *relayRig) {
		began := time.Now()
		r.fetch(t)
		if took := time.Since(began); took < DefaultPendingTimeout || took > 2*DefaultPendingTimeout {
			t.Fatalf("took %s", took)
		}
	})
}

func TestRelayRefusesLargeParts(t *testing.T) {
	relayTest(t, nil, func(t *testing.T, r *relayRig) {
		if err := r.store.Publish("large", 1, []standin.PartSpec{{Name: "p", Size: DefaultMaxPart + 1}}); err != nil {
			t.Fatal(err)
		}
		err := r.relay.Fetch(t.Context(), "large", 1)
		if err == nil || !strings.Contains(err.Error(), "large version 1") {
			t.Fatalf("got %v", err)
		}
	})
}

func TestServePartRefusesMissingParts(t *testing.T) {
	relayTest(t, nil, func(t *testing.T, r *relayRig) {
		r.fetch(t)
		got := 0
		take := func(p *wire.PartData) error { got += len(p.Bytes); return nil }
		ask := func(version uint64, name string) *api.Refusal {
			return r.relay.ServePart(t.Context(), &wire.PullPart{Model: testModel, Version: version, Name: name}, take)
		}
		if refusal := ask(testVersion, fmt.Sprint("part-", testParts-1)); refusal != nil || got != testBytes {
			t.Fatalf("got %d bytes and %v", got, refusal)
		}
		for name, refusal := range map[string]*api.Refusal{
			"dropped": ask(testVersion, "part-0"), "unknown": ask(testVersion, "part-x"),
			"older": ask(testVersion-1, "part-0"), "newer": ask(testVersion+1, "part-0"),
		} {
			if refusal == nil || refusal.RetryAfter != 0 || refusal.Peer != "self" || got != testBytes {
				t.Errorf("%s: got %v and %d bytes", name, refusal, got)
			}
		}
	})
}
