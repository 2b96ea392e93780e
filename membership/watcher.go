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

// WatcherConfig holds the dependencies and settings of a Watcher.
type WatcherConfig struct {
	// EntryID and Zone are the id and the availability zone of this entry.
	EntryID string
	Zone    string
	View    *View
	Dialer  transport.Dialer
	List    platform.InstanceList
	// Header returns the header for a watch request.
	Header func() wire.Header
	// Observe is called with the header of each report; it may be nil.
	Observe func(wire.Header)
	// Subset is the mean number of agents that an entry watches, over all entries.
	Subset int
	// ListInterval is the shortest interval between two reads of the instance list.
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
	// silentIntervals is the number of MaxIntervals without a report after which an agent is
	// suspect.
	silentIntervals = 3
	minRedialDelay  = 50 * time.Millisecond
	maxRedialDelay  = 2 * time.Second
)

// Watcher keeps a View up to date: it reads the instance list, chooses the subset of agents to
// watch, and keeps a watch stream to each of them.
type Watcher struct {
	cfg     WatcherConfig
	mu      sync.Mutex
	watches map[watchKey]context.CancelFunc
	wg      sync.WaitGroup
	// lastList is the last instance list with the members gossiped since. Only the goroutine
	// of Run uses it.
	lastList []platform.Instance
	gossip   *Gossip
	gossiped chan []platform.Instance
}

// watchKey identifies a watch stream. An id can come back at another address, and a fleet that
// grows or shrinks changes the interval of reports.
type watchKey struct {
	id, addr string
	shortest time.Duration
	longest  time.Duration
}

// NewWatcher returns a watcher. Zero intervals and sizes are replaced by their defaults.
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
		cfg: cfg, watches: map[watchKey]context.CancelFunc{}, gossip: NewGossip(), gossiped: make(chan []platform.Instance, maxQueuedMembers),
	}
}

// Run reads the list and watches agents until ctx is cancelled.
func (w *Watcher) Run(ctx context.Context) {
	defer w.wg.Wait()
	for ctx.Err() == nil {
		interval := w.listInterval(w.refresh(ctx))
		w.awaitListDue(ctx, interval)
	}
}

// listInterval returns the time until the next read of the list. A failed read is retried
// early. Jitter spreads the reads of entries that started together.
func (w *Watcher) listInterval(read bool) time.Duration {
	interval := ListInterval(w.cfg.ListInterval, len(w.lastList))
	if !read {
		interval = time.Duration(float64(interval) * earlyShare)
	}
	if interval <= w.cfg.ListInterval {
		return w.cfg.ListInterval
	}
	return time.Duration(float64(interval) * (1 - listJitter + 2*listJitter*rand.Float64()))
}

// awaitListDue waits until the list is to be read again or ctx is cancelled, and meanwhile
// applies the members that other entries gossip.
func (w *Watcher) awaitListDue(ctx context.Context, interval time.Duration) {
	read := time.Now()
	tick := time.NewTicker(w.cfg.ListInterval)
	defer tick.Stop()
	for !listDue(time.Since(read), interval, w.cfg.View.Snapshot()) {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case members := <-w.gossiped:
			w.apply(ctx, merge(w.lastList, members, w.cfg.View.Snapshot()))
		}
	}
}

// GossipBatch returns the members for the next gossip message to another entry.
func (w *Watcher) GossipBatch() []wire.Member { return w.gossip.NextBatch() }

// MergeGossip passes on the members that another entry gossips. It never blocks: if the
// channel is full, the members are dropped and found on the next read of the list.
func (w *Watcher) MergeGossip(members []wire.Member) {
	fresh := w.gossip.Merge(members)
	if len(fresh) == 0 {
		return
	}
	select {
	case w.gossiped <- fresh:
	default:
	}
}

// merge adds gossiped instances to a list. A gossiped address replaces the listed one unless
// the agent at the listed one is live: gossip is newer than the list, but an agent's own
// reports are newer than both.
func merge(listed, gossiped []platform.Instance, snap *Snapshot) []platform.Instance {
	merged := slices.Clone(listed)
	for _, in := range gossiped {
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

// refresh reads the list once and returns whether that succeeded. If it fails, the view stays
// as it is.
func (w *Watcher) refresh(ctx context.Context) bool {
	instances, err := w.cfg.List.Instances(ctx)
	if err != nil {
		w.cfg.Log.WithError(err).Warn("instance list not read; the last view stays")
		return false
	}
	w.gossip.AddNew(w.lastList, instances)
	w.apply(ctx, instances)
	return true
}

// apply updates the view with a list, and starts and stops watches to match its subset.
func (w *Watcher) apply(ctx context.Context, instances []platform.Instance) {
	subset := Subset(w.cfg.EntryID, w.cfg.Zone, instances, w.cfg.Subset)
	w.cfg.View.SetEntries(w.otherEntries(instances))
	w.cfg.View.ApplyList(subset)
	w.lastList = instances
	keys := w.watchKeys(instances, subset)
	w.startWatches(ctx, subset, keys)
	w.stopWatches(instances, keys)
}

// watchKeys returns the keys of the watches of a subset, in the order of the subset.
func (w *Watcher) watchKeys(instances, subset []platform.Instance) []watchKey {
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

// startWatches starts a watch for each agent of the subset that is not watched yet.
func (w *Watcher) startWatches(ctx context.Context, subset []platform.Instance, keys []watchKey) {
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

// stopWatches cancels the watches of agents that are no longer in the subset. An agent that is
// not on the list at all stays watched while its reports arrive, since the list lags behind.
func (w *Watcher) stopWatches(listed []platform.Instance, keys []watchKey) {
	inSubset := make(map[watchKey]bool, len(keys))
	for _, key := range keys {
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
			w.cfg.View.MarkSuspect(key.id) // and removed at the next read of the list
		}
	}
}

// isWatched returns whether a watch of the agent is running. The caller holds w.mu.
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

// watch keeps a watch stream to one agent and reopens it, with backoff, when it breaks.
func (w *Watcher) watch(ctx context.Context, in platform.Instance, key watchKey) {
	delays := retry.NewBackoff(minRedialDelay, maxRedialDelay)
	for ctx.Err() == nil {
		reports := w.watchOnce(ctx, in, key)
		if ctx.Err() != nil {
			return
		}
		w.cfg.View.MarkSuspect(in.ID)
		if reports > 0 {
			delays.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(delays.NextBackOff()):
		}
	}
}

// watchOnce opens one watch stream, handles its reports until it closes, and returns their
// number.
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
	timeout := silentIntervals * key.longest
	timer := time.AfterFunc(timeout, func() { s.Close() })
	defer timer.Stop()
	reports := 0
	for {
		var r wire.Reply
		if err := s.Recv(&r); err != nil {
			return reports
		}
		timer.Reset(timeout)
		reports++
		w.handleReply(&r)
	}
}

func (w *Watcher) handleReply(r *wire.Reply) {
	if w.cfg.Observe != nil {
		w.cfg.Observe(r.Header)
	}
	if r.Report != nil {
		w.cfg.View.ApplyReport(r.Header, *r.Report, time.Now())
	}
}
