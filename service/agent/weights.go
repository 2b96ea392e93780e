package agent

import (
	"context"
	"errors"
	"time"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform"
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
		if !pause(ctx, wait) {
			return
		}
	}
}

// askTargets asks for each model and returns when to ask again.
func (a *Agent) askTargets(ctx context.Context) time.Duration {
	a.mu.Lock()
	wait := a.jitter(a.cfg.TargetInterval)
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

func (a *Agent) askTarget(ctx context.Context, model string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()
	return a.cfg.Targets.Latest(ctx, model)
}

// LearnTarget tells the agent of a published version. Older ones are passed over.
func (a *Agent) LearnTarget(model string, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.engine.models[model]
	if !ok || version <= m.target {
		return
	}
	m.target = version
	a.consider(time.Now(), model)
}

// consider gives the model's next order if one is due. The caller holds a.mu.
func (a *Agent) consider(now time.Time, model string) {
	m, ok := a.engine.models[model]
	if !ok {
		return
	}
	switch m.machine.State() {
	case phaseUnknown, phaseReady:
		if a.mayOrder(now, m) && m.target > m.version {
			a.fire(now, m, triggerNewer)
		}
	case phaseQuarantined:
		if a.mayOrder(now, m) && max(m.target, m.version) > 0 {
			a.fire(now, m, triggerNewer)
			a.startOrder(now, m)
		}
		return
	case phaseDraining:
		if a.engine.running[model] == 0 {
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

func (a *Agent) mayOrder(now time.Time, m *modelState) bool {
	return a.fence > 0 && !a.engine.superseded && a.engine.healthy && !m.ordering && !now.Before(m.retryAt)
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
	m.ordered = max(m.target, m.version)
	m.returnedAt = now
	order := endpoint.Order{Fence: a.fence, Model: m.model, Version: m.ordered}
	a.cfg.Counters.Add(observe.NameOrders, "", 1)
	a.logModel(m).WithField("ordered", m.ordered).Info("engine is ordered to load")
	a.tasks.Go(func() { a.order(m, order) })
}

func (a *Agent) order(m *modelState, o endpoint.Order) {
	ctx, cancel := context.WithTimeout(a.base, a.cfg.LoadTimeout)
	defer cancel()
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
		a.engine.superseded = true
		a.logModel(m).Error("a newer agent gives this engine its orders; this one gives no more")
	}
	a.postpone(now, m)
	a.fire(now, m, triggerOrderFailed)
}
