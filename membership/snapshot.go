// Package membership tracks the agents and the other entries that an entry instance knows.
// An agent's own reports decide its state. The platform's instance list lags behind; it is
// used only to discover the instances and to learn which of them leave.
package membership

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"mulberryscale.example/wire"
)

// State is an agent's state in an entry's view.
type State string

// States of an agent.
const (
	// StateNew is an agent on the instance list that has not reported yet.
	StateNew State = "new"
	// StateLive is an agent whose reports arrive.
	StateLive State = "live"
	// StateSuspect is an agent whose reports stopped or to which a call failed.
	StateSuspect State = "suspect"
	// StateLeaving is an agent that drains according to itself or to the instance list. This
	// is final for its incarnation.
	StateLeaving State = "leaving"
)

// Agent is one agent in a snapshot. It must not be modified.
type Agent struct {
	ID          string
	Addr        string // "ip:port"
	Zone        string
	Incarnation string
	State       State
	Report      wire.Report
	ReportedAt  time.Time
	// InFlight counts this entry's own unfinished runs at the agent. All snapshots share it.
	InFlight *InFlight
	// inFlightAtReport is the count of InFlight when the report arrived.
	inFlightAtReport int64
}

// InFlight counts an entry's own unfinished runs at one agent.
type InFlight struct{ n atomic.Int64 }

// Begin adds a run that is being sent.
func (s *InFlight) Begin() { s.n.Add(1) }

// End removes a run that has finished, whatever its outcome.
func (s *InFlight) End() { s.n.Add(-1) }

// Count returns the number of unfinished runs.
func (s *InFlight) Count() int64 { return s.n.Load() }

// Load estimates the number of runs at the agent now: those in its last report, corrected by
// the runs that this entry has started and finished since the report arrived.
func (a *Agent) Load() int64 {
	own := a.InFlight.Count()
	reported := int64(a.Report.Running + a.Report.Queued)
	return max(own, reported+own-a.inFlightAtReport)
}

// Free estimates the number of free slots at the agent. It is negative if runs queue there.
func (a *Agent) Free() int64 {
	return int64(a.Report.Slots) - a.Load()
}

// Model returns the agent's report on a model, or false if its report does not list the model.
func (a *Agent) Model(model string) (wire.ModelReport, bool) {
	for _, m := range a.Report.Models {
		if m.Model == model {
			return m, true
		}
	}
	return wire.ModelReport{}, false
}

// Serves returns whether the agent's endpoint is the plain service of a row.
func (a *Agent) Serves(row string) bool {
	return slices.Contains(a.Report.Services, row)
}

// Snapshot is an immutable view of the watched agents, ordered by id.
type Snapshot struct {
	Agents []*Agent
}

// Agent returns the agent with the given id, or nil.
func (s *Snapshot) Agent(id string) *Agent {
	i, found := slices.BinarySearchFunc(s.Agents, id, func(a *Agent, id string) int {
		return strings.Compare(a.ID, id)
	})
	if !found {
		return nil
	}
	return s.Agents[i]
}
