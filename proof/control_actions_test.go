package proof_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/transport"
)

// controlStep is one action of a plan; a and b select its target and parameters.
type controlStep struct {
	name  string
	a, b  int
	pause time.Duration
}

// controlPlans generates sequences of actions.
func controlPlans() *rapid.Generator[[]controlStep] {
	step := rapid.Custom(func(t *rapid.T) controlStep {
		return controlStep{
			name:  rapid.SampledFrom(controlNames).Draw(t, "action"),
			a:     rapid.IntRange(0, controlEngines-1).Draw(t, "a"),
			b:     rapid.IntRange(0, 12).Draw(t, "b"),
			pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause_ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(step, 5, 40)
}

// controlNames are the names of the actions. A repeated name is drawn more often.
var controlNames = []string{
	"publish", "publish", "publish", "fail loads", "lose loads", "crash", "freeze engine", "thaw engine",
	"freeze agent", "thaw agent", "replace agent", "replace agent", "kill agent", "start agent", "store outage", "store back",
	"table outage", "table back", "lose table replies", "cut", "heal links",
}

// controlActions are the operations and faults by name.
var controlActions = map[string]func(h *controlHarness, a, b int){
	"publish":            func(h *controlHarness, _, b int) { h.publish(b) },
	"fail loads":         func(h *controlHarness, a, b int) { h.engines[a].core.FailNextLoads(1 + b%2) },
	"lose loads":         func(h *controlHarness, a, b int) { h.engines[a].core.LoseNextLoadReplies(1 + b%2) },
	"crash":              func(h *controlHarness, a, _ int) { h.engines[a].crash() },
	"freeze engine":      func(h *controlHarness, a, _ int) { h.engines[a].core.Freeze() },
	"thaw engine":        func(h *controlHarness, a, _ int) { h.engines[a].core.Thaw() },
	"freeze agent":       func(h *controlHarness, a, _ int) { h.freeze(h.d.Agents[a]) },
	"thaw agent":         func(h *controlHarness, a, _ int) { h.thaw(h.d.Agents[a]) },
	"replace agent":      func(h *controlHarness, a, _ int) { h.replace(h.d.Agents[a]) },
	"kill agent":         func(h *controlHarness, a, _ int) { h.kill(h.d.Agents[a]) },
	"start agent":        func(h *controlHarness, a, _ int) { h.restart(h.d.Agents[a]) },
	"store outage":       func(h *controlHarness, _, _ int) { h.d.Weights.Outage(true) },
	"store back":         func(h *controlHarness, _, _ int) { h.d.Weights.Outage(false) },
	"table outage":       func(h *controlHarness, _, _ int) { h.d.Table.Outage(true) },
	"table back":         func(h *controlHarness, _, _ int) { h.d.Table.Outage(false) },
	"lose table replies": func(h *controlHarness, _, b int) { h.d.Table.LoseNextReplies(1 + b%3) },
	"cut": func(h *controlHarness, a, b int) {
		h.fabric.Network.Cut(transport.PeerID(h.d.Agents[a].ID), transport.PeerID(h.d.Agents[b%controlEngines].ID))
	},
	"heal links": func(h *controlHarness, a, _ int) {
		h.fabric.Network.HealAll(transport.PeerID(h.d.Agents[a].ID))
	},
}

// freeze stalls an agent's messages and its calls to the engine.
func (h *controlHarness) freeze(a *deployment.Agent) {
	h.fabric.Network.StallAll(transport.PeerID(a.ID))
	h.gateOf(a).freeze()
}

func (h *controlHarness) thaw(a *deployment.Agent) {
	h.fabric.Network.HealAll(transport.PeerID(a.ID))
	h.gateOf(a).thaw()
}

func (h *controlHarness) gateOf(a *deployment.Agent) *gatedEngine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gates[a.ID]
}

// replace starts a new incarnation of an agent for the same engine while the calls of the
// previous one are frozen. They resume after 20 s, or when everything is thawed.
func (h *controlHarness) replace(a *deployment.Agent) {
	if h.down[a.ID] {
		return
	}
	h.gateOf(a).freeze()
	time.Sleep(time.Second) // until calls wait at the gate
	h.fabric.Network.HealAll(transport.PeerID(a.ID))
	if err := a.Start(); err != nil {
		h.errorf("%s was not replaced: %v", a.ID, err)
	}
	time.AfterFunc(20*time.Second, h.thawReplaced)
}

// thawReplaced resumes the calls of replaced incarnations.
func (h *controlHarness) thawReplaced() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range h.replaced {
		g.thaw()
	}
	h.replaced = nil
}

func (h *controlHarness) thawAll() {
	h.thawReplaced()
	for _, a := range h.d.Agents {
		if g := h.gateOf(a); g != nil {
			g.thaw()
		}
	}
	for _, e := range h.engines {
		if e.core != nil {
			e.core.Thaw()
		}
	}
}

func (h *controlHarness) kill(a *deployment.Agent) {
	if h.down[a.ID] {
		return
	}
	h.down[a.ID] = true
	h.gateOf(a).thaw() // a killed process must not block calls
	a.Kill()
}

func (h *controlHarness) restart(a *deployment.Agent) {
	if !h.down[a.ID] {
		return
	}
	delete(h.down, a.ID)
	if err := a.Start(); err != nil {
		h.errorf("%s did not restart: %v", a.ID, err)
	}
}

// heal removes every injected fault and restarts all agents that are down.
func (h *controlHarness) heal() {
	h.d.Weights.Outage(false)
	h.d.Table.Outage(false)
	h.d.Table.LoseNextReplies(0)
	for _, e := range h.engines {
		e.core.FailNextLoads(0)
		e.core.LoseNextLoadReplies(0)
	}
	h.thawAll()
	for _, a := range h.d.Agents {
		h.fabric.Network.HealAll(transport.PeerID(a.ID))
		h.restart(a)
	}
}

// awaitNewest waits until every engine has the newest weights and checks that it keeps them.
func (h *controlHarness) awaitNewest() {
	time.Sleep(controlOrderDelay)
	for began := time.Now(); time.Since(began) < controlConvergeTimeout && len(h.outdatedEngines()) > 0; {
		time.Sleep(time.Second)
	}
	time.Sleep(controlOrderDelay / 5)
	for _, b := range h.outdatedEngines() {
		h.errorf("%s, the newest is %d", b, h.newest())
	}
}

// outdatedEngines describes the engines that do not have the newest weights ready.
func (h *controlHarness) outdatedEngines() []string {
	var outdatedEngines []string
	for i, e := range h.engines {
		e.recordState()
		e.mu.Lock()
		last := e.states[len(e.states)-1]
		e.mu.Unlock()
		if !last.ready || last.version != h.newest() {
			outdatedEngines = append(outdatedEngines, fmt.Sprintf("%s has version %d (ready: %v)", engineID(i), last.version, last.ready))
		}
	}
	return outdatedEngines
}
