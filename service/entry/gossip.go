package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/limits"
	"mulberryscale.example/membership"
	"mulberryscale.example/wire"
)

const (
	// gossipInterval is the interval of averaging rounds, in each of which every entry
	// starts one exchange. From manyEntries entries on it is slowGossipInterval, so that
	// entries with many connections stay within their bandwidth budget.
	gossipInterval     = 500 * time.Millisecond
	slowGossipInterval = time.Second
	manyEntries        = 64
	// gossipPeers is the number of other entries with which an entry starts exchanges. A
	// random graph of this degree averages nearly as fast as a full one, and its
	// connections can be kept open.
	gossipPeers = 8
	// gossipJitter is the largest random change of an interval, as a fraction of it.
	gossipJitter  = 0.2
	gossipTimeout = 2 * time.Second
	stepGossip    = "entry.gossip"
)

// gossip exchanges messages between entries: it divides the rows' limits among them, and
// spreads membership changes and the requests that crashed endpoints.
type gossip struct {
	e       *Entry
	average *limits.Averager
	rng     *rand.Rand
}

func newGossip(e *Entry) *gossip {
	return &gossip{e: e, average: limits.NewAverager(time.Now()), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// run makes an exchange with a random neighbour each interval, until ctx is cancelled.
func (g *gossip) run(ctx context.Context) {
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(g.pause()):
		}
		now := time.Now()
		g.round(ctx, g.e.limits.MeasureDemand(now.Sub(last)))
		last = now
	}
}

// pause returns the interval with jitter.
func (g *gossip) pause() time.Duration {
	return time.Duration(float64(g.interval()) * (1 - gossipJitter + 2*gossipJitter*g.rng.Float64()))
}

func (g *gossip) interval() time.Duration {
	if len(g.e.view.Entries())+1 >= manyEntries {
		return slowGossipInterval
	}
	return gossipInterval
}

// round updates this entry's shares of the limits and makes one exchange.
func (g *gossip) round(ctx context.Context, demand map[string]float64) {
	peers := g.e.view.Entries()
	entries := len(peers) + 1
	g.average.Tick(time.Now(), g.interval(), entries, demand)
	g.e.limits.SetShares(limits.Shares(g.average.Mean(), entries))
	if len(peers) == 0 {
		return
	}
	peers = membership.Neighbours(g.e.cfg.ID, peers, gossipPeers)
	peer := peers[g.rng.IntN(len(peers))]
	offer := g.average.Offer()
	offer.Entries = entries
	offer.Members = g.e.watcher.GossipBatch()
	offer.ContentEvents = g.e.quarantineEvents()
	reply, err := g.exchange(ctx, peer.Addr, offer)
	if err != nil {
		g.e.cfg.Log.WithError(err).WithField("peer", peer.ID).Debug("gossip exchange failed")
		return
	}
	g.e.watcher.MergeGossip(reply.Members)
	g.e.mergeQuarantineEvents(reply.ContentEvents)
	g.average.ApplyReply(time.Now(), offer, *reply, entries, demand)
}

// exchange sends an offer to another entry and returns its answer.
func (g *gossip) exchange(ctx context.Context, addr string, offer wire.Gossip) (*wire.Gossip, error) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	s, err := g.e.cfg.Dialer.Open(ctx, addr)
	if err != nil {
		return nil, trace.Wrap(err, "step %s, peer %s", stepGossip, addr)
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Send(&wire.Request{Header: g.e.header(), Gossip: &offer}); err != nil {
		return nil, trace.Wrap(err, "step %s, peer %s", stepGossip, addr)
	}
	var reply wire.Reply
	if err := s.Recv(&reply); err != nil {
		return nil, trace.Wrap(err, "step %s, peer %s", stepGossip, addr)
	}
	g.e.sync.observe(reply.Header)
	if reply.Gossip == nil {
		return nil, trace.BadParameter("step %s, peer %s: no gossip in the answer", stepGossip, addr)
	}
	return reply.Gossip, nil
}

// answer answers an exchange that another entry started.
func (g *gossip) answer(offer *wire.Gossip) wire.Reply {
	entries := len(g.e.view.Entries()) + 1
	reply := g.average.HandleOffer(time.Now(), *offer, entries, g.e.limits.Demand())
	reply.Entries = entries
	reply.Members = g.e.watcher.GossipBatch()
	reply.ContentEvents = g.e.quarantineEvents()
	g.e.watcher.MergeGossip(offer.Members)
	g.e.mergeQuarantineEvents(offer.ContentEvents)
	return wire.Reply{Header: g.e.header(), Gossip: &reply}
}
