package pace

import (
	"fmt"
	"time"

	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// TablePaces holds the pace of each engine that reports it: one row for each engine, named by its
// address, in the empty part.
const TablePaces = "engine_paces"

// maxPace is the largest pace that is believed, a thousand times the usual time.
const maxPace = 100_000

// Row is what an agent writes of its engine.
type Row struct {
	Pace   int `cbor:"1,keyasint"`
	Spread int `cbor:"2,keyasint,omitempty"`
	// At is the store's clock at the time of the write.
	At time.Duration `cbor:"3,keyasint"`
	// StartedAt is when the engine started, in Unix milliseconds; 0 if it does not say.
	StartedAt int64 `cbor:"4,keyasint,omitempty"`
}

// Key returns the key of an engine's row.
func Key(engine string) store.Key { return store.Key{Table: TablePaces, Name: engine} }

// Encode returns the value of a row.
func (r Row) Encode() ([]byte, error) { return codec.Marshal(r) }

// DecodeRow decodes the value of a row; it returns an error if the row states no valid pace.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	if err := codec.Unmarshal(value, &r); err != nil {
		return Row{}, fmt.Errorf("pace: row: %w", err)
	}
	if r.Pace < 1 || r.Pace > maxPace || r.Spread < 0 {
		return Row{}, fmt.Errorf("pace: row of pace %d and spread %d", r.Pace, r.Spread)
	}
	return r, nil
}

const (
	// rowsPerSecond is how many rows all agents together write at most. Each row costs a reader
	// some 160 bytes, so that following the table takes 2,000 bytes a second at most.
	rowsPerSecond = 12
	// minInterval is the shortest time between two writes of an agent.
	minInterval = 2 * time.Second
	// refreshInterval is the time after which an unchanged row is written again while the engine
	// holds items.
	refreshInterval = 30 * time.Second
	// ageFactor is the age of a usable row in refresh intervals: two writes may be lost.
	ageFactor = 3
	// maxSkew is how far ahead of a reader's estimate of the store's clock a row may be.
	maxSkew = 5 * time.Second
)

// Interval returns the shortest time between two writes of each of a number of agents.
func Interval(agents int) time.Duration {
	return max(minInterval, time.Duration(agents)*time.Second/rowsPerSecond)
}

// refreshAfter returns the time after which an unchanged row is written again.
func refreshAfter(agents int) time.Duration { return max(refreshInterval, Interval(agents)) }

// MaxAge returns the age above which a row counts as unknown: 90 s, or more where the number of
// agents requires longer intervals.
func MaxAge(agents int) time.Duration { return ageFactor * refreshAfter(agents) }
