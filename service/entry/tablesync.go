package entry

import (
	"context"
	"sync"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/membership"
	"mulberryscale.example/platform"
	"mulberryscale.example/tablestore"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/wire"
)

// bootstrapRetry is the delay between two attempts of an entry without a table to get one.
const bootstrapRetry = 500 * time.Millisecond

// tableSync keeps the entry's table up to date and records the table versions of the
// other processes.
type tableSync struct {
	e      *Entry
	poller *tablesync.Poller
	spread *tablesync.Spread

	mu sync.Mutex
	// lastHeaders holds the last header received from each process, by process id.
	lastHeaders map[string]receivedHeader
}

type receivedHeader struct {
	header wire.Header
	at     time.Time
}

func newTableSync(e *Entry) *tableSync {
	t := &tableSync{e: e, lastHeaders: map[string]receivedHeader{}}
	t.poller = tablesync.NewPoller(tablesync.PollerConfig{
		Reader: tablestore.New(e.cfg.Table), Holder: e.cfg.Holder, Log: e.cfg.Log,
		Entries: func() int { return len(e.view.Entries()) + 1 },
	})
	t.spread = tablesync.NewSpread(tablesync.SpreadConfig{
		Self: e.header, Dialer: e.cfg.Dialer, Holder: e.cfg.Holder, Log: e.cfg.Log,
		Entries: t.neighbours, Watched: t.watchedAgents,
	})
	return t
}

// neighbours returns this entry's neighbours among the other entries, to which it keeps
// connections. An entry that no other entry has as a neighbour gets the table version from the
// headers of its own exchanges.
func (t *tableSync) neighbours() []tablesync.Peer {
	var peers []tablesync.Peer
	for _, in := range membership.Neighbours(t.e.cfg.ID, t.e.view.Entries(), gossipPeers) {
		peers = append(peers, tablesync.Peer{ID: in.ID, Addr: in.Addr})
	}
	return peers
}

func (t *tableSync) watchedAgents() []tablesync.Peer {
	var peers []tablesync.Peer
	for _, a := range t.e.view.Snapshot().Agents {
		peers = append(peers, tablesync.Peer{ID: a.ID, Addr: a.Addr})
	}
	return peers
}

// observe records the header of a message from another process.
func (t *tableSync) observe(h wire.Header) {
	t.spread.Observe(h)
	if h.From == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastHeaders[h.From] = receivedHeader{header: h, at: time.Now()}
}

// run gets a first version of the table and keeps it up to date, until ctx is cancelled.
func (t *tableSync) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { t.bootstrap(ctx) })
	wg.Go(func() { t.poller.Run(ctx) })
	wg.Go(func() { t.spread.Run(ctx) })
	wg.Wait()
}

// bootstrap asks peers and the table service until the entry has a first version.
func (t *tableSync) bootstrap(ctx context.Context) {
	for t.e.cfg.Holder.Version() == 0 {
		peers := append(t.neighbours(), t.watchedAgents()...)
		if err := tablesync.Bootstrap(ctx, t.spread, t.poller, peers); err != nil {
			t.e.cfg.Log.WithError(err).Warn("no version of the table yet")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(bootstrapRetry):
		}
	}
}

// Status returns the status of this entry, followed by that of the agents that it
// watches and of the other entries, as known from their last message.
func (e *Entry) Status() []api.ProcessStatus {
	now := time.Now()
	statuses := []api.ProcessStatus{{
		ID: e.cfg.ID, Role: string(platform.RoleEntry), Zone: e.cfg.Zone, TableVersion: e.cfg.Holder.Version(),
		AgeSeconds: api.AgeSeconds(e.sync.poller.Age(now)), Incarnation: e.incarnation, Draining: e.draining.Load(),
	}}
	for _, a := range e.view.Snapshot().Agents {
		s := e.sync.statusOf(a.ID, a.Zone, platform.RoleAgent, now)
		s.Draining = a.Report.Draining
		statuses = append(statuses, s)
	}
	for _, in := range e.view.Entries() {
		statuses = append(statuses, e.sync.statusOf(in.ID, in.Zone, platform.RoleEntry, now))
	}
	return statuses
}

func (t *tableSync) statusOf(id, zone string, role platform.Role, now time.Time) api.ProcessStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := api.ProcessStatus{ID: id, Role: string(role), Zone: zone, AgeSeconds: api.UnknownAge, SeenSeconds: api.UnknownAge}
	if h, ok := t.lastHeaders[id]; ok {
		s.TableVersion = h.header.TableVersion
		s.Incarnation = h.header.Incarnation
		s.SeenSeconds = now.Sub(h.at).Seconds()
	}
	return s
}
