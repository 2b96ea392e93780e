package agent

import (
	"context"
	"embed"
	"time"

	"mulberryscale.example/chart"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/table"
)

// modelPhase is a state of the chart engine.yaml.
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

// engineState is what the agent knows of its endpoint; the agent's lock guards it.
type engineState struct {
	healthy bool
	// failingSince is when the status began to fail; zero while it does not.
	failingSince time.Time
	models       map[string]*modelState
	running      map[string]int // started runs by model
	superseded   bool           // a newer agent gives the orders
	// checksFence is true once the status shows a fencing number.
	checksFence bool
	// fenceCheckedAt is when the last successful check of the own fencing
	// number began, and fenceCheckAfter when the next may begin.
	fenceCheckedAt  time.Time
	fenceCheckAfter time.Time
	fenceChecking   bool
}

func (e *engineState) count(model string, n int) {
	if e.running == nil {
		e.running = make(map[string]int)
	}
	e.running[model] += n
}

// modelState is one model on the engine.
type modelState struct {
	model   string
	machine *chart.Machine[modelPhase, modelTrigger]
	// version is the last one that a status showed as ready.
	version uint64
	// target is the newest published version known and learnedAt when it became
	// known; turn is the agent's turn in a rolling swap after that.
	target    uint64
	learnedAt time.Time
	turn      time.Duration
	// needed is the oldest version that some request may use.
	needed uint64
	// floor is the newest version that the engine has shown since it started.
	floor uint64

	fetched    uint64 // the version whose parts are here for the next order, 0 for none
	fetching   uint64 // the version that is being fetched
	stopFetch  context.CancelFunc
	fetchAfter time.Time // no fetch before

	ordering   bool      // an order is on its way
	ordered    uint64    // the version of the last order
	returnedAt time.Time // when the last order returned
	phaseSince time.Time
	retryAt    time.Time // no order before
	failures   int       // orders in a row that did not lead to their version
	seen       seenStatus
}

// seenStatus is the status that is being applied, for the chart's guards.
type seenStatus struct {
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
		panic(err) // the chart is embedded and the guards above are all it names
	}
	m.machine = machine
	return m
}

// maySwapNow says whether the table's swap policy lets the order go out at once.
func (a *Agent) maySwapNow(m *modelState) bool {
	return a.swapPolicy(m.model) != table.SwapDrain || a.engine.running[m.model] == 0
}

// mayNotOrder is true once a newer agent gives the orders, and while the own
// fencing number cannot be confirmed: then a drained model is not swapped.
func (a *Agent) mayNotOrder() bool {
	return a.engine.superseded || time.Now().Before(a.engine.fenceCheckAfter)
}

// swapPolicy is that of the model's rows, which name the same one.
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

// settledStatus says whether a status that shows the model as ready can be
// believed: it was asked for after the last order returned, and it shows what
// was ordered or the lag of the engine's reports is over. Weights that are
// older than the engine had before came by an order that nobody should have
// given, so they wait for another order.
func (a *Agent) settledStatus(m *modelState) bool {
	if m.ordering || m.seen.askedAt.Before(m.returnedAt) || a.wentBack(m) {
		return false
	}
	return m.seen.version >= m.ordered || m.seen.askedAt.Sub(m.returnedAt) >= a.cfg.SettleTime
}

// wentBack says whether an engine whose orders this agent gives shows older
// weights than before.
func (a *Agent) wentBack(m *modelState) bool {
	return a.fence > 0 && m.seen.version < m.floor
}

// fire applies a trigger and notes when the phase changed.
func (a *Agent) fire(now time.Time, m *modelState, t modelTrigger) {
	before := m.machine.State()
	if err := m.machine.Fire(t); err != nil {
		a.logModel(m).WithError(err).Error("model state")
		return
	}
	after := m.machine.State()
	if after == before {
		return
	}
	m.phaseSince = now
	a.logModel(m).WithField("phase", string(after)).Info("model changes its phase")
	a.changed.Fire()
	if before == phaseReady || after == phaseReady {
		a.urgent.Fire()
	}
}

// modelReady says whether new runs of the model may start; "" stands for a
// plain service. The caller holds a.mu.
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

// modelTriggerOf names what a status says of a model.
func modelTriggerOf(state endpoint.LoadState) modelTrigger {
	switch state {
	case endpoint.LoadReady:
		return triggerReady
	case endpoint.LoadLoading:
		return triggerLoading
	}
	return triggerBroken
}
