package agent

import (
	"mulberryscale.example/observe"
	"mulberryscale.example/weights"
	"mulberryscale.example/wire"
)

// gauge is an agent's state as published at /debug/vars.
type gauge struct {
	Report       *wire.Report          `json:"report"`
	Phases       map[string]modelPhase `json:"phases"` // by model
	TableVersion uint64                `json:"table_version"`
	// ResultBytes is the total size of retained results.
	ResultBytes int `json:"result_bytes"`
	// Superseded is true if a newer agent gives the engine its orders.
	Superseded bool `json:"superseded"`
	// Weights counts the fetched and served parts of weights; nil without a relay.
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
	if a.distribution.relay != nil {
		stats := a.distribution.relay.Stats()
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
