package batch

import (
	"fmt"
	"testing"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
	"mulberryscale.example/quarantine"
)

// TestItemsWithTwoEngineCrashesRunSeparately guards against suspect items that move from
// engine to engine together, so that those that merely ran beside the one that crashes
// engines are quarantined with it at the third crash.
func TestItemsWithTwoEngineCrashesRunSeparately(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w, _, all := newWaitingWorker(&acceptingPeers{}, 4)
		w.Quarantine = quarantine.Local(nil, observe.Discard(), observe.NewCounters())
		crash := func(engine int, tasks ...*task) {
			time.Sleep(time.Second)
			for _, task := range tasks {
				w.Quarantine.ReportCrash(quarantine.BrokenRun{
					Fingerprint: w.fingerprintOf(task), Endpoint: fleet.Incarnation{ID: fmt.Sprint("i-", engine)}, Took: 10 * time.Millisecond,
				})
			}
		}
		one, two, once, none := all[0], all[1], all[2], all[3]
		crash(1, one, two, once)
		crash(2, one, two)
		if w.awaitsOtherSuspect(one) || w.awaitsOtherSuspect(two) {
			t.Error("waits though no other suspect runs")
		}
		w.running[once], w.running[none] = struct{}{}, struct{}{}
		if w.awaitsOtherSuspect(two) {
			t.Error("waits for an item under which at most one engine has crashed")
		}
		w.running[one] = struct{}{}
		if !w.awaitsOtherSuspect(two) {
			t.Error("runs beside another item under which two engines have crashed")
		}
		if w.awaitsOtherSuspect(none) || w.awaitsOtherSuspect(once) {
			t.Error("an item under which at most one engine has crashed waits")
		}
		w.Quarantine.ReportServed(w.fingerprintOf(one))
		if w.awaitsOtherSuspect(two) {
			t.Error("waits for an item that an answer has cleared")
		}
	})
}
