package tablesync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// Defaults of SpreadConfig.
const (
	// DefaultFanout leaves 0.03% of many entries without a notice on average. They learn
	// of the version from the header of a later message or from the table service.
	DefaultFanout           = 8
	DefaultMaxConcurrent    = 64
	DefaultCallTimeout      = 2 * time.Second
	DefaultRenotifyInterval = 5 * time.Second
)

// Bounds of the peers that are remembered.
const (
	maxSources  = 8    // peers that have the wanted version
	maxLaggards = 4096 // peers that are behind
)

// Peer is a process that takes part in the dissemination of versions.
type Peer struct {
	ID   string
	Addr string // "ip:port"
}

// SpreadConfig configures a Spread. Zero numbers and durations take the defaults.
type SpreadConfig struct {
	// Self returns the header of this process. Spread sets its table version.
	Self   func() wire.Header
	Dialer transport.Dialer
	Holder *Holder
	// Entries lists the known entries. The list may include this process.
	Entries func() []Peer
	// Watched lists the agents that this process watches. It is nil in an agent.
	Watched func() []Peer
	// Fanout is the number of entries that get a notice of each version.
	Fanout int
	// MaxConcurrent bounds the notices in flight.
	MaxConcurrent int
	// CallTimeout bounds one call to a peer.
	CallTimeout time.Duration
	// RenotifyInterval is how often peers that are still behind get a notice.
	RenotifyInterval time.Duration
	// Rand selects the entries; nil selects the global source of math/rand/v2.
	Rand *rand.Rand
	Log  logrus.FieldLogger
}

// SpreadStats holds the counters of a Spread.
type SpreadStats struct {
	Notices        int64 `json:"notices"`
	NoticeFailures int64 `json:"notice_failures"`
	Pushes         int64 `json:"pushes"`
	Pulls          int64 `json:"pulls"`
	PullFailures   int64 `json:"pull_failures"`
	Installs       int64 `json:"installs"`
	// Rejected counts documents that could not be installed.
	Rejected int64 `json:"rejected"`
}

// Spread disseminates versions between our processes by gossip. After each install it
// sends a notice, a message of some hundred bytes, to a few random entries and to the
// watched agents. A process that learns of a newer version from a notice, or from the
// header of any other message, pulls the document once. So each process receives each
// document once, and no process needs to know all others.
type Spread struct {
	config SpreadConfig
	wake   chan struct{}
	// laggardCount is the length of laggards, for the fast path of Observe without the lock.
	laggardCount atomic.Int64

	mu sync.Mutex
	// wantedVersion is the newest version known to exist. sources are the addresses of
	// peers that have it, the most recently seen last.
	wantedVersion uint64
	sources       []string
	laggards      map[string]uint64 // by address: the version in force there
	stats         SpreadStats
}

// NewSpread returns a Spread that neither pulls nor sends notices before Run.
func NewSpread(c SpreadConfig) *Spread {
	setDefault(&c.Fanout, DefaultFanout)
	setDefault(&c.MaxConcurrent, DefaultMaxConcurrent)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.RenotifyInterval, DefaultRenotifyInterval)
	return &Spread{config: c, wake: make(chan struct{}, 1), laggards: make(map[string]uint64)}
}

// Run pulls documents and sends notices until ctx is cancelled.
func (s *Spread) Run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { s.runPulls(ctx) })
	both.Go(func() { s.runNotices(ctx) })
	both.Wait()
}

// Observe records the table version in the header of a peer's message. It is cheap and
// never blocks on I/O; call it for each message.
func (s *Spread) Observe(header wire.Header) {
	have := s.config.Holder.Version()
	if header.Addr == "" || header.TableVersion == have && s.laggardCount.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case header.TableVersion >= have:
		delete(s.laggards, header.Addr)
	case len(s.laggards) < maxLaggards:
		s.laggards[header.Addr] = header.TableVersion
	}
	s.laggardCount.Store(int64(len(s.laggards)))
	if header.TableVersion > have {
		s.addSource(header.TableVersion, header.Addr)
	}
}

// addSource records that a peer has a version. The caller holds s.mu.
func (s *Spread) addSource(version uint64, addr string) {
	if version < s.wantedVersion {
		return
	}
	if version > s.wantedVersion {
		s.wantedVersion = version
		s.sources = nil
	}
	for _, known := range s.sources {
		if known == addr {
			return
		}
	}
	if len(s.sources) == maxSources {
		s.sources = s.sources[1:]
	}
	s.sources = append(s.sources, addr)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Stats returns the current counters.
func (s *Spread) Stats() SpreadStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Spread) count(f func(*SpreadStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

// runPulls pulls newer documents, one at a time.
func (s *Spread) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for ctx.Err() == nil {
			addr, ok := s.takeSource()
			if !ok {
				break
			}
			if err := s.Pull(ctx, addr); err != nil {
				s.config.Log.WithError(err).WithField("peer", addr).Warn("pulling the table failed")
			}
		}
	}
}

// takeSource removes and returns the most recently seen source of a newer version.
func (s *Spread) takeSource() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.sources) - 1
	if last < 0 {
		s.wantedVersion = 0 // no source responded: accept an older version than this one
		return "", false
	}
	if s.config.Holder.Version() >= s.wantedVersion {
		s.sources = nil
		return "", false
	}
	addr := s.sources[last]
	s.sources = s.sources[:last]
	return addr, true
}

// Pull requests the document of a peer and installs it if it is newer.
func (s *Spread) Pull(ctx context.Context, addr string) error {
	reply, err := s.call(ctx, addr, wire.Request{PullTable: &wire.PullTable{Have: s.config.Holder.Version()}})
	s.count(func(st *SpreadStats) {
		st.Pulls++
		if err != nil {
			st.PullFailures++
		}
	})
	if err != nil || reply.Table == nil {
		return err
	}
	return s.install(reply)
}

// install puts the document of a reply in force if it is newer.
func (s *Spread) install(reply wire.Reply) error {
	installed, err := s.config.Holder.Install(*reply.Table)
	s.count(func(st *SpreadStats) {
		if installed {
			st.Installs++
		}
		if err != nil {
			st.Rejected++
		}
	})
	if err != nil {
		return trace.Wrap(err, "step table.install, peer %s", reply.Header.From)
	}
	return nil
}

// call sends a request to a peer and returns its first reply. It returns the peer's
// refusal as an error.
func (s *Spread) call(ctx context.Context, addr string, req wire.Request) (wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	stream, err := s.config.Dialer.Open(ctx, addr)
	if err != nil {
		return wire.Reply{}, trace.Wrap(err, "step table.call, peer %s", addr)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	req.Header = s.config.Self()
	req.Header.TableVersion = s.config.Holder.Version()
	if err := stream.Send(&req); err != nil {
		return wire.Reply{}, trace.Wrap(err, "step table.call, peer %s", addr)
	}
	if err := stream.CloseSend(); err != nil {
		return wire.Reply{}, trace.Wrap(err, "step table.call, peer %s", addr)
	}
	var reply wire.Reply
	if err := stream.Recv(&reply); err != nil {
		return wire.Reply{}, trace.Wrap(err, "step table.call, peer %s", addr)
	}
	if reply.Refusal != nil {
		return wire.Reply{}, trace.Wrap(reply.Refusal)
	}
	return reply, nil
}

// errNoPeer means that there is no peer to query.
var errNoPeer = errors.New("no peer is known")

// Bootstrap queries some of the peers concurrently and installs the newest document
// that they return. It returns an error if there is still no table in force.
func (s *Spread) Bootstrap(ctx context.Context, peers []Peer) error {
	sampled := s.sample(peers, s.config.Fanout)
	errs := make([]error, len(sampled))
	var group errgroup.Group
	group.SetLimit(s.config.MaxConcurrent)
	for i, peer := range sampled {
		group.Go(func() error {
			errs[i] = s.Pull(ctx, peer.Addr)
			return nil
		})
	}
	_ = group.Wait() // the errors are in errs
	if s.config.Holder.Version() > 0 {
		return nil
	}
	if len(sampled) == 0 {
		return trace.Wrap(errNoPeer, "step table.bootstrap")
	}
	return trace.Wrap(errors.Join(append(errs, errors.New("no peer has a table"))...), "step table.bootstrap")
}
