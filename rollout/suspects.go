package rollout

import (
	"sync"

	"mulberryscale.example/membership"
	"mulberryscale.example/quarantine"
)

// suspectCounts counts the crash suspects that run at each agent, over all steps of an entry. An
// agent runs one of them at a time: otherwise samples that merely ran beside the one that crashes
// engines would take part in its third crash and be quarantined with it. The zero value is ready
// for use, and it is safe for concurrent use.
type suspectCounts struct {
	mu      sync.Mutex
	byAgent map[string]int
}

// accepts reports whether no crash suspect runs at an agent.
func (c *suspectCounts) accepts(a *membership.Agent) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byAgent[a.ID] == 0
}

// add counts a crash suspect at an agent until the returned function is called.
func (c *suspectCounts) add(agentID string) (remove func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAgent == nil {
		c.byAgent = map[string]int{}
	}
	c.byAgent[agentID]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.byAgent[agentID]--
	}
}

// isCrashSuspect reports whether endpoints have crashed so often while they ran the sample that
// one more crash quarantines it.
func (t *task) isCrashSuspect() bool {
	if t.s.Quarantine.Empty() {
		return false
	}
	state, _ := t.s.Quarantine.State(t.fingerprint(), quarantine.ItemLimit-1)
	return state == quarantine.Quarantined || state == quarantine.TrialDue
}
