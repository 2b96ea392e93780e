package admission

import (
	"slices"
	"strings"
	"time"

	"mulberryscale.example/wire"
)

// Bounds of the RetryAfter in refusals, and its value while the speed is unknown.
const (
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	unknownRetryAfter = time.Second
)

// Parameters of the speed estimate.
const (
	// minSpeedSamples is how many completed requests the estimate needs to be usable.
	minSpeedSamples = 8
	// speedWeight is the weight of the newest request in the moving average.
	speedWeight = 0.1
)

// speedMeter estimates the tokens a second of one slot. It is a ratio of two moving
// averages, so that requests are weighted by their length.
type speedMeter struct {
	samples         int
	tokens, seconds float64
}

func (m *speedMeter) observe(tokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	m.samples++
	if m.samples == 1 {
		m.tokens, m.seconds = float64(tokens), took.Seconds()
		return
	}
	m.tokens += speedWeight * (float64(tokens) - m.tokens)
	m.seconds += speedWeight * (took.Seconds() - m.seconds)
}

// perSecond returns the estimate in tokens a second, 0 while it is not usable.
func (m *speedMeter) perSecond() float64 {
	if m.samples < minSpeedSamples || m.seconds <= 0 {
		return 0
	}
	return m.tokens / m.seconds
}

// EstimateWait estimates how long a new request of the class would wait. While the
// speed is unknown the wait is 0 and the second result false.
func (q *Queue) EstimateWait(c wire.Class) (time.Duration, bool) {
	ahead := q.class(wire.ClassInteractive).tokens
	if c == wire.ClassTraining {
		ahead = q.tokens
	}
	return q.timeFor(ahead)
}

// timeFor returns how long all slots together take to generate a number of tokens; the
// second result is false while the speed is unknown.
func (q *Queue) timeFor(tokens int) (time.Duration, bool) {
	rate := q.speed.perSecond() * float64(q.slots)
	if rate <= 0 {
		return 0, false
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second)), true
}

// retryAfter returns how long the slots take to generate half of the waiting tokens, or
// unknownRetryAfter while the speed is unknown.
func (q *Queue) retryAfter(tokens int) time.Duration {
	wait, known := q.timeFor(tokens / 2)
	if !known {
		return unknownRetryAfter
	}
	return wait
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// Load is the number of requests and tokens in a queue.
type Load struct {
	// Running and Queued count requests, QueuedTokens the expected tokens of queued ones.
	Running, Queued, QueuedTokens int
	// Capacity is how many more requests the queue would accept.
	Capacity int
	// Rows are sorted by name; rows without requests are left out.
	Rows []wire.RowLoad
}

// Load returns the current load of the queue.
func (q *Queue) Load() Load {
	l := Load{
		Running:      q.running,
		Queued:       q.items,
		QueuedTokens: q.tokens,
		Capacity:     q.opts.MaxItems - q.items,
	}
	for _, f := range q.rows {
		if f.backlogged() || f.running > 0 {
			l.Rows = append(l.Rows, wire.RowLoad{Row: f.name, Queued: f.waiting.Len(), Running: f.running})
		}
	}
	slices.SortFunc(l.Rows, func(a, b wire.RowLoad) int { return strings.Compare(a.Row, b.Row) })
	return l
}
