package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/batch"
	"mulberryscale.example/drain"
	"mulberryscale.example/forward"
	"mulberryscale.example/observe"
	"mulberryscale.example/pace"
	"mulberryscale.example/platform/enginehttp"
	"mulberryscale.example/platform/ingress"
	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/quarantine"
	"mulberryscale.example/scaling"
	"mulberryscale.example/store"
)

const (
	// headerTimeout is the time limit for a client to send its headers. The
	// operator's limit can change while the server runs and this one cannot, so
	// it is higher than the few seconds that operators configure.
	headerTimeout = 15 * time.Second
	// maxHeader is the size limit of the headers in bytes. It is higher than what
	// operators configure, since it cannot change while the server runs either; the
	// operator's own limit is checked for each request.
	maxHeader = 1 << 20
	// keyDelay is the delay after the start before an entry reads the process keys.
	keyDelay = 2 * time.Second
	// quarantineWait is how long an entry that is otherwise ready waits for the
	// quarantine table.
	quarantineWait = 500 * time.Millisecond
)

// Entry serves the clients' HTTP API.
type Entry struct {
	*base
	handler   *ingress.Handler
	forwarder *forward.Forwarder
	reader    *batch.Reader
	demand    *batch.Demand
	paces     *pace.Table
	stop      *drain.Stop
	inFlight  atomic.Int64
	// requests is the context of all requests of clients; abort cancels it.
	requests context.Context
	abort    context.CancelCauseFunc
}

// NewEntry returns an entry with the given settings. Run starts it.
func NewEntry(settings *nodefile.Settings, options Options) (*Entry, error) {
	b, err := newBase(settings, options, "entry")
	if err != nil {
		return nil, err
	}
	e := &Entry{
		base: b, reader: batch.NewReader(b.ledger, b.store.Now, b.log), demand: batch.NewDemand(),
		paces: pace.NewTable(b.log), stop: drain.New(drain.NewPlan(settings.Grace)),
	}
	e.requests, e.abort = context.WithCancelCause(context.Background())
	e.demand.OnPaces = e.paces.MarkReported
	engines := enginehttp.New()
	e.forwarder = forward.New(b.view, engines, settings.Zone, b.log, b.counters)
	e.forwarder.Quarantine = e.newQuarantine(engines)
	e.forwarder.Stop = e.stop
	if options.Gates == (forward.GateSettings{}) {
		options.Gates = forward.DefaultGateSettings()
	}
	options.Gates.Always = settings.Pressure
	e.forwarder.Gates = forward.NewGates(options.Gates)
	b.load = e.forwarder.Gates.Load
	b.counters.Gauge(observe.NameGates, func() any { return e.forwarder.Gates.Status() })
	e.handler = &ingress.Handler{
		View:    b.view,
		Forward: e.forwarder,
		Jobs: &batch.Intake{
			View: b.view, Ledger: b.ledger, Demand: e.demand, Paces: e.paces, Now: b.store.Now, Log: b.log, Counters: b.counters,
		},
		Reader: e.reader, Log: b.log, Counters: b.counters, Closing: e.stop.Stopping,
	}
	if settings.FailClosed {
		e.handler.MaxKeyAge = settings.RevokeTime
	}
	return e, nil
}

// newQuarantine creates the tracker of the requests that any entry has seen crash endpoints, which checks endpoints
// with the given prober.
func (e *Entry) newQuarantine(prober quarantine.Prober) *quarantine.Tracker {
	tracker := quarantine.New()
	tracker.Rows, tracker.Clock, tracker.Prober = e.rows, e.store.Now, prober
	tracker.Process, tracker.Log, tracker.Counters = e.settings.Node, e.log, e.counters
	return tracker
}

// Run serves until ctx is cancelled, then drains. It returns an error if it cannot
// listen.
func (e *Entry) Run(ctx context.Context) error {
	e.logStart().WithField("clients", e.settings.Clients).Info("starting")
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	e.startBackground(working, &wg)
	var counting sync.WaitGroup
	e.countUsage(working, &counting)
	if e.settings.OrderEndpoints {
		meter := scaling.NewMeter()
		e.forwarder.Meter = meterSends(meter)
		e.reportLoad(working, &wg, meter, nil)
	}
	wg.Go(func() { e.reader.Run(working) })
	wg.Go(func() { e.forwarder.Quarantine.Run(working) })
	wg.Go(func() { e.forwarder.WatchCrashes(working) })
	wg.Go(func() { e.forwarder.WatchGates(working) })
	collector := &batch.Collector{Ledger: e.ledger, Retention: e.settings.KeepResults, Now: e.store.Now, Log: e.log}
	jobs := store.Source{Table: batch.TableJobs, Pace: entryJobsPace()}
	wg.Go(func() { store.Follow(working, e.rows, jobs, e.demand.Watcher(collector, e.log)) })
	wg.Go(func() { collector.Run(working) })
	wg.Go(func() { followPaces(working, e.rows, e.paces) })
	wg.Go(func() { e.openPeers(working) })
	ready, err := e.listenReady()
	if err != nil {
		return err
	}
	defer ready.Close()
	e.awaitConfig(ctx)
	e.awaitQuarantine(ctx)
	if err := e.serveClients(ctx, working); err != nil {
		return err
	}
	stop()
	counting.Wait() // the usage recorder writes its last counts
	e.log.Info("stopped")
	e.bounded.Close()
	return nil
}

// serveClients serves clients until ctx is cancelled, and then drains. It serves nobody if ctx is
// cancelled already. The servers' tasks run until working is cancelled.
func (e *Entry) serveClients(ctx, working context.Context) error {
	if ctx.Err() != nil {
		e.log.Info("stopped before it served")
		return nil
	}
	clients, err := e.listenClients(working)
	if err != nil {
		return err
	}
	e.log.WithField("clients", e.settings.Clients).Info("serving")
	<-ctx.Done()
	e.drain(clients)
	return nil
}

// openPeers loads the keys that authenticate this process to agents, which relay its
// calls while it cannot reach the store directly. It waits for keyDelay, since agents
// need the keys at once and have created them by then.
func (e *Entry) openPeers(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(keyDelay):
	}
	source, err := e.keySource(ctx)
	if err != nil {
		e.log.WithError(err).Error("no keys: the store cannot be reached through agents")
		return
	}
	e.peers.open(source)
}

// awaitConfig waits for the first configuration and list of instances.
func (e *Entry) awaitConfig(ctx context.Context) {
	for {
		changed := e.view.Changed()
		if e.configured() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// awaitQuarantine waits for the first read of the quarantine table, for at most
// quarantineWait, so that a store that fails for that table alone does not block the
// start.
func (e *Entry) awaitQuarantine(ctx context.Context) {
	select {
	case <-e.forwarder.Quarantine.Synced():
	case <-time.After(quarantineWait):
		e.log.Warn("serving before the quarantine is known")
	case <-ctx.Done():
	}
}

// configured reports whether the configuration and the instance list have been read.
func (e *Entry) configured() bool {
	s := e.view.Snapshot()
	return s.Config != nil && s.Listed
}

// listenReady starts the server of the balancer's readiness probes.
func (e *Entry) listenReady() (*http.Server, error) {
	l, err := net.Listen("tcp", e.settings.Ready)
	if err != nil {
		return nil, trace.Wrap(err, "listen for the balancer on %s", e.settings.Ready)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if e.stop.Stopping() || !e.configured() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}), ReadHeaderTimeout: headerTimeout}
	go e.serve(server, l)
	return server, nil
}

// listenClients starts the server of the clients' API.
func (e *Entry) listenClients(ctx context.Context) (*http.Server, error) {
	l, err := net.Listen("tcp", e.settings.Clients)
	if err != nil {
		return nil, trace.Wrap(err, "listen for clients on %s", e.settings.Clients)
	}
	idle := newIdleConns(e.view)
	go idle.run(ctx)
	server := e.clientServer()
	server.ConnState = idle.changed
	go e.serve(server, l)
	return server, nil
}

// clientServer returns the server of the clients' API.
func (e *Entry) clientServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(e.serveClient), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		BaseContext: func(net.Listener) context.Context { return e.requests },
	}
}

func (e *Entry) serveClient(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.handler.ServeHTTP(w, r)
}

func (e *Entry) serve(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		e.log.WithError(err).WithField("addr", l.Addr().String()).Error("listener failed")
	}
}
