package membership

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/platform"
	"mulberryscale.example/retry"
	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// WatcherConfig holds a watcher's dependencies and intervals.
type WatcherConfig struct {
	// EntryID and Zone are this entry's own.
	EntryID string
	Zone    string
	View    *View
	Dialer  transport.Dialer
	List    platform.InstanceList
	// Header makes the header of a watch request.
	Header func() wire.Header
	// Observe takes in the header of each report; it may be nil.
	Observe func(wire.Header)
	// Subset is how many agents are watched at most.
	Subset int
	// ListInterval is how often the instance list is read.
	ListInterval time.Duration
	// MinInterval and MaxInterval bound the time between two reports of an agent.
	MinInterval time.Duration
	MaxInterval time.Duration
	Log         logrus.FieldLogger
}

// Defaults of WatcherConfig.
const (
	DefaultSubset       = 64
	DefaultListInterval = 2 * time.Second
	DefaultMinInterval  = 50 * time.Millisecond
	DefaultMaxInterval  = time.Second
	// silentIntervals is how many MaxIntervals without a report make a suspect.
	silentIntervals = 3
	firstRedial     = 50 * time.Millisecond
	mostRedial      = 2 * time.Second
)

// Watcher keeps a View up to date: it reads the instance list, chooses the
// subset to watch, and holds one watch stream to each agent of it.
type Watcher struct {
	cfg     WatcherConfig
	mu      sync.Mutex
	watches map[watchKey]context.CancelFunc
	wg      sync.WaitGroup
}

// watchKey names one watch stream: an id can come back at another address.
type watchKey struct{ id, addr string }

// NewWatcher returns a watcher; zero intervals and sizes get their defaults.
func NewWatcher(cfg WatcherConfig) *Watcher {
	if cfg.Subset == 0 {
		cfg.Subset = DefaultSubset
	}
	if cfg.ListInterval == 0 {
		cfg.ListInterval = DefaultListInterval
	}
	if cfg.MinInterval == 0 {
		cfg.MinInterval = DefaultMinInterval
	}
	if cfg.MaxInterval == 0 {
		cfg.MaxInterval = DefaultMaxInterval
	}
	return &Watcher{cfg: cfg, watches: map[watchKey]context.CancelFunc{}}
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.wg.Wait()
	for {
		w.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.cfg.ListInterval):
		}
	}
}

// refresh reads the list once. When the list is down, the last view stays.
func (w *Watcher) refresh(ctx context.Context) {
	instances, err := w.cfg.List.Instances(ctx)
	if err != nil {
		w.cfg.Log.WithError(err).Warn("instance list not read; the last view stays")
		return
	}
	subset := Subset(w.cfg.EntryID, w.cfg.Zone, instances, w.cfg.Subset)
	w.cfg.View.ListedEntries(w.otherEntries(instances))
	w.cfg.View.Listed(subset)
	w.follow(ctx, subset)
	w.unfollow(instances, subset)
}

func (w *Watcher) otherEntries(instances []platform.Instance) []platform.Instance {
	var entries []platform.Instance
	for _, in := range instances {
		if in.Role == platform.RoleEntry && in.ID != w.cfg.EntryID {
			entries = append(entries, in)
		}
	}
	return entries
}

// follow starts a watch for each agent of the subset that has none.
func (w *Watcher) follow(ctx context.Context, subset []platform.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, in := range subset {
		key := watchKey{in.ID, in.Addr}
		if _, running := w.watches[key]; running {
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		w.watches[key] = cancel
		w.wg.Go(func() { w.watch(watchCtx, in) })
	}
}

// unfollow ends the watches of agents that left the subset. An agent that the
// list does not name at all stays watched while its reports arrive, since the
// list lags.
func (w *Watcher) unfollow(listed, subset []platform.Instance) {
	inSubset := make(map[watchKey]bool, len(subset))
	for _, in := range subset {
		inSubset[watchKey{in.ID, in.Addr}] = true
	}
	isListed := make(map[string]bool, len(listed))
	for _, in := range listed {
		isListed[in.ID] = true
	}
	snap := w.cfg.View.Snapshot()
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, cancel := range w.watches {
		if inSubset[key] || (!isListed[key.id] && isLive(snap, key)) {
			continue
		}
		cancel()
		delete(w.watches, key)
	}
}

func isLive(snap *Snapshot, key watchKey) bool {
	a := snap.Agent(key.id)
	return a != nil && a.Addr == key.addr && a.State == StateLive
}

// watch holds the watch stream to one agent, redialling when it breaks.
func (w *Watcher) watch(ctx context.Context, in platform.Instance) {
	delays := retry.NewBackoff(firstRedial, mostRedial)
	for ctx.Err() == nil {
		got := w.watchOnce(ctx, in)
		w.cfg.View.Suspect(in.ID)
		if got > 0 {
			delays.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(delays.NextBackOff()):
		}
	}
}

// watchOnce returns how many reports one stream brought.
func (w *Watcher) watchOnce(ctx context.Context, in platform.Instance) int {
	s, err := w.cfg.Dialer.Open(ctx, in.Addr)
	if err != nil {
		w.cfg.Log.WithError(err).WithField("peer", in.ID).Debug("watch not opened")
		return 0
	}
	defer s.Close()
	watch := &wire.Watch{MinInterval: w.cfg.MinInterval, MaxInterval: w.cfg.MaxInterval}
	if err := s.Send(&wire.Request{Header: w.cfg.Header(), Watch: watch}); err != nil {
		return 0
	}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	silent := silentIntervals * w.cfg.MaxInterval
	timer := time.AfterFunc(silent, func() { s.Close() })
	defer timer.Stop()
	reports := 0
	for {
		var r wire.Reply
		if err := s.Recv(&r); err != nil {
			return reports
		}
		timer.Reset(silent)
		reports++
		w.take(&r)
	}
}

func (w *Watcher) take(r *wire.Reply) {
	if w.cfg.Observe != nil {
		w.cfg.Observe(r.Header)
	}
	if r.Report != nil {
		w.cfg.View.Reported(r.Header, *r.Report, time.Now())
	}
}
