package node

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"mulberryscale.example/batch"
	"mulberryscale.example/drain"
	"mulberryscale.example/loadview"
	"mulberryscale.example/platform/enginehttp"
	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/reward"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/quictransport"
)

// handOverTime is the part of the grace period reserved for handing items over and
// appending results.
const handOverTime = 3 * time.Second

// Agent runs the items of batch jobs on the engine beside it.
type Agent struct {
	*base
	worker *batch.Worker
	// rewards sends reward calls.
	rewards *reward.Caller
}

// NewAgent returns an agent with the given settings. Run starts it.
func NewAgent(settings *nodefile.Settings, options Options) (*Agent, error) {
	b, err := newBase(settings, options, "agent")
	if err != nil {
		return nil, err
	}
	a := &Agent{base: b}
	engines := enginehttp.New()
	a.rewards = reward.NewCaller(b.view, engines, settings.Zone, settings.Service, b.log, b.counters)
	a.worker = batch.NewWorker(batch.WorkerConfig{
		Node: settings.Node, Incarnation: b.incarnation, Engine: settings.Engine, Service: settings.Service,
		PeerPort: settings.PeerPort, View: b.view, Ledger: b.ledger, Direct: b.store, Demand: batch.NewDemand(), Engines: engines, Peers: a.peers,
		Rewards:        a.rewards,
		JobsPace:       agentJobsPace(),
		StoreWriteRate: settings.StoreWrites, SharedSelection: settings.Pressure,
		Now: b.store.Now, Log: b.log, Counters: b.counters,
	})
	b.load = func() loadview.Load { return loadview.Load{Deferrals: a.worker.Deferrals()} }
	return a, nil
}

// Run runs the agent until ctx is cancelled, then hands its remaining items over.
func (a *Agent) Run(ctx context.Context) error {
	a.logStart().WithField("engine", a.settings.Engine).Info("starting")
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	a.startBackground(working, &wg)
	a.reportUsage(working, &wg)
	a.orderEndpoints(working, &wg)
	wg.Go(func() { a.worker.Run(working) })
	a.writePace(working, &wg)
	wg.Go(func() { a.servePeers(working) })
	<-ctx.Done()
	a.log.Info("draining")
	abort := drain.NewPlan(a.settings.Grace).Abort
	bounded, cancel := context.WithTimeout(working, abort)
	defer cancel()
	a.worker.Drain(bounded, abort-handOverTime)
	stop()
	a.log.Info("stopped")
	a.bounded.Close()
	return nil
}

// servePeers loads the process keys and serves calls of other processes.
func (a *Agent) servePeers(ctx context.Context) {
	source, err := a.keySource(ctx)
	if err != nil {
		a.log.WithError(err).Error("no keys: other processes are neither called nor answered")
		return
	}
	a.peers.open(source)
	addr := net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.PeerPort))
	l, err := quictransport.ListenOptions(addr, source, peerOptions())
	if err != nil {
		a.log.WithError(err).Error("other processes are not answered")
		return
	}
	defer l.Close()
	if err := l.Serve(ctx, a.answer); err != nil {
		a.log.WithError(err).Error("other processes are no longer answered")
	}
}

// answer serves one call of another process.
func (a *Agent) answer(_ context.Context, s transport.Stream) {
	var req batch.PeerRequest
	if err := s.Recv(&req); err != nil {
		a.log.WithError(err).WithField("peer", s.Peer()).Warn("call not readable")
		return
	}
	if err := s.Send(a.worker.Serve(&req)); err != nil {
		a.log.WithError(err).WithField("peer", s.Peer()).Warn("call not answered")
	}
}
