package main

import (
	"math"
	"testing"
	"time"
)

// TestGateFlags checks that values which make no sense are refused at the start, and that the
// defaults are not.
func TestGateFlags(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		ok   bool
	}{
		{"default wait", checkQueueWait(0), true},
		{"longest wait", checkQueueWait(maxQueueWait), true},
		{"negative wait", checkQueueWait(-time.Second), false},
		{"wait of an hour", checkQueueWait(time.Hour), false},
		{"default bytes", checkHeldBytes(defaultHeldBytes()), true},
		{"no bytes", checkHeldBytes(0), false},
		{"more bytes than any process has", checkHeldBytes(maxHeldBytes + 1), false},
		{"no second sends", checkSecondSends(0), true},
		{"all second sends", checkSecondSends(1), true},
		{"negative share", checkSecondSends(-0.1), false},
		{"share above 1", checkSecondSends(1.1), false},
		{"share that is no number", checkSecondSends(math.NaN()), false},
	} {
		if (c.err == nil) != c.ok {
			t.Errorf("%s: got %v", c.name, c.err)
		}
	}
	if got := defaultHeldBytes(); got != memoryLimit/8 {
		t.Errorf("%d bytes by default, want an eighth of the memory", got)
	}
}
