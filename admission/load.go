package admission

import (
	"slices"
	"strings"
	"time"

	"mulberryscale.example/wire"
)

// Bounds of the advice when to come back.
const (
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	unknownRetryAfter = time.Second
)

// Parameters of the speed estimate.
const (
	// minSpeedSamples is how many ended requests make the estimate usable.
	minSpeedSamples = 8
	// speedWeight is the weight of the newest request in the moving average.
	speedWeight = 0.1
)

// speedMeter estimates the tokens a second of one slot, as a ratio of moving
// averages so that long requests count by their length.
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

// perSecond is 0 while the estimate is not usable.
func (m *speedMeter) perSecond() float64 {
	if m.samples < minSpeedSamples || m.seconds <= 0 {
		return 0
	}
	return m.tokens / m.seconds
}

// EstimateWait estimates how long a new request of the class would wait; the second
// result is false, and the wait 0, while nothing is known.
func (q *Queue) EstimateWait(c wire.Class) (time.Duration, bool) {
	ahead := q.class(wire.ClassInteractive).tokens
	if c == wire.ClassTraining {
		ahead = q.tokens
	}
	return q.timeFor(ahead)
}

// timeFor is how long all slots together take for some tokens.
func (q *Queue) timeFor(tokens int) (time.Duration, bool) {
	rate := q.speed.perSecond() * float64(q.slots)
	if rate <= 0 {
		return 0, false
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second)), true
}

// retryAfter is how long half of the waiting tokens take, unknownRetryAfter
// while nothing is known.
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

// Load is what a queue holds.
type Load struct {
	// Running and Queued count requests, QueuedTokens the expected tokens that wait.
	Running, Queued, QueuedTokens int
	// Capacity is how many more requests the queue would take.
	Capacity int
	// Rows are sorted by name; rows without requests are left out.
	Rows []wire.RowLoad
}

// Load counts what the queue holds now.
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
