package observe

import (
	"bytes"
	"strings"
	"testing"
)

// TestCloseReportsDroppedLines guards against lines that are dropped in the last second before the
// end of a process and never reported: without that line an engineer takes the log for complete.
func TestCloseReportsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger(LogOptions{Level: "info", Format: FormatJSON, Output: &out})
	if err != nil {
		t.Fatal(err)
	}
	b := LimitLog(logger)
	for range 10 * linesPerSecond {
		logger.Info("ordinary line")
	}
	b.Close()
	if b.Dropped() == 0 {
		t.Fatal("no line was dropped: the test logs too few")
	}
	if !strings.Contains(out.String(), `"`+FieldDropped+`":`) {
		t.Errorf("%d lines were dropped and none reported", b.Dropped())
	}
}
