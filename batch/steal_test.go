package batch

import (
	"testing"
	"time"

	"mulberryscale.example/fleet"
)

// TestShortSlowPeriodsDoNotMoveItems has engines of two speeds that are also slow for periods of up
// to a second. Without reported paces running items were moved back and forth; it compares both.
func TestShortSlowPeriodsDoNotMoveItems(t *testing.T) {
	paces := []int{70, 70, 70, 70, 170, 170}
	var took [2]time.Duration
	var aborted [2]float64
	for i, reported := range []bool{false, true} {
		bubble(t, func(t *testing.T) {
			rig := newPacedRig(t, paces, reported, true)
			if reported {
				rig.knownPaces = paces
			}
			rig.runSteps(1, 0.9) // until the engines are known
			took[i], aborted[i] = rig.runSteps(5, 0.9)
		})
	}
	t.Logf("without paces: step %v, aborted %.3f; with paces: %v, %.3f", took[0], aborted[0], took[1], aborted[1])
	if aborted[1] > 0.05 {
		t.Errorf("%.3f of the runs were aborted, want at most 0.05", aborted[1])
	}
	if float64(took[1]) > 1.1*float64(took[0]) {
		t.Errorf("a step took %v, %v without paces", took[1], took[0])
	}
}

// TestWaitingItemsAreSharedByPace guards against an engine that gets more waiting items than it can
// complete by the time at which their holder completes the others.
func TestWaitingItemsAreSharedByPace(t *testing.T) {
	for _, c := range []struct{ own, other, items, want int }{{70, 170, 12, 9}, {170, 70, 12, 4}, {100, 100, 12, 6}, {70, 170, 1, 1}} {
		w, j, all := newWaitingWorker(&acceptingPeers{}, c.items)
		w.engine.reported = true // the engine serves items of the job
		s := &w.engine.speed
		s.pace.Observe(time.Now(), c.other)
		for range minSpeedRuns {
			s.recordRun(time.Now(), 100, 100, 1700*time.Millisecond)
		}
		for _, t := range all {
			t.item.ExpectedTokens = 100
		}
		w.View.UpdateInstances([]fleet.Instance{{ID: "i", Addr: w.Engine, Slots: 1}}, nil)
		taken := w.handOver("10.0.0.2:80", &TakeRequest{Job: j.job.ID, Max: c.items, Pace: c.own})
		if len(taken.Items) > c.want || len(taken.Items) < c.want-2 {
			t.Errorf("an engine of pace %d takes %d of %d items from one of pace %d, want %d at most", c.own, len(taken.Items), c.items, c.other, c.want)
		}
	}
}
