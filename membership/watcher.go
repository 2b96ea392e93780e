package membership

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// Subset is how many agents an entry watches in the mean of all entries.
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
	DefaultSubset       = 48
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
	// listed is the list read last with what was heard since; Run alone uses it.
	listed []platform.Instance
	news   *Gossip
	heard  chan []platform.Instance
}

// watchKey names one watch stream: an id can come back at another address, and
// a fleet that grows or shrinks changes the interval of reports.
type watchKey struct {
	id, addr string
	shortest time.Duration
	longest  time.Duration
}

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
	return &Watcher{
		cfg: cfg, watches: map[watchKey]context.CancelFunc{}, news: NewGossip(), heard: make(chan []platform.Instance, mostNews),
	}
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.wg.Wait()
	for ctx.Err() == nil {
		interval := w.listInterval(w.refresh(ctx))
		w.awaitListDue(ctx, interval)
	}
}

// listInterval is when to read the list again. A reading that failed is
// repeated early; entries that started together come apart by jitter.
func (w *Watcher) listInterval(read bool) time.Duration {
	interval := ListInterval(w.cfg.ListInterval, len(w.listed))
	if !read {
		interval = time.Duration(float64(interval) * earlyShare)
	}
	if interval <= w.cfg.ListInterval {
		return w.cfg.ListInterval
	}
	return time.Duration(float64(interval) * (1 - listJitter + 2*listJitter*rand.Float64()))
}

// awaitListDue waits until the list is to be read again or ctx ends, and
// meanwhile takes in what other entries tell.
func (w *Watcher) awaitListDue(ctx context.Context, interval time.Duration) {
	read := time.Now()
	tick := time.NewTicker(w.cfg.ListInterval)
	defer tick.Stop()
	for !listDue(time.Since(read), interval, w.cfg.View.Snapshot()) {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case heard := <-w.heard:
			w.apply(ctx, merge(w.listed, heard, w.cfg.View.Snapshot()))
		}
	}
}

// GossipBatch is what this entry tells others of instances.
func (w *Watcher) GossipBatch() []wire.Member { return w.news.NextBatch() }

// MergeGossip takes in what another entry tells of instances. It never blocks: what
// finds no room is learnt from the list.
func (w *Watcher) MergeGossip(members []wire.Member) {
	fresh := w.news.Merge(members)
	if len(fresh) == 0 {
		return
	}
	select {
	case w.heard <- fresh:
	default:
	}
}

// merge adds instances that were heard of to a list. An address that was heard
// takes the place of a known one unless the agent there is live: the list is
// older than the news, but an agent's own reports are newer than both.
func merge(listed, heard []platform.Instance, snap *Snapshot) []platform.Instance {
	merged := slices.Clone(listed)
	for _, in := range heard {
		i := slices.IndexFunc(merged, func(known platform.Instance) bool { return known.ID == in.ID })
		if i < 0 {
			merged = append(merged, in)
			continue
		}
		if a := snap.Agent(in.ID); a == nil || a.State != StateLive {
			merged[i] = in
		}
	}
	return merged
}

// refresh reads the list once and says whether it could. When the list is down,
// the last view stays.
func (w *Watcher) refresh(ctx context.Context) bool {
	instances, err := w.cfg.List.Instances(ctx)
	if err != nil {
		w.cfg.Log.WithError(err).Warn("instance list not read; the last view stays")
		return false
	}
	w.news.AddNew(w.listed, instances)
	w.apply(ctx, instances)
	return true
}

// apply chooses the agents to watch from a list.
func (w *Watcher) apply(ctx context.Context, instances []platform.Instance) {
	subset := Subset(w.cfg.EntryID, w.cfg.Zone, instances, w.cfg.Subset)
	w.cfg.View.SetEntries(w.otherEntries(instances))
	w.cfg.View.ApplyList(subset)
	w.listed = instances
	wanted := w.keys(instances, subset)
	w.follow(ctx, subset, wanted)
	w.unfollow(instances, wanted)
}

// keys names the watches of a subset, in its order.
func (w *Watcher) keys(instances, subset []platform.Instance) []watchKey {
	agents := 0
	for _, in := range instances {
		if in.Role == platform.RoleAgent {
			agents++
		}
	}
	shortest, longest := WatchIntervals(w.cfg.MinInterval, w.cfg.MaxInterval, len(subset), agents)
	keys := make([]watchKey, len(subset))
	for i, in := range subset {
		keys[i] = watchKey{in.ID, in.Addr, shortest, longest}
	}
	return keys
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
func (w *Watcher) follow(ctx context.Context, subset []platform.Instance, keys []watchKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, in := range subset {
		key := keys[i]
		if _, running := w.watches[key]; running {
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		w.watches[key] = cancel
		w.wg.Go(func() { w.watch(watchCtx, in, key) })
	}
}

// unfollow ends the watches of agents that left the subset. An agent that the
// list does not name at all stays watched while its reports arrive, since the
// list lags.
func (w *Watcher) unfollow(listed []platform.Instance, wanted []watchKey) {
	inSubset := make(map[watchKey]bool, len(wanted))
	for _, key := range wanted {
		inSubset[key] = true
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
		if !w.isWatched(key.id) {
			w.cfg.View.MarkSuspect(key.id) // and forgotten at the next reading of the list
		}
	}
}

// isWatched says whether a watch of the agent runs. The caller holds the lock.
func (w *Watcher) isWatched(id string) bool {
	for key := range w.watches {
		if key.id == id {
			return true
		}
	}
	return false
}

func isLive(snap *Snapshot, key watchKey) bool {
	a := snap.Agent(key.id)
	return a != nil && a.Addr == key.addr && a.State == StateLive
}

// watch holds the watch stream to one agent, redialling when it breaks.
func (w *Watcher) watch(ctx context.Context, in platform.Instance, key watchKey) {
	delays := retry.NewBackoff(firstRedial, mostRedial)
	for ctx.Err() == nil {
		got := w.watchOnce(ctx, in, key)
		if ctx.Err() != nil {
			return
		}
		w.cfg.View.MarkSuspect(in.ID)
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
func (w *Watcher) watchOnce(ctx context.Context, in platform.Instance, key watchKey) int {
	s, err := w.cfg.Dialer.Open(ctx, in.Addr)
	if err != nil {
		w.cfg.Log.WithError(err).WithField("peer", in.ID).Debug("watch not opened")
		return 0
	}
	defer s.Close()
	watch := &wire.Watch{MinInterval: key.shortest, MaxInterval: key.longest}
	if err := s.Send(&wire.Request{Header: w.cfg.Header(), Watch: watch}); err != nil {
		return 0
	}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	silent := silentIntervals * key.longest
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
		w.cfg.View.ApplyReport(r.Header, *r.Report, time.Now())
	}
}
