package observe

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Limits on the log volume of a process.
const (
	// linesPerSecond is the rate limit of lines below warning level. A busy agent
	// writes some thirty lines a second; ten times that allows bursts and costs
	// less than a hundredth of a core.
	linesPerSecond = 300
	// urgentPerSecond is the separate rate limit of warnings and errors.
	urgentPerSecond = 200
	// maxQueuedLines bounds the lines that wait for a slow output, about half a
	// megabyte.
	maxQueuedLines = 2048
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = time.Second
	// closeTimeout bounds how long Close waits for queued lines to be written.
	closeTimeout = 300 * time.Millisecond
)

// FieldDropped is the log field with the number of lines dropped since the previous report.
const FieldDropped = "dropped"

// LogLimiter limits the rate of a logger's lines and writes them asynchronously,
// so that a slow or stalled output never blocks the caller. Warnings and errors
// have a rate limit of their own, so that ordinary lines do not crowd them out.
// Dropped lines are counted and reported in the log once a second.
type LogLimiter struct {
	out      io.Writer
	next     logrus.Formatter
	ordinary *rate.Limiter
	urgent   *rate.Limiter
	lines    chan []byte
	dropped  atomic.Int64
	total    atomic.Int64
	stop     chan struct{}
	stopped  chan struct{}
	once     sync.Once
}

// LimitLog installs a LogLimiter as the logger's formatter and output and starts
// its writer; Close must be called.
func LimitLog(logger *logrus.Logger) *LogLimiter {
	b := &LogLimiter{
		out: logger.Out, next: logger.Formatter,
		ordinary: rate.NewLimiter(linesPerSecond, 2*linesPerSecond), urgent: rate.NewLimiter(urgentPerSecond, 2*urgentPerSecond),
		lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	logger.SetFormatter(b)
	logger.SetOutput(b)
	go b.writeLoop(logger)
	return b
}

// Dropped returns the number of lines dropped since LimitLog.
func (b *LogLimiter) Dropped() int64 { return b.total.Load() }

func (b *LogLimiter) drop() {
	b.dropped.Add(1)
	b.total.Add(1)
}

// Format implements logrus.Formatter; it returns nothing for a line over the rate limit.
func (b *LogLimiter) Format(entry *logrus.Entry) ([]byte, error) {
	budget := b.ordinary
	if entry.Level <= logrus.WarnLevel {
		budget = b.urgent
	}
	if !budget.AllowN(entry.Time, 1) {
		b.drop()
		return nil, nil
	}
	return b.next.Format(entry)
}

// Write implements io.Writer. It never blocks; it drops the line when the queue is full.
func (b *LogLimiter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.drop()
	}
	return len(line), nil
}

// writeLoop writes queued lines in batches, and reports dropped ones, until Close.
func (b *LogLimiter) writeLoop(logger *logrus.Logger) {
	defer close(b.stopped)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.lines:
			b.flush(line)
		case <-ticker.C:
			b.flush(b.dropReport(logger))
		case <-b.stop:
			b.flush(b.dropReport(logger))
			return
		}
	}
}

// dropReport returns the line on the lines dropped since the previous report; nil if there are none.
// It is not subject to the limits: were it dropped itself, the log would look complete.
func (b *LogLimiter) dropReport(logger *logrus.Logger) []byte {
	n := b.dropped.Swap(0)
	if n == 0 {
		return nil
	}
	entry := logger.WithField(FieldDropped, n)
	entry.Time, entry.Level, entry.Message = time.Now(), logrus.WarnLevel, "log lines lost"
	line, err := b.next.Format(entry)
	if err != nil {
		b.dropped.Add(n) // is reported the next time
		return nil
	}
	return line
}

// flush writes text and all queued lines in one call.
func (b *LogLimiter) flush(text []byte) {
	for {
		select {
		case line := <-b.lines:
			text = append(text, line...)
			continue
		default:
		}
		break
	}
	if len(text) == 0 {
		return
	}
	_, _ = b.out.Write(text) // a failed write of the log cannot be logged
}

// Close stops the writer and waits up to closeTimeout until queued lines are
// written; a stalled output loses them.
func (b *LogLimiter) Close() {
	b.once.Do(func() { close(b.stop) })
	select {
	case <-b.stopped:
	case <-time.After(closeTimeout):
	}
}
