package tablesync

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"mulberryscale.example/wire"
)

// runNotices sends notices after each install, and each RenotifyInterval to the peers
// that are known to be behind.
func (s *Spread) runNotices(ctx context.Context) {
	renotify := time.NewTicker(s.config.RenotifyInterval)
	defer renotify.Stop()
	var announced uint64
	for {
		changed := s.config.Holder.Changed()
		if version := s.config.Holder.Version(); version > announced {
			announced = version
			s.sendNotices(ctx, s.noticePeers())
			continue // another version may have been installed meanwhile
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-renotify.C:
			s.sendNotices(ctx, s.takeLaggards())
		}
	}
}

// noticePeers lists the recipients of the notices of an install: a random sample of the
// entries and all watched agents.
func (s *Spread) noticePeers() []Peer {
	peers := s.sample(s.config.Entries(), s.config.Fanout)
	if s.config.Watched != nil {
		peers = append(peers, s.config.Watched()...)
	}
	return peers
}

// sample returns up to n random peers other than this process.
func (s *Spread) sample(peers []Peer, n int) []Peer {
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

// takeLaggards returns and forgets the peers that are behind. Observe adds one that
// stays behind again at its next message.
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
	s.laggardCount.Store(0)
	return peers
}

// sendNotices sends a notice to each peer, up to MaxConcurrent at a time.
func (s *Spread) sendNotices(ctx context.Context, peers []Peer) {
	var group errgroup.Group
	group.SetLimit(s.config.MaxConcurrent)
	for _, peer := range peers {
		group.Go(func() error {
			s.sendNotice(ctx, peer)
			return nil
		})
	}
	_ = group.Wait() // no notice returns an error
}

// sendNotice sends a PullTable to a peer. The header of the request announces the
// version in force here, and the reply returns a newer document if the peer has one.
func (s *Spread) sendNotice(ctx context.Context, peer Peer) {
	version := s.config.Holder.Version()
	reply, err := s.call(ctx, peer.Addr, wire.Request{PullTable: &wire.PullTable{Have: version}})
	s.count(func(st *SpreadStats) {
		st.Notices++
		if err != nil {
			st.NoticeFailures++
		}
	})
	if err != nil {
		s.config.Log.WithError(err).WithField("peer", peer.Addr).Debug("table notice failed")
		return
	}
	if reply.Table != nil {
		if err := s.install(reply); err != nil {
			s.config.Log.WithError(err).WithField("peer", peer.Addr).Error("table from peer rejected")
		}
		return
	}
	reply.Header.Addr = peer.Addr
	s.Observe(reply.Header) // sends another notice if the peer is still behind after RenotifyInterval
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
