package pace

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/store"
)

// Table holds the rows of TablePaces as a process has read them. It implements store.Watcher; a
// store that fails leaves the last rows in use until they are too old. It is safe for concurrent
// use.
type Table struct {
	log logrus.FieldLogger
	// wanted receives a value when a pace is asked for.
	wanted chan struct{}
	// reported is closed once it is known that engines report their paces.
	reported     chan struct{}
	reportedOnce sync.Once

	mu   sync.Mutex
	rows map[string]Row // by the engine's address
}

// NewTable returns a table without rows.
func NewTable(log logrus.FieldLogger) *Table {
	return &Table{log: log, wanted: make(chan struct{}, 1), reported: make(chan struct{}), rows: map[string]Row{}}
}

// Wanted returns a channel that receives a value when a pace was asked for. Processes that need
// no paces make no calls for them.
func (t *Table) Wanted() <-chan struct{} { return t.wanted }

// MarkReported records that engines of this deployment report their paces.
func (t *Table) MarkReported() { t.reportedOnce.Do(func() { close(t.reported) }) }

// Reported returns a channel that is closed once MarkReported was called.
func (t *Table) Reported() <-chan struct{} { return t.reported }

// Pace returns the pace of the engine at an address; 0 if it is unknown. startedAt is when the
// engine started, in Unix milliseconds, 0 if not known; now is the store's clock, agents the
// number of agents that write rows.
func (t *Table) Pace(engine string, startedAt int64, now time.Duration, agents int) int {
	select {
	case t.wanted <- struct{}{}:
	default:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[engine]
	age := now - r.At
	if !ok || age > MaxAge(agents) || age < -maxSkew {
		return 0
	}
	if startedAt != 0 && r.StartedAt != 0 && r.StartedAt != startedAt {
		return 0
	}
	return r.Pace
}

// Replace implements store.Watcher.
func (t *Table) Replace(s store.Snapshot) {
	t.mu.Lock()
	t.rows = make(map[string]Row, len(s.Rows))
	t.mu.Unlock()
	t.Apply(s)
}

// Apply implements store.Watcher.
func (t *Table) Apply(s store.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range s.Rows {
		if row.Part != "" {
			continue // not an agent's row
		}
		delete(t.rows, row.Name)
		if row.Deleted {
			continue
		}
		r, err := DecodeRow(row.Value)
		if err != nil {
			t.log.WithError(err).WithField("engine", row.Name).Warn("pace not readable")
			continue
		}
		t.rows[row.Name] = r
	}
}

// Lost implements store.Watcher.
func (t *Table) Lost(err error) { store.LogLost(t.log, TablePaces, err) }

// Regained implements store.Watcher.
func (t *Table) Regained(after time.Duration) { store.LogRegained(t.log, TablePaces, after) }
