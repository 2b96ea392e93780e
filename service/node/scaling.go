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

// measure has a process write what its requests take of services whose endpoints
// are ordered, until ctx ends. extra is what does not go through the meter.
func (b *base) measure(ctx context.Context, wg *sync.WaitGroup, meter *scaling.Meter, extra func() map[scaling.Target]int) {
	writer := &scaling.Writer{
		Rows: b.rows, Meter: meter, Extra: extra, Autoscaled: b.scaled, Now: b.store.Now, Zone: b.settings.Zone, Name: b.settings.Node, Log: b.log,
	}
	wg.Go(func() { writer.Run(ctx) })
}

// scaled reports whether the endpoints of a service are ordered.
func (b *base) scaled(service string) bool {
	config := b.view.Snapshot().Config
	if config == nil {
		return false
	}
	s := config.Service(service)
	return s != nil && s.Autoscale != nil
}

// meterSends counts the places that an entry's requests take.
func meterSends(meter *scaling.Meter) func(to fleet.Instance) (end func()) {
	return func(to fleet.Instance) func() { return meter.Begin(scaling.Target{Service: to.Service, Zone: to.Zone}) }
}

// ownLoad is what the items here take of the engine beside an agent, or wait for.
func (a *Agent) ownLoad() map[scaling.Target]int {
	n := a.worker.Load()
	if n == 0 {
		return nil
	}
	return map[scaling.Target]int{{Service: a.settings.Service, Zone: a.settings.Zone}: n}
}

// orderEndpoints has an agent take its turns at ordering endpoints, for all
// services and availability zones that the configuration and the list name, until
// ctx ends.
func (a *Agent) orderEndpoints(ctx context.Context, wg *sync.WaitGroup) {
	if !a.settings.OrderEndpoints {
		return
	}
	a.measure(ctx, wg, scaling.NewMeter(), a.ownLoad)
	wg.Go(func() {
		running := map[scaling.Target]context.CancelFunc{}
		for ctx.Err() == nil {
			changed := a.view.Changed()
			a.followPlaces(ctx, running)
			select {
			case <-ctx.Done():
			case <-changed:
			}
		}
	})
}

// followPlaces starts a performer for each place whose endpoints are ordered, and
// stops those of other places.
func (a *Agent) followPlaces(ctx context.Context, running map[scaling.Target]context.CancelFunc) {
	snap := a.view.Snapshot()
	wanted := map[scaling.Target]bool{}
	if snap.Config != nil {
		for _, s := range snap.Config.Services {
			if s.Autoscale == nil {
				continue
			}
			for _, i := range snap.OfService(s.Name) {
				wanted[scaling.Target{Service: i.Service, Zone: i.Zone}] = true
			}
		}
	}
	for _, p := range slices.Collect(maps.Keys(running)) {
		if !wanted[p] && !a.scaled(p.Service) {
			running[p]()
			delete(running, p)
		}
	}
	for p := range wanted {
		if running[p] != nil {
			continue
		}
		own, stop := context.WithCancel(ctx)
		running[p] = stop
		go a.performOrders(own, p)
	}
}

// performOrders takes turns at the orders for one place.
func (a *Agent) performOrders(ctx context.Context, p scaling.Target) {
	performer := &duty.Performer{
		Terms: a.seat(scaling.Subject(p)),
		Order: &duty.CandidateOrder{Self: a.settings.IP, Others: a.agents, PreferHolder: true, Candidates: duty.FewCandidates},
		Work: &scaling.Orders{
			Target: p, Rows: a.store, View: a.view, Zones: a.settings.Zones, Now: a.store.Now, Scaler: a.duties, Log: a.log,
		},
		Log: a.log, Counters: a.counters,
	}
	if err := performer.Run(ctx); !errors.Is(err, context.Canceled) {
		a.log.WithError(err).WithField("service", p.Service).Error("endpoints no longer ordered")
	}
}
