package observe

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Bounds of a process's log.
const (
	// logLines is the budget of ordinary lines a second. A busy agent writes
	// some thirty; ten times that leaves room for a burst and costs less than
	// a hundredth of a core.
	logLines = 300
	// logUrgent is the budget of warnings and errors, on top of it.
	logUrgent = 200
	// logQueue is how many lines may wait for a reader that is slow, about
	// half a megabyte.
	logQueue = 2048
	// dropReport is how often lost lines are told.
	dropReport = time.Second
	// closeWait is how long a stopping process waits for its last lines.
	closeWait = 300 * time.Millisecond
)

// FieldDropped is the number of lines lost since they were last told.
const FieldDropped = "dropped"

// LogLimiter keeps a logger's volume within a budget and never lets it wait for
// who reads the log. Refusals and failures have a budget of their own, so that
// ordinary lines do not crowd them out. What is lost is counted and told once a
// second.
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

// LimitLog puts a logger's lines under a budget; Close must be called.
func LimitLog(logger *logrus.Logger) *LogLimiter {
	b := &LogLimiter{
		out: logger.Out, next: logger.Formatter,
		ordinary: rate.NewLimiter(logLines, 2*logLines), urgent: rate.NewLimiter(logUrgent, 2*logUrgent),
		lines: make(chan []byte, logQueue), stop: make(chan struct{}), stopped: make(chan struct{}),
	}
	logger.SetFormatter(b)
	logger.SetOutput(b)
	go b.write(logger)
	return b
}

// Dropped is the number of lines lost since the start.
func (b *LogLimiter) Dropped() int64 { return b.total.Load() }

func (b *LogLimiter) drop() {
	b.dropped.Add(1)
	b.total.Add(1)
}

// Format implements logrus.Formatter; it returns nothing for a line over the budget.
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

// Write implements io.Writer; it never blocks.
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

// write writes what waits, all of it at once, until Close.
func (b *LogLimiter) write(logger *logrus.Logger) {
	defer close(b.stopped)
	ticker := time.NewTicker(dropReport)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.lines:
			b.flush(line)
		case <-ticker.C:
			if n := b.dropped.Swap(0); n > 0 {
				logger.WithField(FieldDropped, n).Warn("log lines lost")
			}
		case <-b.stop:
			b.flush(nil)
			return
		}
	}
}

// flush writes a line and all that waits behind it.
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
	_, _ = b.out.Write(text) // there is nowhere to say that the log is gone
}

// Close writes what waits, unless the reader has stalled.
func (b *LogLimiter) Close() {
	b.once.Do(func() { close(b.stop) })
	select {
	case <-b.stopped:
	case <-time.After(closeWait):
	}
}
