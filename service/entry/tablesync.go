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

// bootstrapRetry is how often an entry without a table looks for one.
const bootstrapRetry = 500 * time.Millisecond

// tableSync keeps the entry's table up to date and answers for it.
type tableSync struct {
	e      *Entry
	poller *tablesync.Poller
	spread *tablesync.Spread

	mu sync.Mutex
	// heard is what other processes' headers said, by id.
	heard map[string]heardHeader
}

type heardHeader struct {
	header wire.Header
	at     time.Time
}

func newTableSync(e *Entry) *tableSync {
	t := &tableSync{e: e, heard: map[string]heardHeader{}}
	t.poller = tablesync.NewPoller(tablesync.PollerConfig{
		Reader: tablestore.New(e.cfg.Table), Holder: e.cfg.Holder, Log: e.cfg.Log,
		Entries: func() int { return len(e.view.Entries()) + 1 },
	})
	t.spread = tablesync.NewSpread(tablesync.SpreadConfig{
		Self: e.header, Dialer: e.cfg.Dialer, Holder: e.cfg.Holder, Log: e.cfg.Log,
		Entries: t.entries, Watched: t.watched,
	})
	return t
}

// entries are the neighbours among the other entries, whose connections are
// kept. An entry that is nobody's neighbour learns of a version from the headers
// of its own exchanges.
func (t *tableSync) entries() []tablesync.Peer {
	var peers []tablesync.Peer
	for _, in := range membership.Neighbours(t.e.cfg.ID, t.e.view.Entries(), gossipPeers) {
		peers = append(peers, tablesync.Peer{ID: in.ID, Addr: in.Addr})
	}
	return peers
}

func (t *tableSync) watched() []tablesync.Peer {
	var peers []tablesync.Peer
	for _, a := range t.e.view.Snapshot().Agents {
		peers = append(peers, tablesync.Peer{ID: a.ID, Addr: a.Addr})
	}
	return peers
}

// observe takes in the header of a message from another process.
func (t *tableSync) observe(h wire.Header) {
	t.spread.Observe(h)
	if h.From == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard[h.From] = heardHeader{header: h, at: time.Now()}
}

// run finds a first version and keeps it up to date until ctx ends.
func (t *tableSync) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { t.bootstrap(ctx) })
	wg.Go(func() { t.poller.Run(ctx) })
	wg.Go(func() { t.spread.Run(ctx) })
	wg.Wait()
}

// bootstrap asks peers and the table service until there is a first version.
func (t *tableSync) bootstrap(ctx context.Context) {
	for t.e.cfg.Holder.Version() == 0 {
		peers := append(t.entries(), t.watched()...)
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

// Status says which table version is in force here and, as far as is known,
// at the processes that this entry hears from, itself first.
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
	if h, ok := t.heard[id]; ok {
		s.TableVersion = h.header.TableVersion
		s.Incarnation = h.header.Incarnation
		s.SeenSeconds = now.Sub(h.at).Seconds()
	}
	return s
}
