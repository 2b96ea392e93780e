package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/admission"
	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/observe"
)

// poll requests the engine's status at intervals and on wakePoll, until ctx is done.
func (a *Agent) poll(ctx context.Context) {
	ticker := time.NewTicker(a.cfg.PollInterval)
	defer ticker.Stop()
	for {
		a.pollOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.pollNow:
		}
	}
}

// wakePoll makes poll request the next status at once.
func (a *Agent) wakePoll() {
	select {
	case a.pollNow <- struct{}{}:
	default:
	}
}

func (a *Agent) pollOnce(ctx context.Context) {
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, a.cfg.PollTimeout)
	defer cancel()
	status, err := a.cfg.Engine.Status(ctx)
	if err != nil {
		a.statusFailed(time.Now(), err)
		return
	}
	a.applyStatus(askedAt, status)
	a.refuseQueued(a.quarantineRefusal(stepQueue), func(it *admission.Item) bool { return a.quarantined(it.Model) })
	a.dispatch()
}

// quarantined reports whether a model is quarantined, which means that it is unknown
// which weights of it the engine has. The caller holds a.mu.
func (a *Agent) quarantined(model string) bool {
	m, ok := a.engine.models[model]
	return ok && m.machine.State() == phaseQuarantined
}

func (a *Agent) quarantineRefusal(step string) *api.Refusal {
	return a.refuseRetry(api.CodeNoEndpoint, api.NotRunTrue, step, "the engine's weights are not known")
}

// statusFailed marks the engine as unhealthy and refuses all queued runs, so that they
// are placed elsewhere. After StallTimeout it also cancels the running streams.
func (a *Agent) statusFailed(now time.Time, err error) {
	a.mu.Lock()
	wasHealthy := a.engine.healthy
	a.engine.healthy = false
	if a.engine.failingSince.IsZero() {
		a.engine.failingSince = now
	}
	stalled := now.Sub(a.engine.failingSince) >= a.cfg.StallTimeout
	var running []*job
	for _, j := range a.jobs {
		if stalled && !j.item.Queued() {
			running = append(running, j)
		}
	}
	a.mu.Unlock()
	if wasHealthy {
		a.log.WithError(err).Warn("engine does not answer")
		a.urgent.Fire()
	}
	for _, j := range running {
		j.cancel(errStalled)
	}
	a.refuseQueued(a.refuseRetry(api.CodeNoEndpoint, api.NotRunTrue, stepQueue, "the endpoint does not answer"), everyItem)
}

// applyStatus updates the engine's state from the reply to a status request that was
// sent at askedAt.
func (a *Agent) applyStatus(askedAt time.Time, status endpoint.Status) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.engine.healthy {
		a.engine.healthy = true
		a.urgent.Fire()
	}
	a.engine.failingSince = time.Time{}
	if a.queue.Slots() != status.Slots {
		a.queue.SetSlots(status.Slots)
		a.changed.Fire()
	}
	if status.Fence > 0 {
		a.engine.checksFence = true
	}
	listed := make(map[string]bool, len(status.Models))
	for _, ms := range status.Models {
		listed[ms.Model] = true
		a.applyModel(now, askedAt, ms)
	}
	for name, m := range a.engine.models {
		if !listed[name] {
			a.handleMissingModel(now, m)
		}
		a.reconcile(now, name)
	}
}

func (a *Agent) applyModel(now, askedAt time.Time, ms endpoint.ModelStatus) {
	m, ok := a.engine.models[ms.Model]
	if !ok {
		m = a.newModel(ms.Model)
		m.phaseSince = now
		a.engine.models[ms.Model] = m
		a.restoreTarget(now, m)
		a.changed.Fire()
	}
	m.observed = observedStatus{askedAt: askedAt, version: ms.Version}
	if ms.State == endpoint.LoadBroken {
		a.handleBrokenModel(now, m)
		return
	}
	if ms.State == endpoint.LoadReady && a.regressed(m) {
		a.handleRegression(now, m)
	}
	a.fire(now, m, modelTriggerOf(ms.State))
	if ms.State == endpoint.LoadReady {
		a.handleReadyVersion(now, m, ms.Version)
	}
}

// handleReadyVersion records the version that a status shows as ready. If the model is
// in service after an order, it also checks that this is the ordered version: an older
// one counts as a failed order.
func (a *Agent) handleReadyVersion(now time.Time, m *modelState, version uint64) {
	if version != m.version {
		m.version = version
		m.newestReported = max(m.newestReported, version)
		a.logModel(m).Info("model version changed")
		a.changed.Fire()
		a.urgent.Fire()
	}
	if m.machine.State() != phaseReady || m.ordered == 0 {
		return
	}
	if version < m.ordered {
		a.backOff(now, m)
	} else {
		m.failures = 0
	}
	m.ordered = 0
}

// handleRegression quarantines a model whose weights are older than before: a delayed
// order of a superseded agent reached an engine that does not check fencing numbers.
func (a *Agent) handleRegression(now time.Time, m *modelState) {
	switch m.machine.State() {
	case phaseUnknown, phaseQuarantined:
		return
	case phaseSwapping: // the status may predate the last order's effect
		if m.ordering || m.observed.askedAt.Sub(m.returnedAt) < a.cfg.SettleTime {
			return
		}
	}
	a.logModel(m).WithField("shown", m.observed.version).Warn("engine reports older weights than before")
	m.target = max(m.target, m.newestReported)
	a.handleBrokenModel(now, m)
}

// handleMissingModel handles a model that the status does not list.
func (a *Agent) handleMissingModel(now time.Time, m *modelState) {
	if m.version == 0 && m.machine.State() == phaseUnknown {
		return // not loaded yet
	}
	m.target = max(m.target, m.version) // a restarted engine is to load the same weights again
	m.version, m.newestReported, m.fetched = 0, 0, 0
	phase := m.machine.State()
	wasServing := phase == phaseReady || phase == phaseDraining
	if wasServing || (!m.ordering && now.Sub(m.returnedAt) >= a.cfg.SettleTime) {
		a.handleBrokenModel(now, m)
	}
}

// handleBrokenModel quarantines a model whose weights are missing, incomplete or older
// than before. If that is the result of an order, the next order backs off.
func (a *Agent) handleBrokenModel(now time.Time, m *modelState) {
	if m.ordered > 0 && !m.ordering {
		m.ordered = 0
		a.backOff(now, m)
	}
	a.fire(now, m, triggerBroken)
}

func (a *Agent) logModel(m *modelState) *logrus.Entry {
	return a.log.WithFields(logrus.Fields{"model": m.model, observe.FieldVersion: m.version})
}
