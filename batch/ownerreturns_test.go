package batch

import (
	"testing"
	"time"
)

// TestOwnerThatReturnsLeavesItemsToTheirHolders guards against second runs of items that other agents took over while
// their owner was away: it enqueued its whole part of the job again, whoever held it.
func TestOwnerThatReturnsLeavesItemsToTheirHolders(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newWorkerRig(t, 3)
		for i := range splitItems {
			rig.engines.lengths[someItems(splitItems)[i].ID] = 100
		}
		rig.submit("j", splitItems, nil)
		time.Sleep(time.Second)
		rig.kill(0)
		time.Sleep(4 * time.Second)
		rig.start(0)
		rig.requireComplete(rig.await("j", splitItems, 30*time.Second))
		if n := len(rig.engines.doubled); n > 0 {
			t.Errorf("%d items ran at two engines at once", n)
		}
	})
}
