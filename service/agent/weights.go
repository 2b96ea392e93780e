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

// Targets returns the newest published version of a model; platform.WeightStore
// implements it. Latest returns platform.ErrNotFound for a model without versions.
type Targets interface {
	Latest(ctx context.Context, model string) (uint64, error)
}

// targetTimeout is the time limit of one request to Targets or Fencer.
const targetTimeout = 5 * time.Second

// pollTargets polls Targets for the newest versions, at intervals with jitter, so that
// agents that started together do not poll at the same time.
func (a *Agent) pollTargets(ctx context.Context) {
	for {
		wait := a.pollTargetsOnce(ctx)
		if !retry.Sleep(ctx, wait) {
			return
		}
	}
}

// pollTargetsOnce polls Targets for each model and returns the time until the next poll.
func (a *Agent) pollTargetsOnce(ctx context.Context) time.Duration {
	a.mu.Lock()
	wait := a.jitter(a.targetInterval())
	models := make([]string, 0, len(a.engine.models))
	for name := range a.engine.models {
		models = append(models, name)
	}
	a.mu.Unlock()
	if len(models) == 0 {
		return min(wait, a.cfg.PollInterval) // the engine's first status has not come yet
	}
	for _, model := range models {
		version, err := a.latestTarget(ctx, model)
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

// targetInterval returns the time between two polls of this agent. It grows with the
// number of agents, so that all of them together poll at a bounded rate; an agent that
// finds a new version notifies the others.
func (a *Agent) targetInterval() time.Duration {
	if a.distribution.peers == nil {
		return a.cfg.TargetInterval
	}
	return weights.PollInterval(a.distribution.peers.Len()+1, a.cfg.StoreReads, a.cfg.TargetInterval)
}

func (a *Agent) latestTarget(ctx context.Context, model string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()
	return a.cfg.Targets.Latest(ctx, model)
}

// reconcile fetches the model's wanted version if needed, and sends the model's next
// order if one is due. The caller holds a.mu.
func (a *Agent) reconcile(now time.Time, model string) {
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

// swapDue reports whether a newer version can be ordered and the swap policy allows
// it now.
func (a *Agent) swapDue(now time.Time, m *modelState) bool {
	return weights.SwapDue(now, weights.Swap{
		Policy:     a.swapPolicy(m.model),
		Version:    m.version,
		Latest:     a.orderable(m),
		MinVersion: m.minRequired,
		LearnedAt:  m.learnedAt,
		Delay:      m.swapDelay,
	})
}

// mayOrder reports whether an order may be sent now. If that only lacks a confirmed
// fencing number, because the engine does not check the numbers itself, mayOrder starts
// a check of this agent's number.
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

// checkStuck quarantines a model that has been loading for LoadTimeout.
func (a *Agent) checkStuck(now time.Time, m *modelState) {
	if !m.ordering && now.Sub(m.phaseSince) >= a.cfg.LoadTimeout {
		a.backOff(now, m)
		a.fire(now, m, triggerOrderFailed)
	}
}

// backOff delays the model's next order, exponentially with the number of consecutive
// failures, between MinBackoff and MaxBackoff with jitter.
func (a *Agent) backOff(now time.Time, m *modelState) {
	backoff := a.cfg.MaxBackoff
	if shift := uint(m.failures); shift < 16 {
		backoff = min(a.cfg.MinBackoff<<shift, a.cfg.MaxBackoff)
	}
	m.failures++
	m.retryAt = now.Add(a.jitter(backoff))
}

// startOrder sends an order in the background. The caller holds a.mu.
func (a *Agent) startOrder(now time.Time, m *modelState) {
	if a.base == nil || a.base.Err() != nil {
		return
	}
	m.ordering = true
	m.ordered = a.orderable(m)
	m.fetched = 0 // the order consumes the fetched parts
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
	a.wakePoll() // only a status shows the order's result
}

// orderFailed quarantines the model until a status shows which weights it has, since a
// lost reply cannot be told from a refused order.
func (a *Agent) orderFailed(now time.Time, m *modelState, err error) {
	a.cfg.Counters.Add(observe.NameOrdersFailed, "", 1)
	a.logModel(m).WithError(err).Warn("order failed or its reply was lost")
	if errors.Is(err, platform.ErrStaleFence) {
		a.supersede()
	}
	a.backOff(now, m)
	a.fire(now, m, triggerOrderFailed)
}
