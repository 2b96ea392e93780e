package observe

import (
	"encoding/json"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	minDuration       = time.Microsecond
	maxDuration       = time.Hour
	significantDigits = 2
)

// percent converts a quantile, 0 to 1, to the library's percentile, 0 to 100.
const percent = 100

// histogram is an expvar.Var that records durations since the start of the process.
type histogram struct {
	mu sync.Mutex
	h  *hdr.Histogram // microseconds
}

// summary is the JSON form of a histogram in /debug/vars; times are in seconds.
type summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

func newHistogram() *histogram {
	return &histogram{h: hdr.New(1, maxDuration.Microseconds(), significantDigits)}
}

// record counts d, clamped to the histogram's range.
func (h *histogram) record(d time.Duration) {
	d = min(max(d, minDuration), maxDuration)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(d.Microseconds()) // fails only outside the range
}

func (h *histogram) quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.h.ValueAtPercentile(q*percent)) * time.Microsecond
}

// String implements expvar.Var.
func (h *histogram) String() string {
	h.mu.Lock()
	s := summary{
		Count: h.h.TotalCount(),
		Mean:  h.h.Mean() / float64(time.Second.Microseconds()),
		P50:   h.seconds(0.5),
		P99:   h.seconds(0.99),
		P999:  h.seconds(0.999),
		Max:   seconds(h.h.Max()),
	}
	h.mu.Unlock()
	text, err := json.Marshal(s)
	if err != nil {
		return "null" // only for NaN and infinities, which a histogram never holds
	}
	return string(text)
}

// seconds returns quantile q in seconds. The caller holds h.mu.
func (h *histogram) seconds(q float64) float64 {
	return seconds(h.h.ValueAtPercentile(q * percent))
}

func seconds(microseconds int64) float64 {
	return (time.Duration(microseconds) * time.Microsecond).Seconds()
}
