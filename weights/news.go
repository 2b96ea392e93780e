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

// Defaults of NewsConfig.
const (
	// DefaultTell random peers besides the children in the tree reach all but
	// e^-4 = 2% of many processes even if no child is told; the others learn
	// by their own exchanges.
	DefaultTell     = 3
	DefaultExchange = 3 * time.Second
	newsTimeout     = 2 * time.Second
)

// stepNews is the step named in errors.
const stepNews = "weights.news"

// NewsConfig configures a News. Zero values take the defaults.
type NewsConfig struct {
	// Header makes the header of this process's messages.
	Header func() wire.Header
	Dialer transport.Dialer
	// Peers lists the agents that may be told.
	Peers func() []platform.Instance
	// Below lists the peers that wait for this process's news of a version,
	// its children in the tree; it may be nil.
	Below func(model string, version uint64) []platform.Instance
	// Heard is called for each newer version; it may be nil.
	Heard func(model string, version uint64)
	// Tell is how many peers are told of a newer version.
	Tell int
	// Exchange is how often, with jitter, one peer is asked what it knows.
	Exchange time.Duration
	// Seed makes choices repeatable; 0 draws one.
	Seed uint64
	Log  logrus.FieldLogger
}

// News knows the newest published version of each model and passes it on: at
// once to a few random peers, and by a slow exchange that mends what is lost.
// It is safe for concurrent use.
type News struct {
	cfg    NewsConfig
	caller caller
	wake   chan struct{}
	rand   *random

	mu    sync.Mutex
	known map[string]uint64
	fresh []wire.Published // not told yet
	calls int64
}

// NewNews returns a News that tells nobody until Run.
func NewNews(cfg NewsConfig) *News {
	cfg.Tell = cmp.Or(cfg.Tell, DefaultTell)
	cfg.Exchange = cmp.Or(cfg.Exchange, DefaultExchange)
	return &News{
		cfg:    cfg,
		caller: caller{header: cfg.Header, dialer: cfg.Dialer, timeout: newsTimeout},
		wake:   make(chan struct{}, 1),
		rand:   newRandom(cfg.Seed, 2),
		known:  make(map[string]uint64),
	}
}

// Learn takes in a published version and says whether it is newer than the one known.
func (n *News) Learn(model string, version uint64) bool {
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
	if n.cfg.Heard != nil {
		n.cfg.Heard(model, version)
	}
	select {
	case n.wake <- struct{}{}:
	default:
	}
	return true
}

// Known lists the newest versions, ordered by model.
func (n *News) Known() []wire.Published {
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
func (n *News) Calls() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// Run tells and asks until ctx ends.
func (n *News) Run(ctx context.Context) {
	for {
		timer := time.NewTimer(n.rand.jitter(n.cfg.Exchange))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-n.wake:
			n.tell(ctx, append(n.waiting(), n.some(n.cfg.Tell)...))
		case <-timer.C:
			n.tell(ctx, n.some(1))
		}
		timer.Stop()
	}
}

// some draws a number of peers.
func (n *News) some(count int) []platform.Instance {
	peers := n.cfg.Peers()
	var drawn []platform.Instance
	for _, i := range n.rand.draw(len(peers), count) {
		drawn = append(drawn, peers[i])
	}
	return drawn
}

// waiting lists the peers that wait for what has not been told yet.
func (n *News) waiting() []platform.Instance {
	n.mu.Lock()
	fresh := n.fresh
	n.fresh = nil
	n.mu.Unlock()
	var peers []platform.Instance
	for _, p := range fresh {
		if n.cfg.Below != nil {
			peers = append(peers, n.cfg.Below(p.Model, p.Version)...)
		}
	}
	return peers
}

// tell sends what is known to the peers, all at a time.
func (n *News) tell(ctx context.Context, peers []platform.Instance) {
	var group sync.WaitGroup
	for _, p := range peers {
		group.Go(func() { n.exchange(ctx, p.Addr) })
	}
	group.Wait()
}

// exchange tells one peer and learns from its answer.
func (n *News) exchange(ctx context.Context, addr string) {
	n.mu.Lock()
	n.calls++
	n.mu.Unlock()
	req := wire.Request{Gossip: &wire.Gossip{Weights: n.Known()}}
	err := n.caller.call(ctx, stepNews, addr, req, func(r *wire.Reply) bool {
		if r.Gossip != nil {
			for _, p := range r.Gossip.Weights {
				n.Learn(p.Model, p.Version)
			}
		}
		return true
	})
	if err != nil {
		n.cfg.Log.WithError(err).Debug("peer not told of weights")
	}
}
