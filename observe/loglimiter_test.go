package observe

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stalled is a reader of the log that has stopped reading.
type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
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

func TestStalledReaderBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stalled{make(chan struct{})}
		logger, err := NewLogger(LogOptions{Format: FormatJSON, Output: out, Repeats: -1})
		if err != nil {
			t.Fatal(err)
		}
		b := LimitLog(logger)
		began := time.Now()
		for range 10 {
			for range 2 * logLines {
				logger.Info("line")
			}
			time.Sleep(time.Second)
		}
		if took := time.Since(began); took != 10*time.Second {
			t.Errorf("logging took %v", took-10*time.Second)
		}
		if b.Dropped() == 0 {
			t.Error("nothing was counted as lost")
		}
		close(out.release)
		b.Close()
	})
}

func TestBudgetSparesWarnings(t *testing.T) {
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
		if n := strings.Count(text, "ordinary"); n > 2*logLines {
			t.Errorf("%d ordinary lines at once", n)
		}
		if n := strings.Count(text, "urgent"); n != 50 {
			t.Errorf("%d of 50 warnings", n)
		}
		if !strings.Contains(text, `"dropped":`) {
			t.Error("the loss was not told")
		}
	})
}
