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
	// DefaultPushPeers random peers besides the children in the tree reach all but
	// e^-4 = 2% of many processes even if no child is told; the others learn
	// by their own exchanges.
	DefaultPushPeers        = 3
	DefaultExchangeInterval = 3 * time.Second
	newsTimeout             = 2 * time.Second
)

// stepNews is the step named in errors.
const stepNews = "weights.news"

// VersionGossipConfig configures a VersionGossip. Zero values take the defaults.
type VersionGossipConfig struct {
	// Header makes the header of this process's messages.
	Header func() wire.Header
	Dialer transport.Dialer
	// Peers lists the agents that may be told.
	Peers func() []platform.Instance
	// Children lists the peers that wait for this process's news of a version,
	// its children in the tree; it may be nil.
	Children func(model string, version uint64) []platform.Instance
	// OnNewVersion is called for each newer version; it may be nil.
	OnNewVersion func(model string, version uint64)
	// PushPeers is how many peers are told of a newer version.
	PushPeers int
	// ExchangeInterval is how often, with jitter, one peer is asked what it knows.
	ExchangeInterval time.Duration
	// Seed makes choices repeatable; 0 draws one.
	Seed uint64
	Log  logrus.FieldLogger
}

// VersionGossip knows the newest published version of each model and passes it on: at
// once to a few random peers, and by a slow exchange that mends what is lost.
// It is safe for concurrent use.
type VersionGossip struct {
	cfg    VersionGossipConfig
	caller caller
	wake   chan struct{}
	rand   *random

	mu    sync.Mutex
	known map[string]uint64
	fresh []wire.Published // not told yet
	calls int64
}

// NewVersionGossip returns a VersionGossip that tells nobody until Run.
func NewVersionGossip(cfg VersionGossipConfig) *VersionGossip {
	cfg.PushPeers = cmp.Or(cfg.PushPeers, DefaultPushPeers)
	cfg.ExchangeInterval = cmp.Or(cfg.ExchangeInterval, DefaultExchangeInterval)
	return &VersionGossip{
		cfg:    cfg,
		caller: caller{header: cfg.Header, dialer: cfg.Dialer, timeout: newsTimeout},
		wake:   make(chan struct{}, 1),
		rand:   newRandom(cfg.Seed, 2),
		known:  make(map[string]uint64),
	}
}

// Record takes in a published version and says whether it is newer than the one known.
func (n *VersionGossip) Record(model string, version uint64) bool {
	n.mu.Lock()
	newer := version > n.known[model]
	if newer {
		n.known[model] = version
		n.fresh = append(n.fresh, wire.Published{Model: model, Version: version})
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

// Known lists the newest versions, ordered by model.
func (n *VersionGossip) Known() []wire.Published {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := make([]wire.Published, 0, len(n.known))
	for model, version := range n.known {
		known = append(known, wire.Published{Model: model, Version: version})
	}
	slices.SortFunc(known, func(a, b wire.Published) int { return cmp.Compare(a.Model, b.Model) })
	return known
}

// Calls is how many peers were told or asked so far.
func (n *VersionGossip) Calls() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// Run tells and asks until ctx ends.
func (n *VersionGossip) Run(ctx context.Context) {
	for {
		timer := time.NewTimer(n.rand.jitter(n.cfg.ExchangeInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-n.wake:
			n.tell(ctx, append(n.waiting(), n.some(n.cfg.PushPeers)...))
		case <-timer.C:
			n.tell(ctx, n.some(1))
		}
		timer.Stop()
	}
}

// some draws a number of peers.
func (n *VersionGossip) some(count int) []platform.Instance {
	peers := n.cfg.Peers()
	var drawn []platform.Instance
	for _, i := range n.rand.draw(len(peers), count) {
		drawn = append(drawn, peers[i])
	}
	return drawn
}

// waiting lists the peers that wait for what has not been told yet.
func (n *VersionGossip) waiting() []platform.Instance {
	n.mu.Lock()
	fresh := n.fresh
	n.fresh = nil
	n.mu.Unlock()
	var peers []platform.Instance
	for _, p := range fresh {
		if n.cfg.Children != nil {
			peers = append(peers, n.cfg.Children(p.Model, p.Version)...)
		}
	}
	return peers
}

// tell sends what is known to the peers, all at a time.
func (n *VersionGossip) tell(ctx context.Context, peers []platform.Instance) {
	var group sync.WaitGroup
	for _, p := range peers {
		group.Go(func() { n.exchange(ctx, p.Addr) })
	}
	group.Wait()
}

// exchange tells one peer and learns from its answer.
func (n *VersionGossip) exchange(ctx context.Context, addr string) {
	n.mu.Lock()
	n.calls++
	n.mu.Unlock()
	req := wire.Request{Gossip: &wire.Gossip{Weights: n.Known()}}
	err := n.caller.call(ctx, stepNews, addr, req, func(r *wire.Reply) bool {
		if r.Gossip != nil {
			for _, p := range r.Gossip.Weights {
				n.Record(p.Model, p.Version)
			}
		}
		return true
	})
	if err != nil {
		n.cfg.Log.WithError(err).Debug("peer not told of weights")
	}
}
