package entry

import (
	"time"

	"mulberryscale.example/membership"
	"mulberryscale.example/observe"
)

// gauge is an entry's state as shown in /debug/vars.
type gauge struct {
	// TableVersion is the version in force. TableAge is the time in seconds since the
	// table service last answered, negative if it never did.
	TableVersion uint64  `json:"table_version"`
	TableAge     float64 `json:"table_age_seconds"`
	Draining     bool    `json:"draining"`
	// Agents counts the watched agents by state.
	Agents map[membership.State]int `json:"agents"`
	// Sends counts this entry's unfinished runs at all agents.
	Sends int64 `json:"unfinished_runs"`
	// Entries counts the other entries in the instance list.
	Entries int `json:"other_entries"`
}

func (e *Entry) gauge() any {
	status := e.Status()[0]
	g := gauge{
		TableVersion: status.TableVersion, TableAge: status.AgeSeconds, Draining: status.Draining,
		Agents: map[membership.State]int{}, Entries: len(e.view.Entries()),
	}
	for _, a := range e.view.Snapshot().Agents {
		g.Agents[a.State]++
		g.Sends += a.InFlight.Count()
	}
	return g
}

// observeSince records the duration of a call of a row.
func (e *Entry) observeSince(name observe.Name, row string, began time.Time) {
	e.cfg.Counters.Observe(name, row, time.Since(began))
}
