package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"mulberryscale.example/duty"
	"mulberryscale.example/fleet"
	"mulberryscale.example/scaling"
)

// reportLoad writes this process's load on autoscaled services to the store, until ctx
// is cancelled. extra, if not nil, returns the load that the meter does not count.
func (b *base) reportLoad(ctx context.Context, wg *sync.WaitGroup, meter *scaling.Meter, extra func() map[scaling.Target]int) {
	writer := &scaling.Writer{
		Rows: b.rows, Meter: meter, Extra: extra, Autoscaled: b.autoscaled, Now: b.store.Now, Zone: b.settings.Zone, Name: b.settings.Node, Log: b.log,
	}
	wg.Go(func() { writer.Run(ctx) })
}

// autoscaled reports whether a service is autoscaled.
func (b *base) autoscaled(service string) bool {
	config := b.view.Snapshot().Config
	if config == nil {
		return false
	}
	s := config.Service(service)
	return s != nil && s.Autoscale != nil
}

// meterSends returns a function that counts a request as load on its endpoint's service
// and availability zone until end is called.
func meterSends(meter *scaling.Meter) func(to fleet.Instance) (end func()) {
	return func(to fleet.Instance) func() { return meter.Begin(scaling.Target{Service: to.Service, Zone: to.Zone}) }
}

// ownLoad returns the load of this agent's running and waiting items on the engine
// beside it.
func (a *Agent) ownLoad() map[scaling.Target]int {
	n := a.worker.Load()
	if n == 0 {
		return nil
	}
	return map[scaling.Target]int{{Service: a.settings.Service, Zone: a.settings.Zone}: n}
}

// orderEndpoints makes the agent a candidate for ordering endpoints, for each autoscaled
// service and availability zone in the configuration and the instance list, until ctx
// is cancelled.
func (a *Agent) orderEndpoints(ctx context.Context, wg *sync.WaitGroup) {
	if !a.settings.OrderEndpoints {
		return
	}
	a.reportLoad(ctx, wg, scaling.NewMeter(), a.ownLoad)
	wg.Go(func() {
		running := map[scaling.Target]context.CancelFunc{}
		for ctx.Err() == nil {
			changed := a.view.Changed()
			a.updatePerformers(ctx, running)
			select {
			case <-ctx.Done():
			case <-changed:
			}
		}
	})
}

// updatePerformers starts a performer for each target (service and availability zone)
// that is autoscaled, and stops those of services that no longer are.
func (a *Agent) updatePerformers(ctx context.Context, running map[scaling.Target]context.CancelFunc) {
	snap := a.view.Snapshot()
	scaled := map[scaling.Target]bool{}
	if snap.Config != nil {
		for _, s := range snap.Config.Services {
			if s.Autoscale == nil {
				continue
			}
			for _, i := range snap.OfService(s.Name) {
				scaled[scaling.Target{Service: i.Service, Zone: i.Zone}] = true
			}
		}
	}
	for _, t := range slices.Collect(maps.Keys(running)) {
		if !scaled[t] && !a.autoscaled(t.Service) {
			running[t]()
			delete(running, t)
		}
	}
	for t := range scaled {
		if running[t] != nil {
			continue
		}
		own, stop := context.WithCancel(ctx)
		running[t] = stop
		go a.performOrders(own, t)
	}
}

// performOrders orders endpoints for one target whenever this agent holds that duty,
// until ctx is cancelled.
func (a *Agent) performOrders(ctx context.Context, t scaling.Target) {
	performer := &duty.Performer{
		Terms: a.termStore(scaling.Subject(t)),
		Order: &duty.CandidateOrder{Self: a.settings.IP, Others: a.agentHosts, PreferHolder: true, Candidates: duty.FewCandidates},
		Work: &scaling.Orders{
			Target: t, Rows: a.store, View: a.view, Zones: a.settings.Zones, Now: a.store.Now, Scaler: a.duties, Log: a.log,
		},
		Log: a.log, Counters: a.counters,
	}
	if err := performer.Run(ctx); !errors.Is(err, context.Canceled) {
		a.log.WithError(err).WithField("service", t.Service).Error("endpoints no longer ordered")
	}
}
