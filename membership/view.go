package membership

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulberryscale.example/platform"
	"mulberryscale.example/wire"
)

// View combines the instance list, the agents' reports and failed calls into the state of
// each agent, and publishes it as snapshots. It is safe for concurrent use; Snapshot takes no
// lock.
type View struct {
	mu      sync.Mutex
	agents  map[string]*Agent
	current atomic.Pointer[Snapshot]
	entries atomic.Pointer[[]platform.Instance]
	changed chan struct{}
}

// NewView returns an empty view.
func NewView() *View {
	v := &View{agents: map[string]*Agent{}, changed: make(chan struct{})}
	v.current.Store(&Snapshot{})
	v.entries.Store(&[]platform.Instance{})
	return v
}

// Snapshot returns the newest snapshot.
func (v *View) Snapshot() *Snapshot { return v.current.Load() }

// Changed returns a channel that is closed when the next snapshot is published.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Entries returns the other entries of the last instance list. Callers must not modify it.
func (v *View) Entries() []platform.Instance { return *v.entries.Load() }

// SetEntries stores the other entries of the instance list.
func (v *View) SetEntries(entries []platform.Instance) { v.entries.Store(&entries) }

// ApplyList updates the view with the watched agents of the instance list. An agent that is no
// longer on the list is removed only if it is not live by its own reports, since the list lags
// behind. A list without any agent is ignored: it would leave nothing to route to.
func (v *View) ApplyList(instances []platform.Instance) {
	if len(instances) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := make(map[string]bool, len(instances))
	for _, in := range instances {
		listed[in.ID] = true
		v.applyInstance(in)
	}
	maps.DeleteFunc(v.agents, func(id string, a *Agent) bool {
		return !listed[id] && a.State != StateLive
	})
	v.publish()
}

func (v *View) applyInstance(in platform.Instance) {
	a := v.copyOf(in.ID)
	if a.Addr != in.Addr {
		// Another instance under the same id: the former one's state does not apply to it.
		*a = Agent{ID: in.ID, State: StateNew, InFlight: a.InFlight}
	}
	a.Addr = in.Addr
	a.Zone = in.Zone
	if in.State == platform.InstanceLeaving {
		a.State = StateLeaving
	}
	v.agents[in.ID] = a
}

// ApplyReport updates the view with an agent's report and returns whether it was newer than
// the last one. A report that arrives late or out of order is dropped.
func (v *View) ApplyReport(h wire.Header, r wire.Report, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.agents[h.From]
	if !known {
		return false
	}
	sameIncarnation := old.Incarnation == h.Incarnation
	if sameIncarnation && r.Seq <= old.Report.Seq {
		return false
	}
	a := v.copyOf(h.From)
	a.State = nextState(old.State, sameIncarnation, r.Draining)
	a.Incarnation = h.Incarnation
	a.Report = r
	a.ReportedAt = now
	a.inFlightAtReport = a.InFlight.Count()
	v.agents[a.ID] = a
	v.publish()
	return true
}

func nextState(old State, sameIncarnation, draining bool) State {
	if draining {
		return StateLeaving
	}
	if old == StateLeaving && sameIncarnation {
		return StateLeaving
	}
	return StateLive
}

// MarkSuspect records that an agent's reports stopped or that a call to the agent failed.
func (v *View) MarkSuspect(id string) {
	v.setState(id, StateSuspect)
}

// MarkLeaving records that an agent has said that it is draining.
func (v *View) MarkLeaving(id string) {
	v.setState(id, StateLeaving)
}

func (v *View) setState(id string, s State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, known := v.agents[id]
	if !known || old.State == s || old.State == StateLeaving {
		return
	}
	a := v.copyOf(id)
	a.State = s
	v.agents[id] = a
	v.publish()
}

func (v *View) copyOf(id string) *Agent {
	old, known := v.agents[id]
	if !known {
		return &Agent{ID: id, State: StateNew, InFlight: &InFlight{}}
	}
	a := *old
	return &a
}

func (v *View) publish() {
	agents := slices.SortedFunc(maps.Values(v.agents), func(a, b *Agent) int {
		return strings.Compare(a.ID, b.ID)
	})
	v.current.Store(&Snapshot{Agents: agents})
	close(v.changed)
	v.changed = make(chan struct{})
}
