// Package engine is a stand-in for a continuous-batching model engine. It
// implements endpoint.Engine in process with timers only, so that it runs under
// testing/synctest, and serves the same over HTTP. Its texts follow from
// (prompt, seed, version), and it records every run, so that an oracle can check
// what a caller received.
package engine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/standin/lagging"
	"mulberryscale.example/platform"
)

// Defaults of Options.
const (
	DefaultSlots       = 8
	DefaultTokenTime   = 2 * time.Millisecond
	DefaultChunkTokens = 4
	DefaultKVTokens    = 1 << 16
	DefaultCacheTokens = 1 << 14
)

// Errors of runs and loads, besides those of package endpoint and platform.
var (
	// ErrNotReady says that the model is not loaded or its weights are broken.
	ErrNotReady = errors.New("model not ready")
	// ErrBadRequest says that a request is wrong in itself.
	ErrBadRequest = errors.New("bad request")
	// ErrConnection says that the connection to the engine broke.
	ErrConnection = errors.New("connection broken")
	// ErrLoadFailed says that a load failed partway.
	ErrLoadFailed = errors.New("load failed partway")
	// ErrSuperseded says that another order or a crash ended a load.
	ErrSuperseded = errors.New("load superseded")
)

// Options configure an engine; zero values mean the defaults.
type Options struct {
	ID string
	// Slots is how many streams run at once; more wait in order of arrival.
	Slots int
	// TokenTime is the time for one token of one stream that runs alone.
	TokenTime time.Duration
	// BatchSlowdown lengthens TokenTime by this share for each further running stream.
	BatchSlowdown float64
	// ChunkTokens is the most tokens in a chunk.
	ChunkTokens int
	// PrefillTime is the time for each prompt token that is not cached.
	PrefillTime time.Duration
	// CacheTokens bounds the prefix cache, KVTokens the memory of running streams.
	CacheTokens int
	KVTokens    int
	// EventLag delays the cache events; EventGap is the share of them that is never listed.
	EventLag time.Duration
	EventGap float64
	// LoadTime is the time that a load takes.
	LoadTime time.Duration
	// Models are the models loaded at the start, with their versions.
	Models map[string]uint64
	// IgnoreFence makes the engine obey orders with an old fencing number.
	IgnoreFence bool
	// Seed varies which cache events are lost.
	Seed int64
}

func (o *Options) setDefaults() {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.TokenTime <= 0 {
		o.TokenTime = DefaultTokenTime
	}
	if o.ChunkTokens <= 0 {
		o.ChunkTokens = DefaultChunkTokens
	}
	if o.KVTokens <= 0 {
		o.KVTokens = DefaultKVTokens
	}
	if o.CacheTokens <= 0 {
		o.CacheTokens = DefaultCacheTokens
	}
}

// Record is the truth about one run.
type Record struct {
	RunID  string `json:"run_id"`
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Seed   int64  `json:"seed"`
	Prefix string `json:"prefix,omitempty"`
	// Text is what was generated here, the prefix excluded; Spans are its versions.
	Text  string            `json:"text"`
	Spans []api.VersionSpan `json:"spans"`
	// Started is when the run arrived, Finished when it ended; zero while it runs.
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished"`
	// Cancelled is true when the run ended before its last token, by the caller or by a fault.
	Cancelled bool `json:"cancelled"`
}

type model struct {
	version uint64
	state   endpoint.LoadState
	// loads counts the orders, so that an older load does not end a newer one.
	loads int
}

// Engine is the stand-in. It implements endpoint.Engine.
type Engine struct {
	opts Options

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change of the state
	models  map[string]*model
	fence   uint64
	running []*run
	waiting []*run
	records []*run
	cache   *prefixCache
	faults  faults
	history lagging.History[endpoint.Status]
}

var _ endpoint.Engine = (*Engine)(nil)

// New makes an engine.
func New(opts Options) *Engine {
	opts.setDefaults()
	e := &Engine{
		opts:    opts,
		changed: make(chan struct{}),
		models:  make(map[string]*model),
		cache:   newPrefixCache(opts),
		faults:  faults{slow: 1},
	}
	for name, version := range opts.Models {
		e.models[name] = &model{version: version, state: endpoint.LoadReady}
	}
	e.history.Record(time.Now(), e.statusLocked())
	return e
}

// ID is the engine's name.
func (e *Engine) ID() string { return e.opts.ID }

// Generate implements endpoint.Engine. The stream lives until ctx ends.
func (e *Engine) Generate(ctx context.Context, req endpoint.GenerateRequest) (endpoint.Stream, error) {
	if err := e.awaitThaw(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admissible(req); err != nil {
		return nil, &endpoint.NotStartedError{Err: trace.Wrap(err, "engine.generate: engine %s", e.opts.ID)}
	}
	r := newRun(req)
	e.records = append(e.records, r)
	e.waiting = append(e.waiting, r)
	e.admitWaiting()
	e.noteLocked()
	r.forget = context.AfterFunc(ctx, func() { e.endRun(r, context.Cause(ctx)) })
	go e.serve(r)
	return &stream{engine: e, run: r}, nil
}

func (e *Engine) admissible(req endpoint.GenerateRequest) error {
	if e.faults.refuse {
		return ErrConnection
	}
	if req.MaxTokens < 1 || req.PrefixTokens < 0 || req.RunID == "" {
		return trace.Wrap(ErrBadRequest, "want run_id, max_tokens >= 1 and prefix_tokens >= 0")
	}
	m := e.models[req.Model]
	if m == nil || m.state == endpoint.LoadBroken {
		return trace.Wrap(ErrNotReady, "model %q", req.Model)
	}
	return nil
}

// Cancel ends the runs of that id and says whether one was running or waiting.
func (e *Engine) Cancel(runID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := false
	for _, r := range append(append([]*run(nil), e.running...), e.waiting...) {
		if r.req.RunID == runID {
			e.endRunLocked(r, context.Canceled)
			found = true
		}
	}
	return found
}

// Status implements endpoint.Engine.
func (e *Engine) Status(ctx context.Context) (endpoint.Status, error) {
	if err := e.awaitThaw(ctx); err != nil {
		return endpoint.Status{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.refuse {
		return endpoint.Status{}, trace.Wrap(ErrConnection, "engine.status: engine %s", e.opts.ID)
	}
	if e.faults.statusLag == 0 {
		return e.statusLocked(), nil
	}
	return e.history.At(time.Now().Add(-e.faults.statusLag)), nil
}

// Load implements endpoint.Engine. The load goes on when ctx ends.
func (e *Engine) Load(ctx context.Context, o endpoint.Order) error {
	if err := e.awaitThaw(ctx); err != nil {
		return err
	}
	done, err := e.beginLoad(o)
	if err != nil {
		return trace.Wrap(err, "engine.load: engine %s model %s version %d fence %d", e.opts.ID, o.Model, o.Version, o.Fence)
	}
	select {
	case err = <-done:
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	return trace.Wrap(err, "engine.load: engine %s model %s version %d", e.opts.ID, o.Model, o.Version)
}

func (e *Engine) beginLoad(o endpoint.Order) (<-chan error, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.refuse {
		return nil, ErrConnection
	}
	if !e.opts.IgnoreFence {
		if o.Fence < e.fence {
			return nil, platform.ErrStaleFence
		}
		e.fence = o.Fence
	}
	m := e.models[o.Model]
	if m == nil {
		m = &model{}
		e.models[o.Model] = m
	}
	done := make(chan error, 1)
	loseReply := e.faults.takeLostLoadReply()
	if m.state == endpoint.LoadReady && m.version == o.Version {
		done <- lostOr(loseReply, nil)
		return done, nil
	}
	m.state = endpoint.LoadLoading
	m.loads++
	fail := e.faults.takeFailedLoad()
	e.noteLocked()
	go func(load int) { done <- lostOr(loseReply, e.load(m, load, o, fail)) }(m.loads)
	return done, nil
}

func lostOr(lost bool, err error) error {
	if lost {
		return ErrConnection
	}
	return err
}

// load ends a begun load after its time; a failing one breaks halfway.
func (e *Engine) load(m *model, load int, o endpoint.Order, fail bool) error {
	d := e.opts.LoadTime
	if fail {
		d /= 2
	}
	time.Sleep(d)
	if err := e.awaitThaw(context.Background()); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.models[o.Model] != m || m.loads != load {
		return ErrSuperseded
	}
	defer e.noteLocked()
	if fail {
		m.state = endpoint.LoadBroken
		return ErrLoadFailed
	}
	m.version = o.Version
	m.state = endpoint.LoadReady
	return nil
}

// Records lists every run ever begun, in order of arrival.
func (e *Engine) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Record, len(e.records))
	for i, r := range e.records {
		out[i] = r.record()
	}
	return out
}

// Events lists the cache events after seq that are due, late and with gaps.
func (e *Engine) Events(since uint64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.list(since, time.Now())
}

// broadcastLocked wakes all that wait for a change of the state.
func (e *Engine) broadcastLocked() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// noteLocked wakes the waiting and keeps the status for the lagging reports.
func (e *Engine) noteLocked() {
	e.broadcastLocked()
	e.history.Record(time.Now(), e.statusLocked())
}
