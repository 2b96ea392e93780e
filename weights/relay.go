package weights

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"mulberryscale.example/platform"
	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// Defaults of RelayConfig.
const (
	// DefaultWindow parts of DefaultMaxPart bytes are 16 MB for each model.
	DefaultWindow  = 8
	DefaultMaxPart = 2 << 20
	// DefaultInFlight parts are fetched at a time.
	DefaultInFlight       = 4
	DefaultPartRetention  = 2 * time.Second
	DefaultServeWait      = time.Second
	DefaultPullTimeout    = 5 * time.Second
	DefaultPendingTimeout = 10 * time.Second
	DefaultSourceRetry    = 200 * time.Millisecond
)

// RelayConfig configures a Relay. Zero values take the defaults.
type RelayConfig struct {
	// Self is this process's entry in the instance list.
	Self platform.Instance
	// Header makes the header of this process's messages.
	Header func() wire.Header
	Dialer transport.Dialer
	Store  platform.WeightStore
	Peers  *PeerList
	// OnRequest is called when a peer asks for a version that is not being
	// fetched here. It begins to fetch the version if it is newer.
	OnRequest func(model string, version uint64) Availability
	// Fanout is how many agents of the zone fetch from one agent.
	Fanout int
	// Window is the maximum number of a model's parts in memory, MaxPart the maximum
	// size of a part in bytes, and InFlight the number of concurrent part fetches.
	Window   int
	MaxPart  int64
	InFlight int
	// PartRetention is how long a part is kept for children that have not fetched it.
	PartRetention time.Duration
	// ServeWait is how long a peer's call waits for a part that is being fetched.
	ServeWait time.Duration
	// PullTimeout bounds one call. PendingTimeout bounds the time for which a source
	// may answer that it is still fetching a part itself.
	PullTimeout    time.Duration
	PendingTimeout time.Duration
	// SourceRetry is the wait after all sources have failed.
	SourceRetry time.Duration
	// Seed makes the jitter repeatable; 0 draws a seed.
	Seed uint64
	Log  logrus.FieldLogger
}

// RelayStats holds the counters of a Relay.
type RelayStats struct {
	PeerParts      int64 `json:"peer_parts"`  // parts fetched from peers
	StoreParts     int64 `json:"store_parts"` // parts fetched from the store
	StoreCalls     int64 `json:"store_calls"`
	StoreBytes     int64 `json:"store_bytes"`
	ServedBytes    int64 `json:"served_bytes"`
	SourceFailures int64 `json:"source_failures"`
	BadParts       int64 `json:"bad_parts"` // parts that did not match their manifest
	PeakBytes      int64 `json:"peak_bytes"`
}

// Relay fetches the parts of new weights, checks them against the manifest and
// serves them to the agents below it in the tree of the version. It keeps a
// bounded window of parts in memory and writes nothing to disk. It is safe for
// concurrent use.
type Relay struct {
	cfg    RelayConfig
	caller caller
	rand   *random

	mu        sync.Mutex
	downloads map[string]*download // the newest of each model
	begun     chan struct{}        // closed and replaced when a download begins
	stats     RelayStats
}

// NewRelay returns a relay without any downloads.
func NewRelay(cfg RelayConfig) *Relay {
	cfg.Fanout = cmp.Or(cfg.Fanout, DefaultFanout)
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.MaxPart = cmp.Or(cfg.MaxPart, DefaultMaxPart)
	cfg.InFlight = cmp.Or(cfg.InFlight, DefaultInFlight)
	cfg.PartRetention = cmp.Or(cfg.PartRetention, DefaultPartRetention)
	cfg.ServeWait = cmp.Or(cfg.ServeWait, DefaultServeWait)
	cfg.PullTimeout = cmp.Or(cfg.PullTimeout, DefaultPullTimeout)
	cfg.PendingTimeout = cmp.Or(cfg.PendingTimeout, DefaultPendingTimeout)
	cfg.SourceRetry = cmp.Or(cfg.SourceRetry, DefaultSourceRetry)
	return &Relay{
		cfg:       cfg,
		caller:    caller{header: cfg.Header, dialer: cfg.Dialer, timeout: cfg.PullTimeout},
		rand:      newRandom(cfg.Seed, 3),
		downloads: make(map[string]*download),
		begun:     make(chan struct{}),
	}
}

// Stats returns the counters.
func (r *Relay) Stats() RelayStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

func (r *Relay) count(f func(*RelayStats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.stats)
}

// noteBuffered updates PeakBytes from the size of all windows. The caller holds r.mu.
func (r *Relay) noteBuffered() {
	var buffered int64
	for _, d := range r.downloads {
		for _, p := range d.window {
			buffered += int64(len(p.body))
		}
	}
	r.stats.PeakBytes = max(r.stats.PeakBytes, buffered)
}

// Position returns this agent's current position in the tree of a version.
func (r *Relay) Position(model string, version uint64) Position {
	return TreePosition(r.cfg.Self, model, version, r.cfg.Peers.Serving(time.Now(), model), r.cfg.Fanout)
}

// Fetch fetches all parts of a version, and returns when the last one has been
// verified. It retries until ctx is done and then returns the context's error. For
// a manifest that is of another version or has a part over MaxPart it returns an
// error at once.
func (r *Relay) Fetch(ctx context.Context, model string, version uint64) error {
	d := r.begin(model, version)
	defer r.finish(d)
	f := r.newFetch(d, model, version)
	manifest, err := f.manifest(ctx)
	if err != nil {
		return trace.Wrap(err, "step %s, model %s version %d", stepManifest, model, version)
	}
	r.mu.Lock()
	d.manifest = manifest
	d.broadcast()
	r.mu.Unlock()
	return trace.Wrap(r.fetchParts(ctx, f, manifest), "step %s, model %s version %d", stepPart, model, version)
}

func (r *Relay) fetchParts(ctx context.Context, f *fetch, manifest *platform.WeightManifest) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(r.cfg.InFlight)
	for _, p := range manifest.Parts {
		if err := r.reserve(groupCtx, f.d); err != nil {
			break // ctx is done, or the group has the first error
		}
		group.Go(func() error {
			body, err := f.part(groupCtx, p)
			r.put(f.d, p.Name, body)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return context.Cause(ctx)
}

// begin makes the version the model's current download and ends the previous one.
func (r *Relay) begin(model string, version uint64) *download {
	d := newDownload(version, r.Position(model, version))
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.downloads[model]; old != nil {
		old.finished = true
		old.broadcast()
	}
	r.downloads[model] = d
	close(r.begun)
	r.begun = make(chan struct{})
	return d
}

func (r *Relay) finish(d *download) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.finished = true
	d.broadcast()
}
