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

// poll asks the engine for its status until ctx ends.
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

// wakePoll makes the next status due now.
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

// quarantined says whether nobody knows what weights the engine has of a
// model. The caller holds a.mu.
func (a *Agent) quarantined(model string) bool {
	m, ok := a.engine.models[model]
	return ok && m.machine.State() == phaseQuarantined
}

func (a *Agent) quarantineRefusal(step string) *api.Refusal {
	return a.refuseRetry(api.CodeNoEndpoint, api.NotRunTrue, step, "the engine's weights are not known")
}

// statusFailed takes the engine out: what waits is refused so that it is
// placed elsewhere, and after StallTimeout the running streams are given up.
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

// applyStatus takes in what the engine said to a question of askedAt.
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
			a.modelMissing(now, m)
		}
		a.consider(now, name)
	}
}

func (a *Agent) applyModel(now, askedAt time.Time, ms endpoint.ModelStatus) {
	m, ok := a.engine.models[ms.Model]
	if !ok {
		m = a.newModel(ms.Model)
		m.phaseSince = now
		a.engine.models[ms.Model] = m
		a.recall(now, m)
		a.changed.Fire()
	}
	m.seen = seenStatus{askedAt: askedAt, version: ms.Version}
	if ms.State == endpoint.LoadBroken {
		a.modelBroken(now, m)
		return
	}
	if ms.State == endpoint.LoadReady && a.wentBack(m) {
		a.takeBack(now, m)
	}
	a.fire(now, m, modelTriggerOf(ms.State))
	if ms.State == endpoint.LoadReady {
		a.shown(now, m, ms.Version)
	}
}

// shown notes a version that the status shows as ready.
func (a *Agent) shown(now time.Time, m *modelState, version uint64) {
	if version != m.version {
		m.version = version
		m.floor = max(m.floor, version)
		a.logModel(m).Info("engine shows a version")
		a.changed.Fire()
		a.urgent.Fire()
	}
	if m.machine.State() != phaseReady || m.ordered == 0 {
		return
	}
	if version < m.ordered {
		a.postpone(now, m)
	} else {
		m.failures = 0
	}
	m.ordered = 0
}

// takeBack takes a model out whose weights are older than before: an order
// that was held up reached an engine that does not check fencing numbers.
func (a *Agent) takeBack(now time.Time, m *modelState) {
	switch m.machine.State() {
	case phaseUnknown, phaseQuarantined:
		return
	case phaseSwapping: // the status may lag behind the last order
		if m.ordering || m.seen.askedAt.Sub(m.returnedAt) < a.cfg.SettleTime {
			return
		}
	}
	a.logModel(m).WithField("shown", m.seen.version).Warn("engine went back to older weights")
	m.target = max(m.target, m.floor)
	a.modelBroken(now, m)
}

// modelMissing deals with a model that the status does not list.
func (a *Agent) modelMissing(now time.Time, m *modelState) {
	if m.version == 0 && m.machine.State() == phaseUnknown {
		return // not loaded yet
	}
	m.target = max(m.target, m.version) // an engine that restarted gets its weights back
	m.version, m.floor, m.fetched = 0, 0, 0
	phase := m.machine.State()
	shown := phase == phaseReady || phase == phaseDraining
	if shown || (!m.ordering && now.Sub(m.returnedAt) >= a.cfg.SettleTime) {
		a.modelBroken(now, m)
	}
}

// modelBroken takes a model out whose weights are of no one version. When an
// order led to that, the next one waits.
func (a *Agent) modelBroken(now time.Time, m *modelState) {
	if m.ordered > 0 && !m.ordering {
		m.ordered = 0
		a.postpone(now, m)
	}
	a.fire(now, m, triggerBroken)
}

func (a *Agent) logModel(m *modelState) *logrus.Entry {
	return a.log.WithFields(logrus.Fields{"model": m.model, observe.FieldVersion: m.version})
}
