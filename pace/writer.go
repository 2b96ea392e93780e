package pace

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
)

const (
	// checkInterval is how often an agent checks whether its row is out of date.
	checkInterval = 500 * time.Millisecond
	// minChange is the share of the written pace by which the pace must differ to be written.
	minChange = 0.25
)

// Reading is the state of an engine as its agent knows it.
type Reading struct {
	// Pace is 0 if the engine does not report it.
	Pace, Spread int
	StartedAt    int64 // when the engine started, in Unix milliseconds
	Busy         bool  // the engine holds items
}

// schedule decides when an agent writes its row.
type schedule struct {
	written   Row
	writtenAt time.Time // zero before the first write
	triedAt   time.Time // of the last write, also of one that failed
}

// due reports whether a reading is to be written now; agents is the number of agents.
func (s *schedule) due(r Reading, now time.Time, agents int) bool {
	if r.Pace <= 0 || now.Sub(s.triedAt) < Interval(agents) {
		return false
	}
	if s.writtenAt.IsZero() || r.StartedAt != s.written.StartedAt {
		return true
	}
	if change := float64(r.Pace - s.written.Pace); max(change, -change) > minChange*float64(s.written.Pace) {
		return true
	}
	return r.Busy && now.Sub(s.writtenAt) >= refreshAfter(agents)
}

// Writer writes the pace of one engine to TablePaces.
type Writer struct {
	Rows   store.Rows
	Engine string // its address
	Read   func() Reading
	// Agents returns the number of agents that write paces.
	Agents   func() int
	Now      func() (time.Duration, bool) // the store's clock; false before it is known
	Log      logrus.FieldLogger
	Counters *observe.Counters

	schedule schedule
}

// Run writes the pace until ctx is cancelled. The first check comes after a random part of the
// interval, so that agents that start together do not write together.
func (w *Writer) Run(ctx context.Context) {
	started := false
	for pause.Sleep(ctx, checkInterval) == nil {
		if w.Read().Pace <= 0 {
			continue
		}
		if !started {
			started = true
			w.schedule.triedAt = time.Now().Add(-time.Duration(rand.Float64() * float64(Interval(w.Agents()))))
		}
		w.writeIfDue(ctx)
	}
}

// writeIfDue writes the row if it is out of date. A write that fails is tried again after the
// interval; one that arrives late is harmless, since the row tells its time.
func (w *Writer) writeIfDue(ctx context.Context) {
	reading, now := w.Read(), time.Now()
	at, known := w.Now()
	if !known || !w.schedule.due(reading, now, w.Agents()) {
		return
	}
	w.schedule.triedAt = now
	row := Row{Pace: reading.Pace, Spread: reading.Spread, At: at, StartedAt: reading.StartedAt}
	value, err := row.Encode()
	if err == nil {
		_, err = w.Rows.Commit(ctx, store.Tx{Put: []store.Row{{Key: Key(w.Engine), Value: value}}})
	}
	if err != nil {
		w.Log.WithError(err).WithField("engine", w.Engine).Warn("pace not written")
		return
	}
	w.schedule.written, w.schedule.writtenAt = row, now
	w.Counters.Add(observe.NamePaceWritten, observe.RowNone, 1)
	w.Log.WithFields(logrus.Fields{"engine": w.Engine, "pace": row.Pace, "spread": row.Spread}).Debug("pace written")
}
