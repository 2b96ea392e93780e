package engine

import (
	"sort"

	"mulberryscale.example/endpoint"
)

// statusLocked returns the current status. The caller holds e.mu.
func (e *Engine) statusLocked() endpoint.Status {
	s := endpoint.Status{
		Slots:        e.opts.Slots,
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		FreeKVTokens: e.opts.KVTokens,
	}
	if !e.opts.IgnoreFence {
		s.Fence = e.fence
	}
	for _, r := range e.running {
		s.FreeKVTokens -= r.promptTokens + r.produced
	}
	s.FreeKVTokens = max(0, s.FreeKVTokens)
	for name, m := range e.models {
		s.Models = append(s.Models, endpoint.ModelStatus{Model: name, Version: m.version, State: m.state})
	}
	sort.Slice(s.Models, func(i, j int) bool { return s.Models[i].Model < s.Models[j].Model })
	return s
}
