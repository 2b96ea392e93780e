package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/flowcontrol"
	"mulberryscale.example/loadview"
	"mulberryscale.example/retrybudget"
)

// Defaults of GateSettings.
const (
	// DefaultMaxWait lets a request wait until its deadline.
	DefaultMaxWait = 0
	// DefaultMaxBytes is the default of MaxBytes for a process whose memory is not bounded.
	DefaultMaxBytes = flowcontrol.DefaultMaxBytes
)

// GateSettings are the bounds of a process's gates.
type GateSettings struct {
	// Always gives each service a gate. Otherwise only those have one whose endpoints have
	// reported a pace.
	Always bool
	// MaxWait bounds the wait of a request in a gate; 0 means until its deadline.
	MaxWait time.Duration
	// MaxBytes bounds the memory of requests that wait and of answers that are being written, for
	// all services together.
	MaxBytes int
	// SecondSends is the share of the first sends that second sends of a service may reach.
	SecondSends float64
}

// DefaultGateSettings returns the defaults.
func DefaultGateSettings() GateSettings {
	return GateSettings{MaxWait: DefaultMaxWait, MaxBytes: DefaultMaxBytes, SecondSends: retrybudget.DefaultShare}
}

// Gates holds the gates of a process by service. A nil *Gates has none. It is safe for concurrent
// use.
type Gates struct {
	settings GateSettings
	held     heldBytes
	account  *loadview.Account

	mu        sync.Mutex
	byService map[string]*serviceGate
}

// NewGates returns gates with the given settings.
func NewGates(settings GateSettings) *Gates {
	return &Gates{settings: settings, held: heldBytes{limit: settings.MaxBytes}, account: loadview.NewAccount(), byService: map[string]*serviceGate{}}
}

// errWithdrawn ends the waits at a gate whose service has no endpoints any more.
var errWithdrawn = errors.New("forward: the service has no endpoints any more")

// serviceGate is what a process keeps for a service with a gate.
type serviceGate struct {
	service string
	gate    *flowcontrol.Gate
	budget  *retrybudget.Budget
	failing *failing
	silence *silence
	// ages tells how long ago the clients first asked.
	ages *ageEstimator

	mu sync.Mutex
	// served is cancelled when the service has no endpoints any more.
	served   context.Context
	withdraw context.CancelFunc
	// rate is the rate of the gate for log lines, as of rateAt.
	rate   float64
	rateAt time.Time
}

func newServiceGate(service string, settings GateSettings) *serviceGate {
	g := &serviceGate{
		service: service, budget: retrybudget.New(settings.SecondSends), ages: newAgeEstimator(), failing: newFailing(), silence: newSilence(),
		gate: flowcontrol.New(flowcontrol.Config{MaxBytes: settings.MaxBytes, MaxWait: settings.MaxWait}),
	}
	g.served, g.withdraw = context.WithCancel(context.Background())
	return g
}

// of returns the gate of a service; nil if it has none.
func (g *Gates) of(service string) *serviceGate {
	if g == nil || service == "" {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if found := g.byService[service]; found != nil || !g.settings.Always {
		return found
	}
	return g.add(service)
}

// Has reports whether a service has a gate.
func (g *Gates) Has(service string) bool { return g.of(service) != nil }

// add gives a service a gate. The caller holds g.mu.
func (g *Gates) add(service string) *serviceGate {
	added := newServiceGate(service, g.settings)
	g.byService[service] = added
	return added
}

// observeLoad gives a service a gate once an endpoint of it has reported a pace.
func (g *Gates) observeLoad(service string, load *fleet.Load) {
	if g == nil || load == nil || load.Pace == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byService[service] == nil {
		g.add(service)
	}
}

// update applies a change of the configuration or of the list of instances: the gates of services
// that were removed are dropped, and requests that wait for a service without endpoints end.
func (g *Gates) update(snap *fleet.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, gate := range g.byService {
		gate.failing.prune(snap)
		gate.silence.prune(snap)
		if len(snap.OfService(service)) > 0 {
			continue
		}
		gate.endWaits()
		if snap.Config != nil && !snap.Config.HasService(service) {
			delete(g.byService, service)
			g.account.Drop(service)
		}
	}
}

// endWaits ends the waits of all requests at the gate.
func (g *serviceGate) endWaits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.withdraw()
	g.served, g.withdraw = context.WithCancel(context.Background())
}

// whileServed returns a context that is also cancelled, with errWithdrawn, when the service has no
// endpoints any more. stop releases it.
func (g *serviceGate) whileServed(ctx context.Context) (bounded context.Context, stop func()) {
	g.mu.Lock()
	served := g.served
	g.mu.Unlock()
	bounded, cancel := context.WithCancelCause(ctx)
	stopWatch := context.AfterFunc(served, func() { cancel(errWithdrawn) })
	return bounded, func() {
		stopWatch()
		cancel(nil)
	}
}

// rateAge is how old the rate in a log line may be. The gate's status costs time in proportion to
// the requests that wait, and under overload there is a line for each request.
const rateAge = 100 * time.Millisecond

// currentRate returns the requests a second that the gate's windows allow.
func (g *serviceGate) currentRate(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.rateAt) >= rateAge {
		g.rate, g.rateAt = g.gate.Status().Rate, now
	}
	return g.rate
}

// GatesStatus is the state of all gates, for the operator.
type GatesStatus struct {
	// HeldBytes is the memory of requests that wait and of answers that are being written.
	HeldBytes int
	Services  map[string]flowcontrol.Status
}

// Status returns the state of all gates.
func (g *Gates) Status() GatesStatus {
	status := GatesStatus{HeldBytes: g.held.total(), Services: map[string]flowcontrol.Status{}}
	g.mu.Lock()
	gates := make([]*serviceGate, 0, len(g.byService))
	for _, gate := range g.byService {
		gates = append(gates, gate)
	}
	g.mu.Unlock()
	for _, gate := range gates {
		status.Services[gate.service] = gate.gate.Status()
	}
	return status
}

// WatchGates follows the configuration and the list of instances until ctx is cancelled, so that
// requests don't wait for a service that has gone.
func (f *Forwarder) WatchGates(ctx context.Context) {
	for {
		changed := f.View.Changed()
		f.Gates.update(f.View.Snapshot())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
