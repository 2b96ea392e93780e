// Package membership is what an entry instance knows of agents and of other
// entries. Direct evidence (an agent's own reports) decides; the platform's
// lagging instance list only says whom to ask.
package membership

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"mulberryscale.example/wire"
)

// State is an agent's state in an entry's view, a state of the chart agent.yaml.
type State string

// States of an agent.
const (
	// StateNew: listed, and not heard from yet.
	StateNew State = "new"
	// StateLive: its reports arrive.
	StateLive State = "live"
	// StateSuspect: its reports stopped, or a call to it failed.
	StateSuspect State = "suspect"
	// StateLeaving: it or the instance list said that it leaves; it stays so for the incarnation.
	StateLeaving State = "leaving"
)

// Agent is one agent in a snapshot. It must not be changed.
type Agent struct {
	ID          string
	Addr        string // "ip:port"
	Zone        string
	Incarnation string
	State       State
	Report      wire.Report
	ReportedAt  time.Time
	// InFlight counts this entry's own runs at the agent. It is shared by all snapshots.
	InFlight *InFlight
	// sendsAtReport is Sends when the report arrived.
	sendsAtReport int64
}

// InFlight counts an entry's own unfinished runs at one agent.
type InFlight struct{ n atomic.Int64 }

// Begin counts a run that is sent.
func (s *InFlight) Begin() { s.n.Add(1) }

// End counts a run that ended.
func (s *InFlight) End() { s.n.Add(-1) }

// Count is the number of unfinished runs.
func (s *InFlight) Count() int64 { return s.n.Load() }

// Load estimates the runs at the agent now: its report, corrected by what this
// entry itself began and ended since the report arrived.
func (a *Agent) Load() int64 {
	own := a.InFlight.Count()
	reported := int64(a.Report.Running + a.Report.Queued)
	return max(own, reported+own-a.sendsAtReport)
}

// Free estimates the free slots at the agent; negative when runs queue there.
func (a *Agent) Free() int64 {
	return int64(a.Report.Slots) - a.Load()
}

// Model returns the agent's report of a model; the second result is false when it has none.
func (a *Agent) Model(model string) (wire.ModelReport, bool) {
	for _, m := range a.Report.Models {
		if m.Model == model {
			return m, true
		}
	}
	return wire.ModelReport{}, false
}

// Serves says whether the agent's endpoint is the plain service of a row.
func (a *Agent) Serves(row string) bool {
	return slices.Contains(a.Report.Services, row)
}

// Snapshot is an immutable view of the watched agents, ordered by id.
type Snapshot struct {
	Agents []*Agent
}

// Agent returns the agent with that id, or nil.
func (s *Snapshot) Agent(id string) *Agent {
	i, found := slices.BinarySearchFunc(s.Agents, id, func(a *Agent, id string) int {
		return strings.Compare(a.ID, id)
	})
	if !found {
		return nil
	}
	return s.Agents[i]
}
