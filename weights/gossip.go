package weights

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/platform"
	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// Defaults of VersionGossipConfig.
const (
	// DefaultPushPeers is the number of random peers that get a new version besides the
	// children in the tree. If no child is reached and each process pushes once, a share s
	// of many processes is not reached, with s = e^(-3(1-s)) = 6%; these learn of the version
	// by their own exchanges.
	DefaultPushPeers        = 3
	DefaultExchangeInterval = 3 * time.Second
	gossipTimeout           = 2 * time.Second
)

// stepGossip is the step named in errors.
const stepGossip = "weights.news"

// VersionGossipConfig configures a VersionGossip. Zero values take the defaults.
type VersionGossipConfig struct {
	// Header makes the header of this process's messages.
	Header func() wire.Header
	Dialer transport.Dialer
	// Peers lists the agents to gossip with.
	Peers func() []platform.Instance
	// Children lists this process's children in the tree of a version, which get
	// the version from it at once; it may be nil.
	Children func(model string, version uint64) []platform.Instance
	// OnNewVersion is called for each newer version; it may be nil.
	OnNewVersion func(model string, version uint64)
	// PushPeers is the number of random peers that get a newer version at once.
	PushPeers int
	// ExchangeInterval is the time, with jitter, between exchanges with one random peer.
	ExchangeInterval time.Duration
	// Seed makes the random choices repeatable; 0 draws a seed.
	Seed uint64
	Log  logrus.FieldLogger
}

// VersionGossip knows the newest published version of each model and spreads it: at
// once to the children in the tree and a few random peers, and by periodic
// exchanges that make up for lost messages. It is safe for concurrent use.
type VersionGossip struct {
	cfg    VersionGossipConfig
	caller caller
	wake   chan struct{}
	rand   *random

	mu     sync.Mutex
	latest map[string]uint64
	unsent []wire.Published // recorded but not sent to peers yet
	calls  int64
}

// NewVersionGossip returns a VersionGossip that calls no peer until Run.
func NewVersionGossip(cfg VersionGossipConfig) *VersionGossip {
	cfg.PushPeers = cmp.Or(cfg.PushPeers, DefaultPushPeers)
	cfg.ExchangeInterval = cmp.Or(cfg.ExchangeInterval, DefaultExchangeInterval)
	return &VersionGossip{
		cfg:    cfg,
		caller: caller{header: cfg.Header, dialer: cfg.Dialer, timeout: gossipTimeout},
		wake:   make(chan struct{}, 1),
		rand:   newRandom(cfg.Seed, 2),
		latest: make(map[string]uint64),
	}
}

// Record takes in a published version and reports whether it is newer than the
// known one. For a newer version it calls OnNewVersion and has Run send it on.
func (n *VersionGossip) Record(model string, version uint64) bool {
	n.mu.Lock()
	newer := version > n.latest[model]
	if newer {
		n.latest[model] = version
		n.unsent = append(n.unsent, wire.Published{Model: model, Version: version})
	}
	n.mu.Unlock()
	if !newer {
		return false
	}
	if n.cfg.OnNewVersion != nil {
		n.cfg.OnNewVersion(model, version)
	}
	select {
	case n.wake <- struct{}{}:
	default:
	}
	return true
}

// Known returns the newest known version of each model, ordered by model.
func (n *VersionGossip) Known() []wire.Published {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := make([]wire.Published, 0, len(n.latest))
	for model, version := range n.latest {
		known = append(known, wire.Published{Model: model, Version: version})
	}
	slices.SortFunc(known, func(a, b wire.Published) int { return cmp.Compare(a.Model, b.Model) })
	return known
}

// Calls returns the number of exchanges begun so far.
func (n *VersionGossip) Calls() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// Run exchanges versions with peers until ctx is done.
func (n *VersionGossip) Run(ctx context.Context) {
	for {
		timer := time.NewTimer(n.rand.jitter(n.cfg.ExchangeInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-n.wake:
			n.exchangeAll(ctx, append(n.takeUnsentChildren(), n.randomPeers(n.cfg.PushPeers)...))
		case <-timer.C:
			n.exchangeAll(ctx, n.randomPeers(1))
		}
		timer.Stop()
	}
}

// randomPeers returns up to count peers, chosen at random.
func (n *VersionGossip) randomPeers(count int) []platform.Instance {
	peers := n.cfg.Peers()
	var drawn []platform.Instance
	for _, i := range n.rand.draw(len(peers), count) {
		drawn = append(drawn, peers[i])
	}
	return drawn
}

// takeUnsentChildren returns the children that get the versions recorded since the
// last call, and marks these versions as sent.
func (n *VersionGossip) takeUnsentChildren() []platform.Instance {
	n.mu.Lock()
	unsent := n.unsent
	n.unsent = nil
	n.mu.Unlock()
	var peers []platform.Instance
	for _, p := range unsent {
		if n.cfg.Children != nil {
			peers = append(peers, n.cfg.Children(p.Model, p.Version)...)
		}
	}
	return peers
}

// exchangeAll exchanges versions with all the peers at the same time.
func (n *VersionGossip) exchangeAll(ctx context.Context, peers []platform.Instance) {
	var group sync.WaitGroup
	for _, p := range peers {
		group.Go(func() { n.exchange(ctx, p.Addr) })
	}
	group.Wait()
}

// exchange sends the known versions to one peer and records those in its answer.
func (n *VersionGossip) exchange(ctx context.Context, addr string) {
	n.mu.Lock()
	n.calls++
	n.mu.Unlock()
	req := wire.Request{Gossip: &wire.Gossip{Weights: n.Known()}}
	err := n.caller.call(ctx, stepGossip, addr, req, func(r *wire.Reply) bool {
		if r.Gossip != nil {
			for _, p := range r.Gossip.Weights {
				n.Record(p.Model, p.Version)
			}
		}
		return true
	})
	if err != nil {
		n.cfg.Log.WithError(err).Debug("weight version gossip with a peer failed")
	}
}
