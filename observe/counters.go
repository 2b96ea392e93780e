package observe

import (
	"expvar"
	"net/http"
	"runtime/metrics"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/buildid"
)

const (
	// maxRows bounds the rows kept per counter name, since a caller may send any
	// row name.
	maxRows = 1024
	// RowOther is the key for rows beyond that bound.
	RowOther = "other"
	// RowNone is the key for events that belong to no row.
	RowNone = "-"
)

// Counters holds the counters, gauges and histograms of one process. It is not
// registered globally, so a test may create many. The zero value is not usable.
type Counters struct {
	root       *expvar.Map
	mu         sync.Mutex // guards the creation of maps and histograms
	overflowed atomic.Int64
}

// NewCounters returns counters at zero, with the gauges that every process has.
func NewCounters() *Counters {
	c := &Counters{root: new(expvar.Map).Init()}
	start := time.Now()
	c.Gauge(NameBuild, func() any { return buildid.Own() })
	c.Gauge(NameUptime, func() any { return time.Since(start).Seconds() })
	c.Gauge(NameGoroutines, func() any { return readMetric("/sched/goroutines:goroutines") })
	c.Gauge(NameHeap, func() any { return readMetric("/memory/classes/heap/objects:bytes") })
	c.Gauge(NameDroppedRows, func() any { return c.overflowed.Load() })
	return c
}

func readMetric(name string) uint64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

// Refusal counts one refusal of a row; an empty row is RowNone.
func (c *Counters) Refusal(row string, code api.Code) {
	c.addReason(NameRefusals, row, string(code))
}

// Retry counts one retry of a call of a row; an empty row is RowNone.
func (c *Counters) Retry(row string, reason string) {
	c.addReason(NameRetries, row, reason)
}

// NotAdmitted counts one request of a rank that a gate refused for a reason.
func (c *Counters) NotAdmitted(rank int, reason string) {
	c.addReason(NameGateRefused, strconv.Itoa(rank), reason)
}

// NotAdmittedCount returns the number of requests that gates refused for a reason, of all ranks.
func (c *Counters) NotAdmittedCount(reason string) int64 {
	return c.sumReason(NameGateRefused, "", reason)
}

func (c *Counters) addReason(name Name, row, reason string) {
	byRow := c.mapOf(c.root, string(name))
	c.mapOf(byRow, c.rowKey(byRow, row)).Add(reason, 1)
}

// Refusals returns the number of refusals of a row with a code; an empty row sums all rows.
func (c *Counters) Refusals(row string, code api.Code) int64 {
	return c.sumReason(NameRefusals, row, string(code))
}

// Retries returns the number of retries of a row for a reason; an empty row sums all rows.
func (c *Counters) Retries(row, reason string) int64 {
	return c.sumReason(NameRetries, row, reason)
}

func (c *Counters) sumReason(name Name, row, reason string) int64 {
	byRow, ok := c.root.Get(string(name)).(*expvar.Map)
	if !ok {
		return 0
	}
	var sum int64
	byRow.Do(func(kv expvar.KeyValue) {
		byReason, ok := kv.Value.(*expvar.Map)
		if ok && (row == "" || row == kv.Key) {
			sum += intOf(byReason.Get(reason))
		}
	})
	return sum
}

// Add adds delta to a counter of a row; an empty row is RowNone.
func (c *Counters) Add(name Name, row string, delta int64) {
	byRow := c.mapOf(c.root, string(name))
	byRow.Add(c.rowKey(byRow, row), delta)
}

// Value returns a counter's value for a row; an empty row sums all rows.
func (c *Counters) Value(name Name, row string) int64 {
	byRow, ok := c.root.Get(string(name)).(*expvar.Map)
	if !ok {
		return 0
	}
	if row != "" {
		return intOf(byRow.Get(row))
	}
	var sum int64
	byRow.Do(func(kv expvar.KeyValue) { sum += intOf(kv.Value) })
	return sum
}

// Rows returns a counter's values by row.
func (c *Counters) Rows(name Name) map[string]int64 {
	rows := map[string]int64{}
	if byRow, ok := c.root.Get(string(name)).(*expvar.Map); ok {
		byRow.Do(func(kv expvar.KeyValue) { rows[kv.Key] = intOf(kv.Value) })
	}
	return rows
}

func intOf(v expvar.Var) int64 {
	i, ok := v.(*expvar.Int)
	if !ok {
		return 0
	}
	return i.Value()
}

// Gauge registers a gauge whose value, encoded as JSON, is what f returns when
// the counters are read. f must be safe for concurrent use. A later gauge of the
// same name replaces it.
func (c *Counters) Gauge(name Name, f func() any) {
	c.root.Set(string(name), expvar.Func(f))
}

// Observe records a duration in the histogram of a row; an empty row is RowNone.
func (c *Counters) Observe(name Name, row string, d time.Duration) {
	byRow := c.mapOf(c.root, string(name))
	c.histogramOf(byRow, c.rowKey(byRow, row)).record(d)
}

// Quantile returns quantile q, 0 to 1, of a row's histogram; 0 when nothing was recorded.
func (c *Counters) Quantile(name Name, row string, q float64) time.Duration {
	byRow, ok := c.root.Get(string(name)).(*expvar.Map)
	if !ok {
		return 0
	}
	h, ok := byRow.Get(row).(*histogram)
	if !ok {
		return 0
	}
	return h.quantile(q)
}

// Handler serves all counters, gauges and histograms as one JSON object.
func (c *Counters) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(c.root.String())) // the client may have disconnected
	})
}

// mapOf returns the map at key within parent and creates it if it is missing.
func (c *Counters) mapOf(parent *expvar.Map, key string) *expvar.Map {
	if m, ok := parent.Get(key).(*expvar.Map); ok {
		return m
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := parent.Get(key).(*expvar.Map); ok {
		return m
	}
	m := new(expvar.Map).Init()
	parent.Set(key, m)
	return m
}

func (c *Counters) histogramOf(parent *expvar.Map, key string) *histogram {
	if h, ok := parent.Get(key).(*histogram); ok {
		return h
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := parent.Get(key).(*histogram); ok {
		return h
	}
	h := newHistogram()
	parent.Set(key, h)
	return h
}

// rowKey returns the key that a row is counted under: the row itself, RowNone if
// it is empty, or RowOther once byRow holds maxRows rows.
func (c *Counters) rowKey(byRow *expvar.Map, row string) string {
	if row == "" {
		return RowNone
	}
	if byRow.Get(row) != nil {
		return row
	}
	if size(byRow) < maxRows {
		return row
	}
	c.overflowed.Add(1)
	return RowOther
}

func size(m *expvar.Map) int {
	n := 0
	m.Do(func(expvar.KeyValue) { n++ })
	return n
}
