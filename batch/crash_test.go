package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Items under which three engines had crashed were quarantined: no engine got them again, in no later job
// either, and each step that had one of them ran out of time. The items were sound: they had been running while
// engines crashed for another reason. An item is owed until it is done, failed by engines or expired, however
// many engines have crashed under it.

const (
	// crashAfter is how long an engine runs an unlucky item before it crashes, restartDelay
	// how long it is down after that.
	crashAfter   = 60 * time.Millisecond
	restartDelay = 1500 * time.Millisecond
	// placementLimit is how long an item may be at no engine while one has room.
	placementLimit = 2 * time.Second
)

// crash crashes an engine and restarts it after downtime. It is called with f.mu held.
func (f *fakeEngines) crash(e *fakeEngine, downtime time.Duration) {
	if e.down {
		return
	}
	e.down = true
	time.AfterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.down = false
		e.startedAt, e.sequence = time.Now().UnixMilli(), 0
	})
}

// crashSoon crashes an engine crashAfter from now and returns the length of the run that
// is there then, which never completes. It is called with f.mu held.
func (f *fakeEngines) crashSoon(e *fakeEngine) (length int) {
	time.AfterFunc(crashAfter, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crash(e, restartDelay)
	})
	return 1000
}

// requirePlaced checks that no two runs of an item, from its job's acceptance on, are further apart than
// placementLimit allows.
func (r *workerRig) requirePlaced(item string, accepted time.Time) {
	r.t.Helper()
	former := accepted
	for i, run := range r.runsOf(item) {
		if run.at.Before(accepted) {
			continue
		}
		if idle := run.at.Sub(former); idle > placementLimit {
			r.t.Errorf("item %s was at no engine for %v before its run %d", item, idle, i+1)
		}
		former = run.at
	}
	if former == accepted {
		r.t.Errorf("item %s was never sent", item)
	}
}

// TestItemUnderWhichEnginesCrashedIsPlacedAgain guards against an item that is kept from all engines once
// enough of them have crashed under it, in its job and in a later one.
func TestItemUnderWhichEnginesCrashedIsPlacedAgain(t *testing.T) {
	for _, crashes := range []int{1, 2, 3, 4, 9} {
		t.Run(fmt.Sprint(crashes, " crashes"), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				const items, unlucky = 24, "item-005"
				rig := newWorkerRig(t, 6)
				rig.engines.crashesLeft = map[string]int{unlucky: crashes}
				accepted := time.Now()
				rig.submit("j", items, nil)
				rig.requireComplete(rig.await("j", items, 25*time.Second))
				rig.requirePlaced(unlucky, accepted)
				// The item comes again in a later job, as items of unfinished groups do.
				rig.engines.mu.Lock()
				rig.engines.crashesLeft[unlucky] = crashes
				rig.engines.mu.Unlock()
				accepted = time.Now()
				rig.submit("k", items, nil)
				rig.requireComplete(rig.await("k", items, 25*time.Second))
				rig.requirePlaced(unlucky, accepted)
			})
		})
	}
}

// TestItemsUnderWhichEnginesCrashedRunSideBySide guards against items that wait for each other, though
// their engine has room for all, because engines have crashed under each of them.
func TestItemsUnderWhichEnginesCrashedRunSideBySide(t *testing.T) {
	for _, crashes := range []int{2, 3} {
		bubble(t, func(t *testing.T) {
			rig := newWorkerRig(t, 1)
			const items = 4 // as many as the engine has slots
			for i := range items {
				rig.engines.lengths[fmt.Sprintf("item-%03d", i)] = 200
			}
			rig.submit("j", items, nil)
			for range crashes {
				time.Sleep(time.Second)
				rig.engine(0, func(e *fakeEngine) { rig.engines.crash(e, 400*time.Millisecond) })
			}
			time.Sleep(400*time.Millisecond + time.Second)
			if n := rig.openStreams(0); n != items {
				t.Errorf("after %d crashes the engine runs %d of %d items a second after it is back", crashes, n, items)
			}
		})
	}
}

// TestStepsAfterBurstsOfCrashes guards against items that a burst of crashes leaves at no engine: three engines
// of nine crash every 0.4 s for two seconds. The steps of that time and after it have to be done a few seconds after
// the last crash.
func TestStepsAfterBurstsOfCrashes(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				const engines, items, atOnce, waves = 9, 100, 3, 5
				rng := rand.New(rand.NewPCG(seed, 0))
				rig := newWorkerRig(t, engines)
				for i := range items {
					rig.engines.lengths[fmt.Sprintf("item-%03d", i)] = 20 + rng.IntN(60)
				}
				rig.submit("burst", items, nil)
				time.Sleep(500 * time.Millisecond)
				for range waves {
					for range atOnce {
						rig.engine(rng.IntN(engines), func(e *fakeEngine) { rig.engines.crash(e, 400*time.Millisecond) })
					}
					time.Sleep(400 * time.Millisecond)
				}
				rig.requireComplete(rig.await("burst", items, 12*time.Second))
				rig.submit("after", items, nil)
				rig.requireComplete(rig.await("after", items, 10*time.Second))
			})
		})
	}
}
