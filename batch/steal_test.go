package batch

import (
	"math"
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
		taken := takeFromPacedWorker(c.other, 1, &TakeRequest{Max: c.items, Pace: c.own})
		if len(taken.Items) > c.want || len(taken.Items) < c.want-2 {
			t.Errorf("an engine of pace %d takes %d of %d items from one of pace %d, want %d at most", c.own, len(taken.Items), c.items, c.other, c.want)
		}
	}
}

// takeFromPacedWorker has an agent take items from one whose engine has the given pace and slots, and
// which holds as many waiting items as the agent takes at most.
func takeFromPacedWorker(pace, slots int, take *TakeRequest) *Handover {
	w, j, all := newWaitingWorker(&acceptingPeers{}, take.Max)
	w.engine.reported = true // the engine serves items of the job
	s := &w.engine.speed
	s.pace.Observe(time.Now(), pace)
	for range minSpeedRuns {
		s.recordRun(time.Now(), 100, 100, 1700*time.Millisecond)
	}
	for _, t := range all {
		t.item.ExpectedTokens = 100
	}
	w.View.UpdateInstances([]fleet.Instance{{ID: "i", Addr: w.Engine, Slots: slots}}, nil)
	take.Job = j.job.ID
	return w.handOver("10.0.0.2:80", take)
}

// TestItemsAreTakenFromAnEngineWithTooManySlots guards against an agent that allocates memory for each slot that an entry
// of the list names, and ends.
func TestItemsAreTakenFromAnEngineWithTooManySlots(t *testing.T) {
	for _, slots := range []int{1 << 40, 1<<53 - 1, math.MaxInt} {
		taken := takeFromPacedWorker(170, slots, &TakeRequest{Max: 12, Pace: 70})
		if len(taken.Items) != 9 { // the share that matches the paces: 170 of 170 + 70
			t.Errorf("%d slots: %d of 12 items", slots, len(taken.Items))
		}
	}
}
