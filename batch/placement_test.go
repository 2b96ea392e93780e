package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// These tests guard against items that are at no engine, or at two, though all is calm and engines have room.

// TestOrphanIsPlacedThoughAnAgentDoesNotTakeIt guards against an orphaned item that is offered to the same agent
// again and again, one that answers and takes nothing: its job's items are not readable there, for instance.
func TestOrphanIsPlacedThoughAnAgentDoesNotTakeIt(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const agents, items, refusing = 30, 300, 10
		rig := newWorkerRig(t, agents)
		for i := range items {
			rig.engines.lengths[fmt.Sprintf("item-%03d", i)] = 50 // two seconds
		}
		rig.submit("j", items, nil)
		time.Sleep(time.Second)
		rig.peers.mu.Lock()
		rig.peers.takesNothing = map[string]bool{}
		for i := range refusing {
			rig.peers.takesNothing[fmt.Sprintf("10.0.0.%d", 2+i)] = true
		}
		rig.peers.mu.Unlock()
		rig.kill(0)
		rig.requireComplete(rig.await("j", items, 7*time.Second))
	})
}

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

// TestItemBeingHandedOverIsNoOrphan guards against an item that an agent takes for an orphan, and gives to another
// one, while it is on its way between two agents: two engines would run it.
func TestItemBeingHandedOverIsNoOrphan(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				const agents, items = 9, 80
				rng := rand.New(rand.NewPCG(seed, 0))
				rig := newWorkerRig(t, agents)
				var mu sync.Mutex
				rig.peers.drawLatency = func() time.Duration {
					mu.Lock()
					defer mu.Unlock()
					return time.Duration(rng.Int64N(int64(20 * time.Millisecond)))
				}
				for i := range items {
					rig.engines.lengths[fmt.Sprintf("item-%03d", i)] = 20 + rng.IntN(60)
				}
				rig.submit("j", items, nil)
				for i := range 10 {
					time.Sleep(300 * time.Millisecond)
					rig.engine(int(seed+uint64(i))%agents, func(e *fakeEngine) { rig.engines.crash(e, 400*time.Millisecond) })
				}
				rig.requireComplete(rig.await("j", items, 15*time.Second))
				rig.engines.mu.Lock()
				defer rig.engines.mu.Unlock()
				for id := range rig.engines.doubled {
					t.Errorf("item %s ran at two engines at once", id)
				}
			})
		})
	}
}

// TestItemsArePushedToFreeSlots guards against items that are pushed to a full engine while others have free slots.
func TestItemsArePushedToFreeSlots(t *testing.T) {
	statuses := map[string]*Status{}
	var engines []string
	for i, free := range []int{4, 3, 1, 0} {
		engines = append(engines, engineAddr(i))
		statuses[engineAddr(i)] = &Status{Up: true, Free: free}
	}
	for n, want := range map[int][]int{0: {0, 0, 0, 0}, 1: {1, 0, 0, 0}, 4: {3, 1, 0, 0}, 8: {4, 3, 1, 0}, 12: {5, 4, 2, 1}} {
		if got := shareOut(n, engines, statuses); !slices.Equal(got, want) {
			t.Errorf("%d items: got %v, want %v", n, got, want)
		}
	}
}

// TestItemsLeaveAnEngineThatRefusesConnections guards against an agent that sends its items to its crashed engine again
// and again, until another agent happens to take them.
func TestItemsLeaveAnEngineThatRefusesConnections(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const items = 12 // as many as three engines have slots
		rig := newWorkerRig(t, 6)
		for i := range items {
			rig.engines.lengths[fmt.Sprintf("item-%03d", i)] = 100
		}
		rig.submit("j", items, func(j *Job) { j.Owners, j.Ready = rig.addrs()[:3], 3 })
		time.Sleep(500 * time.Millisecond)
		crashed := time.Now()
		rig.engine(0, func(e *fakeEngine) { rig.engines.crash(e, 3*time.Second) })
		time.Sleep(300 * time.Millisecond)
		running := 0
		for i := range 6 {
			running += rig.openStreams(i)
		}
		if running != items {
			t.Errorf("%v after the crash %d of %d items run, though engines have room", time.Since(crashed), running, items)
		}
		rig.engine(0, func(e *fakeEngine) {
			if e.refused > rigSlots {
				t.Errorf("%d sends were refused by the crashed engine, want at most one for each item that it ran", e.refused)
			}
		})
	})
}
