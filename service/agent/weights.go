package agent

import (
	"context"
	"errors"
	"time"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform"
	"mulberryscale.example/retry"
	"mulberryscale.example/weights"
)

// Targets tells the newest published version of a model; platform.WeightStore
// is one. It returns platform.ErrNotFound for a model without versions.
type Targets interface {
	Latest(ctx context.Context, model string) (uint64, error)
}

// targetTimeout bounds one question to Targets or Fencer.
const targetTimeout = 5 * time.Second

// followTargets asks for the newest versions, at intervals with jitter, so
// that agents that started together do not ask together.
func (a *Agent) followTargets(ctx context.Context) {
	for {
		wait := a.askTargets(ctx)
		if !retry.Sleep(ctx, wait) {
			return
		}
	}
}

// askTargets asks for each model and returns when to ask again.
func (a *Agent) askTargets(ctx context.Context) time.Duration {
	a.mu.Lock()
	wait := a.jitter(a.targetInterval())
	models := make([]string, 0, len(a.engine.models))
	for name := range a.engine.models {
		models = append(models, name)
	}
	a.mu.Unlock()
	if len(models) == 0 {
		return min(wait, a.cfg.PollInterval) // the first status is still out
	}
	for _, model := range models {
		version, err := a.askTarget(ctx, model)
		var limited *platform.RateLimitedError
		switch {
		case err == nil:
			a.LearnTarget(model, version)
		case errors.As(err, &limited):
			wait = max(wait, limited.RetryAfter)
		case !errors.Is(err, platform.ErrNotFound):
			a.log.WithField("model", model).WithError(err).Debug("newest weights not known")
		}
	}
	return wait
}

// targetInterval is how often this agent asks, so that all agents together ask
// at a bounded rate; the others hear of what one of them finds.
func (a *Agent) targetInterval() time.Duration {
	if a.spreading.peers == nil {
		return a.cfg.TargetInterval
	}
	return weights.PollInterval(a.spreading.peers.Len()+1, a.cfg.StoreReads, a.cfg.TargetInterval)
}

func (a *Agent) askTarget(ctx context.Context, model string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()
	return a.cfg.Targets.Latest(ctx, model)
}

// consider gives the model's next order if one is due. The caller holds a.mu.
func (a *Agent) consider(now time.Time, model string) {
	m, ok := a.engine.models[model]
	if !ok {
		return
	}
	a.fetchIfNeeded(now, m)
	switch m.machine.State() {
	case phaseUnknown, phaseReady:
		if a.swapDue(now, m) && a.mayOrder(now, m) {
			a.fire(now, m, triggerNewer)
		}
	case phaseQuarantined:
		if a.orderable(m) > 0 && a.mayOrder(now, m) {
			a.fire(now, m, triggerNewer)
			a.startOrder(now, m)
		}
		return
	case phaseDraining:
		if a.engine.running[model] == 0 && a.mayOrder(now, m) {
			a.fire(now, m, triggerIdle)
			a.startOrder(now, m)
		}
		return
	case phaseSwapping:
		a.checkStuck(now, m)
		return
	}
	if m.machine.State() == phaseSwapping {
		a.startOrder(now, m)
	}
}

// swapDue says whether a newer version can be ordered and the swap policy lets
// it be ordered now.
func (a *Agent) swapDue(now time.Time, m *modelState) bool {
	return weights.SwapDue(now, weights.Swap{
		Policy:    a.swapPolicy(m.model),
		Version:   m.version,
		Wanted:    a.orderable(m),
		Needed:    m.needed,
		LearnedAt: m.learnedAt,
		Turn:      m.turn,
	})
}

// mayOrder says whether orders may be given now. Where the engine does not
// check fencing numbers it begins a check of this agent's own, if one is due.
func (a *Agent) mayOrder(now time.Time, m *modelState) bool {
	if a.fence == 0 || a.engine.superseded || !a.engine.healthy || m.ordering || now.Before(m.retryAt) {
		return false
	}
	if a.fenceConfirmed(now) {
		return true
	}
	a.startFenceCheck(now)
	return false
}

// checkStuck quarantines a model that has been loading for too long.
func (a *Agent) checkStuck(now time.Time, m *modelState) {
	if !m.ordering && now.Sub(m.phaseSince) >= a.cfg.LoadTimeout {
		a.postpone(now, m)
		a.fire(now, m, triggerOrderFailed)
	}
}

// postpone backs off before the next order of the model.
func (a *Agent) postpone(now time.Time, m *modelState) {
	backoff := a.cfg.MaxBackoff
	if shift := uint(m.failures); shift < 16 {
		backoff = min(a.cfg.MinBackoff<<shift, a.cfg.MaxBackoff)
	}
	m.failures++
	m.retryAt = now.Add(a.jitter(backoff))
}

// startOrder sends the order in the background. The caller holds a.mu.
func (a *Agent) startOrder(now time.Time, m *modelState) {
	if a.base == nil || a.base.Err() != nil {
		return
	}
	m.ordering = true
	m.ordered = a.orderable(m)
	m.fetched = 0 // the order uses them up
	m.returnedAt = now
	order := endpoint.Order{Fence: a.fence, Model: m.model, Version: m.ordered}
	a.cfg.Counters.Add(observe.NameOrders, "", 1)
	a.logModel(m).WithField("ordered", m.ordered).Info("engine is ordered to load")
	a.tasks.Go(func() { a.order(m, order) })
}

func (a *Agent) order(m *modelState, o endpoint.Order) {
	ctx, cancel := context.WithTimeout(a.base, a.cfg.LoadTimeout)
	defer cancel()
	if !a.stillConfirmed(m) {
		return
	}
	err := a.cfg.Engine.Load(ctx, o)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	m.ordering = false
	m.returnedAt = now
	if err != nil {
		a.orderFailed(now, m, err)
	}
	a.wakePoll() // only the status says what the order led to
}

// orderFailed quarantines the model until a status shows what it has. A lost
// reply looks the same as a refused order.
func (a *Agent) orderFailed(now time.Time, m *modelState, err error) {
	a.cfg.Counters.Add(observe.NameOrdersFailed, "", 1)
	a.logModel(m).WithError(err).Warn("order failed or its reply was lost")
	if errors.Is(err, platform.ErrStaleFence) {
		a.supersede()
	}
	a.postpone(now, m)
	a.fire(now, m, triggerOrderFailed)
}
