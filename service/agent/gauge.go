package agent

import (
	"mulberryscale.example/observe"
	"mulberryscale.example/weights"
	"mulberryscale.example/wire"
)

// gauge is what operators see of an agent at /debug/vars.
type gauge struct {
	Report       *wire.Report          `json:"report"`
	Phases       map[string]modelPhase `json:"phases"` // by model
	TableVersion uint64                `json:"table_version"`
	// ResultBytes is the memory of kept results.
	ResultBytes int `json:"result_bytes"`
	// Superseded is true when a newer agent gives the engine its orders.
	Superseded bool `json:"superseded"`
	// Weights counts what was fetched and served of new weights, nil without a relay.
	Weights *weights.RelayStats `json:"weights,omitempty"`
}

func (a *Agent) publishGauge() {
	a.cfg.Counters.Gauge(observe.NameAgent, func() any { return a.gauge() })
}

func (a *Agent) gauge() gauge {
	g := gauge{
		Report:       a.Report(),
		Phases:       make(map[string]modelPhase),
		TableVersion: a.cfg.Holder.Version(),
		ResultBytes:  a.results.Bytes(),
	}
	if a.spreading.relay != nil {
		stats := a.spreading.relay.Stats()
		g.Weights = &stats
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, m := range a.engine.models {
		g.Phases[name] = m.machine.State()
	}
	g.Superseded = a.engine.superseded
	return g
}
