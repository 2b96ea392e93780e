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

// TestOwnerThatReturnsStartsBesideSilentAgents guards against an agent that starts again after a kill of most agents and
// waits for one silent agent after the other before it runs its items.
func TestOwnerThatReturnsStartsBesideSilentAgents(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const agents = 3 * statusParallelism
		rig := newWorkerRig(t, agents)
		rig.peers.latency = time.Minute // until the caller gives up
		rig.submit("j", agents, nil)
		rig.kill(0)
		time.Sleep(2 * newJobAge)
		rig.start(0)
		began, ran := time.Now(), len(rig.runsAt(0))
		for len(rig.runsAt(0)) == ran {
			if time.Since(began) > 2*holdersTimeout {
				t.Fatalf("runs nothing %v after its start", time.Since(began))
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// runsAt returns the runs that an engine has had.
func (r *workerRig) runsAt(i int) (runs []fakeRun) {
	for _, run := range r.runs() {
		if run.engine == engineAddr(i) {
			runs = append(runs, run)
		}
	}
	return runs
}
