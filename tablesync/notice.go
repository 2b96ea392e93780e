package tablesync

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"mulberryscale.example/wire"
)

// runNotices sends notices after each install and, now and then, to the peers
// that are known to be behind.
func (s *Spread) runNotices(ctx context.Context) {
	renotice := time.NewTicker(s.config.RenotifyInterval)
	defer renotice.Stop()
	var noticed uint64
	for {
		changed := s.config.Holder.Changed()
		if version := s.config.Holder.Version(); version > noticed {
			noticed = version
			s.notify(ctx, s.noticePeers())
			continue // a version may have come meanwhile
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-renotice.C:
			s.notify(ctx, s.takeLaggards())
		}
	}
}

// noticePeers lists whom an install concerns: some entries and all watched agents.
func (s *Spread) noticePeers() []Peer {
	peers := s.choose(s.config.Entries(), s.config.Fanout)
	if s.config.Watched != nil {
		peers = append(peers, s.config.Watched()...)
	}
	return peers
}

// choose draws up to n peers, without this process.
func (s *Spread) choose(peers []Peer, n int) []Peer {
	self := s.config.Self().From
	others := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if p.ID != self {
			others = append(others, p)
		}
	}
	shuffle := rand.Shuffle
	if s.config.Rand != nil {
		shuffle = s.config.Rand.Shuffle
	}
	shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}

// takeLaggards takes the peers that are behind. One that stays behind is noted
// again by its next message.
func (s *Spread) takeLaggards() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.config.Holder.Version()
	peers := make([]Peer, 0, len(s.laggards))
	for addr, version := range s.laggards {
		if version < have {
			peers = append(peers, Peer{Addr: addr})
		}
	}
	clear(s.laggards)
	s.lagging.Store(0)
	return peers
}

// notify sends notices, a bounded number at a time.
func (s *Spread) notify(ctx context.Context, peers []Peer) {
	var group errgroup.Group
	group.SetLimit(s.config.MaxConcurrent)
	for _, peer := range peers {
		group.Go(func() error {
			s.notice(ctx, peer)
			return nil
		})
	}
	_ = group.Wait() // no notice returns an error
}

// notice asks a peer for anything newer than the version in force here. The
// header of the question tells the peer of this version, and the peer's answer
// is observed in turn.
func (s *Spread) notice(ctx context.Context, peer Peer) {
	version := s.config.Holder.Version()
	reply, err := s.call(ctx, peer.Addr, wire.Request{PullTable: &wire.PullTable{Have: version}})
	s.count(func(st *SpreadStats) {
		st.Notices++
		if err != nil {
			st.NoticeFailures++
		}
	})
	if err != nil {
		s.config.Log.WithError(err).WithField("peer", peer.Addr).Debug("notice of the table failed")
		return
	}
	if reply.Table != nil {
		if err := s.install(reply); err != nil {
			s.config.Log.WithError(err).WithField("peer", peer.Addr).Error("a peer's table was refused")
		}
		return
	}
	reply.Header.Addr = peer.Addr
	s.Observe(reply.Header) // if it is still behind at the next renotice it gets another
	if reply.Header.TableVersion < version && s.config.Self().Addr == "" {
		s.push(ctx, peer) // the peer cannot pull from here
	}
}

func (s *Spread) push(ctx context.Context, peer Peer) {
	doc := s.config.Holder.Document()
	_, err := s.call(ctx, peer.Addr, wire.Request{PushTable: doc})
	s.count(func(st *SpreadStats) { st.Pushes++ })
	if err != nil {
		s.config.Log.WithError(err).WithField("peer", peer.Addr).Warn("pushing the table failed")
	}
}
