package observe

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stalledWriter is a log output that blocks until release is closed.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stalledWriter{make(chan struct{})}
		logger, err := NewLogger(LogOptions{Format: FormatJSON, Output: out, Repeats: -1})
		if err != nil {
			t.Fatal(err)
		}
		b := LimitLog(logger)
		began := time.Now()
		for range 10 {
			for range 2 * linesPerSecond {
				logger.Info("line")
			}
			time.Sleep(time.Second)
		}
		if took := time.Since(began); took != 10*time.Second {
			t.Errorf("logging blocked for %v", took-10*time.Second)
		}
		if b.Dropped() == 0 {
			t.Error("no dropped lines were counted")
		}
		close(out.release)
		b.Close()
	})
}

func TestLogLimitDoesNotDropWarnings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &lockedBuffer{}
		logger, err := NewLogger(LogOptions{Format: FormatJSON, Output: out, Repeats: -1})
		if err != nil {
			t.Fatal(err)
		}
		b := LimitLog(logger)
		for i := range 5000 {
			logger.WithField("i", i).Info("ordinary")
			if i%100 == 0 {
				logger.WithField("i", i).Warn("urgent")
			}
		}
		time.Sleep(2 * time.Second)
		b.Close()
		text := out.String()
		if n := strings.Count(text, "ordinary"); n > 2*linesPerSecond {
			t.Errorf("%d ordinary lines in one burst", n)
		}
		if n := strings.Count(text, "urgent"); n != 50 {
			t.Errorf("%d of 50 warnings written", n)
		}
		if !strings.Contains(text, `"dropped":`) {
			t.Error("the dropped lines were not reported")
		}
	})
}
