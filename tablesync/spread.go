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
	// DefaultFanout leaves 0.03% of many entries without a notice in the mean;
	// those learn from later headers and from the table service.
	DefaultFanout           = 8
	DefaultMaxConcurrent    = 64
	DefaultCallTimeout      = 2 * time.Second
	DefaultRenotifyInterval = 5 * time.Second
)

// Bounds of what is kept between calls.
const (
	maxSources  = 8    // peers remembered as having the wanted version
	maxLaggards = 4096 // peers remembered as being behind
)

// Peer is a process that takes part in spreading.
type Peer struct {
	ID   string
	Addr string // "ip:port"
}

// SpreadConfig configures a Spread. Zero values take the defaults.
type SpreadConfig struct {
	// Self is the header of this process; its table version is filled in.
	Self   func() wire.Header
	Dialer transport.Dialer
	Holder *Holder
	// Entries lists the entries known, perhaps with this process among them.
	Entries func() []Peer
	// Watched lists the agents that this process watches; nil for an agent.
	Watched func() []Peer
	// Fanout is how many entries get a notice of each version.
	Fanout int
	// MaxConcurrent bounds the notices under way.
	MaxConcurrent int
	// CallTimeout bounds one call of a peer.
	CallTimeout time.Duration
	// RenotifyInterval is how often peers that are still behind get a notice.
	RenotifyInterval time.Duration
	// Rand draws the entries; nil draws from the runtime's source.
	Rand *rand.Rand
	Log  logrus.FieldLogger
}

// SpreadStats counts what a Spread did.
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

// Spread passes versions on between our processes. After each install it sends
// a notice, a message of some hundred bytes, to a few entries and to the
// watched agents; a process that learns of a newer version by a notice, or by
// the header of any other message, pulls the document once. So each process
// receives each document once, and no one has to know all processes.
type Spread struct {
	config SpreadConfig
	wake   chan struct{}
	// lagging is the length of laggards, for Observe's short way.
	lagging atomic.Int64

	mu sync.Mutex
	// wanted is the newest version heard of; sources have it, the latest heard last.
	wanted   uint64
	sources  []string
	laggards map[string]uint64 // address to the version in force there
	stats    SpreadStats
}

// NewSpread returns a Spread that does nothing until Run.
func NewSpread(c SpreadConfig) *Spread {
	setDefault(&c.Fanout, DefaultFanout)
	setDefault(&c.MaxConcurrent, DefaultMaxConcurrent)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.RenotifyInterval, DefaultRenotifyInterval)
	return &Spread{config: c, wake: make(chan struct{}, 1), laggards: make(map[string]uint64)}
}

// Run pulls and sends notices until ctx ends.
func (s *Spread) Run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { s.runPulls(ctx) })
	both.Go(func() { s.runNotices(ctx) })
	both.Wait()
}

// Observe takes note of a peer's header, of any message. It is cheap and never
// blocks: call it for each message.
func (s *Spread) Observe(header wire.Header) {
	have := s.config.Holder.Version()
	if header.Addr == "" || header.TableVersion == have && s.lagging.Load() == 0 {
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
	s.lagging.Store(int64(len(s.laggards)))
	if header.TableVersion > have {
		s.want(header.TableVersion, header.Addr)
	}
}

// want remembers a source of a version. The caller holds the lock.
func (s *Spread) want(version uint64, addr string) {
	if version < s.wanted {
		return
	}
	if version > s.wanted {
		s.wanted = version
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

// Stats returns the counts so far.
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

// runPulls pulls one document at a time.
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

// takeSource takes the latest heard source of a newer version.
func (s *Spread) takeSource() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.sources) - 1
	if last < 0 {
		s.wanted = 0 // no one who has it answers; be content with less
		return "", false
	}
	if s.config.Holder.Version() >= s.wanted {
		s.sources = nil
		return "", false
	}
	addr := s.sources[last]
	s.sources = s.sources[:last]
	return addr, true
}

// Pull asks one peer for its document and installs it if it is newer.
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

// call makes one call of a peer and returns its first reply.
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

// errNoPeer says that no peer could be asked.
var errNoPeer = errors.New("no peer is known")

// Bootstrap asks some of the peers at once and installs the newest document
// among their answers. It returns an error when no peer had any.
func (s *Spread) Bootstrap(ctx context.Context, peers []Peer) error {
	chosen := s.choose(peers, s.config.Fanout)
	errs := make([]error, len(chosen))
	var group errgroup.Group
	group.SetLimit(s.config.MaxConcurrent)
	for i, peer := range chosen {
		group.Go(func() error {
			errs[i] = s.Pull(ctx, peer.Addr)
			return nil
		})
	}
	_ = group.Wait() // the errors are in errs
	if s.config.Holder.Version() > 0 {
		return nil
	}
	if len(chosen) == 0 {
		return trace.Wrap(errNoPeer, "step table.bootstrap")
	}
	return trace.Wrap(errors.Join(append(errs, errors.New("no peer has a table"))...), "step table.bootstrap")
}
