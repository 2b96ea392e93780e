package agent

import (
	"context"
	"embed"
	"time"

	"mulberryscale.example/chart"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/table"
)

// modelPhase is a state of the state chart engine.yaml.
type modelPhase string

const (
	phaseUnknown     modelPhase = "unknown"
	phaseReady       modelPhase = "ready"
	phaseDraining    modelPhase = "draining"
	phaseSwapping    modelPhase = "swapping"
	phaseQuarantined modelPhase = "quarantined"
)

type modelTrigger string

const (
	triggerReady       modelTrigger = "status_ready"
	triggerLoading     modelTrigger = "status_loading"
	triggerBroken      modelTrigger = "status_broken"
	triggerNewer       modelTrigger = "newer"
	triggerIdle        modelTrigger = "idle"
	triggerOrderFailed modelTrigger = "order_failed"
)

//go:embed engine.yaml
var charts embed.FS

var engineChart = chart.MustLoad(charts, "engine.yaml",
	[]modelPhase{phaseUnknown, phaseReady, phaseDraining, phaseSwapping, phaseQuarantined},
	[]modelTrigger{triggerReady, triggerLoading, triggerBroken, triggerNewer, triggerIdle, triggerOrderFailed})

// engineState is the agent's knowledge of its endpoint. It is guarded by Agent.mu.
type engineState struct {
	healthy bool
	// failingSince is when status requests started to fail, zero while they succeed.
	failingSince time.Time
	models       map[string]*modelState
	running      map[string]int // number of running jobs by model
	superseded   bool           // a newer agent gives the orders; this one must not
	// checksFence is true once the status shows a fencing number.
	checksFence bool
	// fenceCheckedAt is when the last successful check of this agent's fencing
	// number began. No check begins before fenceCheckAfter.
	fenceCheckedAt  time.Time
	fenceCheckAfter time.Time
	fenceChecking   bool
}

func (e *engineState) addRunning(model string, n int) {
	if e.running == nil {
		e.running = make(map[string]int)
	}
	e.running[model] += n
}

// modelState is the state of one model on the engine.
type modelState struct {
	model   string
	machine *chart.Machine[modelPhase, modelTrigger]
	// version is the last one that a status reported as ready, 0 for none.
	version uint64
	// target is the newest published version known, and learnedAt when it became
	// known. In a rolling swap, it is ordered swapDelay after learnedAt.
	target    uint64
	learnedAt time.Time
	swapDelay time.Duration
	// minRequired is the largest MinVersion that a request has had.
	minRequired uint64
	// newestReported is the newest version that a status has reported since the engine started.
	newestReported uint64

	fetched    uint64 // the version whose parts are all fetched for the next order, 0 for none
	fetching   uint64 // the version that is being fetched, 0 for none
	stopFetch  context.CancelFunc
	fetchAfter time.Time // no fetch starts before

	ordering   bool      // an order was sent and has not returned
	ordered    uint64    // the version of the last order, 0 once a status has shown its result
	returnedAt time.Time // when the last order returned, or was sent if it has not
	phaseSince time.Time
	retryAt    time.Time // no order is sent before
	failures   int       // consecutive orders that did not result in their version
	observed   observedStatus
}

// observedStatus is the part of the last status that the chart's guards need.
type observedStatus struct {
	askedAt time.Time
	version uint64
}

func (a *Agent) newModel(name string) *modelState {
	m := &modelState{model: name}
	machine, err := engineChart.NewMachine(chart.Guards{
		"swap_now":      func() bool { return a.maySwapNow(m) },
		"swap_later":    func() bool { return !a.maySwapNow(m) },
		"settled":       func() bool { return a.settledStatus(m) },
		"unsettled":     func() bool { return !a.settledStatus(m) },
		"may_order":     func() bool { return !a.mayNotOrder() },
		"may_not_order": func() bool { return a.mayNotOrder() },
	})
	if err != nil {
		panic(err) // cannot happen: the chart is embedded and names only the guards above
	}
	m.machine = machine
	return m
}

// maySwapNow reports whether the table's swap policy allows an order at once.
func (a *Agent) maySwapNow(m *modelState) bool {
	return a.swapPolicy(m.model) != table.SwapDrain || a.engine.running[m.model] == 0
}

// mayNotOrder reports whether a newer agent gives the orders, or the check of this
// agent's fencing number has just failed. A drained model then returns to service
// without a swap.
func (a *Agent) mayNotOrder() bool {
	return a.engine.superseded || time.Now().Before(a.engine.fenceCheckAfter)
}

// swapPolicy returns the swap policy of the model's rows, which all have the same one.
func (a *Agent) swapPolicy(model string) table.SwapPolicy {
	snapshot := a.cfg.Holder.Current()
	for _, name := range snapshot.Names() {
		row, ok := snapshot.Row(name)
		if ok && row.Model == model && row.Swap != "" {
			return row.Swap
		}
	}
	return table.DefaultSwap
}

// settledStatus reports whether a status that shows the model as ready is current: it
// was requested after the last order returned, and it shows the ordered version or
// SettleTime has passed, so that it cannot lag behind the order. A status with older
// weights than before never counts: they stem from a delayed order of a superseded
// agent, and the model stays out of service until another order has replaced them.
func (a *Agent) settledStatus(m *modelState) bool {
	if m.ordering || m.observed.askedAt.Before(m.returnedAt) || a.regressed(m) {
		return false
	}
	return m.observed.version >= m.ordered || m.observed.askedAt.Sub(m.returnedAt) >= a.cfg.SettleTime
}

// regressed reports whether an engine that takes its orders from this agent shows
// older weights than before.
func (a *Agent) regressed(m *modelState) bool {
	return a.fence > 0 && m.observed.version < m.newestReported
}

// fire applies a trigger to the model's chart and records when its phase changed.
func (a *Agent) fire(now time.Time, m *modelState, t modelTrigger) {
	before := m.machine.State()
	if err := m.machine.Fire(t); err != nil {
		a.logModel(m).WithError(err).Error("invalid transition of the model's state")
		return
	}
	after := m.machine.State()
	if after == before {
		return
	}
	m.phaseSince = now
	a.logModel(m).WithField("phase", string(after)).Info("model phase changed")
	a.changed.Fire()
	if before == phaseReady || after == phaseReady {
		a.urgent.Fire()
	}
}

// modelReady reports whether new runs of the model may start; "" stands for a plain
// service. The caller holds a.mu.
func (a *Agent) modelReady(model string) bool {
	if !a.engine.healthy {
		return false
	}
	if model == "" {
		return a.cfg.Service != nil
	}
	m, ok := a.engine.models[model]
	return ok && m.machine.State() == phaseReady
}

// modelTriggerOf returns the trigger for a model's load state in a status.
func modelTriggerOf(state endpoint.LoadState) modelTrigger {
	switch state {
	case endpoint.LoadReady:
		return triggerReady
	case endpoint.LoadLoading:
		return triggerLoading
	}
	return triggerBroken
}
