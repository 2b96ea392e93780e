package e2e

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestSoakToleratesAHangupOfAHeldStart holds a process for longer than a second between its start
// and its first line, with a hangup pending that ends it once it goes on. The soak must not take
// that for an exit of the process's own, and must take any other exit for one.
func TestSoakToleratesAHangupOfAHeldStart(t *testing.T) {
	soakWorldSlots <- struct{}{}
	defer func() { <-soakWorldSlots }()
	const hold = 1500 * time.Millisecond
	w := startSoak(t, 16)
	m := w.entries[2]
	rng := rand.New(rand.NewPCG(16, 0))
	for range 4 {
		m.process.kill()
		w.startAgain(m)
		time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond)
		m.process.signal(syscall.SIGSTOP)
		started := m.started()
		m.process.signal(syscall.SIGHUP)
		held := m.process.cmd.Process                                     // m may have another one by the end of the hold
		time.AfterFunc(hold, func() { _ = held.Signal(syscall.SIGCONT) }) // it has not exited before
		if !started {
			w.awaitStarted(m)
		}
	}
	if len(w.record.problems) > 0 {
		t.Errorf("a hangup before a process handled signals counts as a fault: %v", w.record.problems)
	}
	m.process.kill()
	w.awaitStarted(m)
	if len(w.record.problems) != 1 || !strings.Contains(w.record.problems[0], "has ended by itself") {
		t.Errorf("an exit for another reason is not told: %v", w.record.problems)
	}
}
