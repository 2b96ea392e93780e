package batch

import (
	"fmt"
	"testing"
	"time"
)

// These tests guard against items that are at no engine though all is calm and engines have room.

// TestItemLeavesAnEngineWhoseWeightsDoNotChange guards against items that stay with an engine that cannot serve them,
// since an agent with room is compared with the speed of that engine.
func TestItemLeavesAnEngineWhoseWeightsDoNotChange(t *testing.T) {
	for _, reported := range []bool{false, true} {
		t.Run(fmt.Sprint("paces reported: ", reported), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				rig := newPacedRig(t, []int{100, 100, 100}, reported, false)
				rig.knownPaces = []int{100, 100, 100}
				rig.submitEven("warm", 10)
				rig.await("warm", 40, time.Minute)
				rig.engine(0, func(e *fakeEngine) { e.ignoreOrders = true })
				rig.view.SetNamedVersion("m", 2)
				time.Sleep(4 * time.Second)
				rig.view.SetNamedVersion("m", 3)
				time.Sleep(4 * time.Second)
				const items = 9
				rig.submit("j", items, func(j *Job) { j.MinVersion = 2 })
				rig.requireComplete(rig.await("j", items, 3*time.Second))
			})
		})
	}
}
