package batch

import (
	"fmt"
	"testing"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
	"mulberryscale.example/quarantine"
)

// TestItemsUnderWhichTwoEnginesEndedRunApart guards against items that travel
// together, so that what only stood beside the one that ends engines meets the
// third end with it and is held.
func TestItemsUnderWhichTwoEnginesEndedRunApart(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w, _, all := newWaitingWorker(&acceptingPeers{}, 4)
		w.Quarantine = quarantine.Local(nil, observe.Discard(), observe.NewCounters())
		ends := func(engine int, tasks ...*task) {
			time.Sleep(time.Second)
			for _, task := range tasks {
				w.Quarantine.ReportCrash(quarantine.BrokenRun{
					Fingerprint: w.fingerprintOf(task), Endpoint: fleet.Incarnation{ID: fmt.Sprint("i-", engine)}, Took: 10 * time.Millisecond,
				})
			}
		}
		one, two, once, none := all[0], all[1], all[2], all[3]
		ends(1, one, two, once)
		ends(2, one, two)
		if w.awaitsOtherSuspect(one) || w.awaitsOtherSuspect(two) {
			t.Error("waits though no other one runs")
		}
		w.running[once], w.running[none] = struct{}{}, struct{}{}
		if w.awaitsOtherSuspect(two) {
			t.Error("waits for one under which at most one engine has ended")
		}
		w.running[one] = struct{}{}
		if !w.awaitsOtherSuspect(two) {
			t.Error("runs beside another one under which two engines have ended")
		}
		if w.awaitsOtherSuspect(none) || w.awaitsOtherSuspect(once) {
			t.Error("an item waits under which at most one engine has ended")
		}
		w.Quarantine.ReportServed(w.fingerprintOf(one))
		if w.awaitsOtherSuspect(two) {
			t.Error("waits for one that an answer has cleared")
		}
	})
}
