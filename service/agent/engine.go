package agent

import (
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
	// target is the newest published version known.
	target uint64

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
		"swap_now":   func() bool { return a.maySwapNow(m) },
		"swap_later": func() bool { return !a.maySwapNow(m) },
		"settled":    func() bool { return a.settledStatus(m) },
		"unsettled":  func() bool { return !a.settledStatus(m) },
	})
	if err != nil {
		panic(err) // the chart is embedded and the guards above are all it names
	}
	m.machine = machine
	return m
}

// maySwapNow says whether the table's swap policy lets the order go out at once.
func (a *Agent) maySwapNow(m *modelState) bool {
	return a.swapPolicy(m.model) == table.SwapAtOnce || a.engine.running[m.model] == 0
}

// swapPolicy is drain when any row of the model asks for it.
func (a *Agent) swapPolicy(model string) table.SwapPolicy {
	snapshot := a.cfg.Holder.Current()
	for _, name := range snapshot.Names() {
		row, ok := snapshot.Row(name)
		if ok && row.Model == model && row.Swap == table.SwapDrain {
			return table.SwapDrain
		}
	}
	return table.SwapAtOnce
}

// settledStatus says whether a status that shows the model as ready can be
// believed: it was asked for after the last order returned, and it shows what
// was ordered or the lag of the engine's reports is over.
func (a *Agent) settledStatus(m *modelState) bool {
	if m.ordering || m.seen.askedAt.Before(m.returnedAt) {
		return false
	}
	return m.seen.version >= m.ordered || m.seen.askedAt.Sub(m.returnedAt) >= a.cfg.SettleTime
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
