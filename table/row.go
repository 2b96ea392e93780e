// Package table defines the operators' configuration table: its rows, its file
// formats, its validation, the difference of two versions and their three-way merge.
package table

import "time"

// Kind says what a row configures.
type Kind string

// Kinds of rows.
const (
	// KindService is an interactive service on model engines.
	KindService Kind = "service"
	// KindTrainer is a trainer that takes rollout steps from model engines.
	KindTrainer Kind = "trainer"
	// KindPlain is a plain service to which the system routes calls.
	KindPlain Kind = "plain"
)

// Leftover says what happens to the samples that are unfinished when a step completes.
type Leftover string

// Treatments of unfinished samples.
const (
	LeftoverCarry  Leftover = "carry"  // they continue in the next step
	LeftoverCancel Leftover = "cancel" // they are cancelled
)

// SwapPolicy says when an engine loads new weights.
type SwapPolicy string

// Swap policies.
const (
	// SwapAtOnce loads immediately; running streams continue with the new weights.
	SwapAtOnce SwapPolicy = "at_once"
	// SwapDrain accepts no new streams and loads when the engine's running streams
	// have finished.
	SwapDrain SwapPolicy = "drain"
	// SwapRolling is a rolling SwapAtOnce: the engines of a model load one after
	// another, and earlier where a request needs newer weights.
	SwapRolling SwapPolicy = "rolling"
)

// Row configures a service or trainer with its share and limits. The zero value of
// a limit means "no limit".
type Row struct {
	Name  string `json:"name" yaml:"name"`
	Kind  Kind   `json:"kind" yaml:"kind"`
	Model string `json:"model,omitempty" yaml:"model,omitempty"` // model served; empty for plain services
	// Share is the row's weight in the division of contended engines.
	Share float64 `json:"share" yaml:"share"`
	// StalenessBound is how many weight versions a sample may be behind the trainer.
	StalenessBound uint64 `json:"staleness_bound" yaml:"staleness_bound"`
	// MaxRPS bounds requests a second, summed over all entries.
	MaxRPS float64 `json:"max_rps,omitempty" yaml:"max_rps,omitempty"`
	// MaxTPS bounds generated tokens a second, summed over all entries.
	MaxTPS float64 `json:"max_tps,omitempty" yaml:"max_tps,omitempty"`
	// MaxConcurrency bounds running requests, summed over all entries.
	MaxConcurrency int `json:"max_concurrency,omitempty" yaml:"max_concurrency,omitempty"`
	// MaxQueue bounds the row's queued requests at one agent.
	MaxQueue int `json:"max_queue" yaml:"max_queue"`
	// Deadline is the time limit of a call whose caller sets none.
	Deadline time.Duration `json:"deadline" yaml:"deadline"`
	// WaitShare is the share of a step that its trainer waits for, 0 < s <= 1.
	WaitShare float64 `json:"wait_share,omitempty" yaml:"wait_share,omitempty"`
	// Leftover says what happens to the samples that are unfinished when a step completes.
	Leftover Leftover `json:"leftover,omitempty" yaml:"leftover,omitempty"`
	// Scorer names the plain row that scores this trainer's samples.
	Scorer string `json:"scorer,omitempty" yaml:"scorer,omitempty"`
	// Swap is the swap policy of the row's model.
	Swap SwapPolicy `json:"swap,omitempty" yaml:"swap,omitempty"`
	// Repeatable says that calls are idempotent and may be retried; it is false for a
	// plain service whose calls must run at most once.
	Repeatable bool `json:"repeatable" yaml:"repeatable"`
}

// Snapshot is one immutable version of the table, indexed by row name. The methods
// of a nil Snapshot act as on an empty table.
type Snapshot struct {
	Version    uint64
	AcceptedAt time.Time
	rows       map[string]*Row
	names      []string
}

// NewSnapshot returns a snapshot of checked rows; rows must not change afterwards.
func NewSnapshot(version uint64, acceptedAt time.Time, rows []Row) *Snapshot {
	s := &Snapshot{Version: version, AcceptedAt: acceptedAt, rows: make(map[string]*Row, len(rows))}
	for i := range rows {
		s.rows[rows[i].Name] = &rows[i]
		s.names = append(s.names, rows[i].Name)
	}
	return s
}

// Row returns the row of that name; the second result is false when there is none.
func (s *Snapshot) Row(name string) (*Row, bool) {
	if s == nil {
		return nil, false
	}
	r, ok := s.rows[name]
	return r, ok
}

// Names returns the rows' names in the table's order. Callers must not modify the slice.
func (s *Snapshot) Names() []string {
	if s == nil {
		return nil
	}
	return s.names
}
