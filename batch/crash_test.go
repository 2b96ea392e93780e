package batch

import (
	"context"
	"testing"
	"time"

	"mulberryscale.example/observe"
	"mulberryscale.example/quarantine"
	"mulberryscale.example/store"
)

// An item that crashed every engine which ran it was sent to one engine after the other until
// its deadline, since its agent put the crash down to the engine alone. Each crash also breaks
// off up to a dozen other items. Requests that crash endpoints had the same fault on another path.

const (
	// crashAfter is how long an engine runs such an item before it crashes, restartDelay
	// how long it is down after that.
	crashAfter   = 60 * time.Millisecond
	restartDelay = 1500 * time.Millisecond
	// maxEngineCrashes is how many engines may crash under an item before it is
	// quarantined, maxTrialRuns how many trial runs of it are allowed afterwards.
	maxEngineCrashes = 3
	maxTrialRuns     = 3
)

// crash crashes an engine and restarts it after restartDelay. It is called with f.mu held.
func (f *fakeEngines) crash(e *fakeEngine) {
	if e.down {
		return
	}
	e.down = true
	f.crashes++
	time.AfterFunc(restartDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.down = false
		e.startedAt, e.sequence = time.Now().UnixMilli(), 0
	})
}

// crashSoon crashes an engine crashAfter from now and returns the length of the run that
// does it, which never completes. It is called with f.mu held.
func (f *fakeEngines) crashSoon(e *fakeEngine) (length int) {
	time.AfterFunc(crashAfter, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crash(e)
	})
	return 1000
}

// newTracker returns an agent's part of the quarantine.
func (r *workerRig) newTracker(rows store.Store) *quarantine.Tracker {
	k := quarantine.New()
	k.Rows, k.Clock, k.Prober, k.Log, k.Counters = rows, r.store.Now, r.engines, observe.Discard(), observe.NewCounters()
	return k
}

// Refuses implements quarantine.Prober.
func (f *fakeEngines) Refuses(_ context.Context, addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[addr].down
}

func (r *workerRig) crashes() int {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	return r.engines.crashes
}

func TestItemThatCrashesEnginesIsQuarantined(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const items, fatal = 24, "item-005"
		rig := newWorkerRig(t, 6)
		rig.engines.crashing = map[string]bool{fatal: true}
		rig.submit("j", items, nil)
		rig.await("j", items-1, 15*time.Second)
		time.Sleep(10 * time.Second)
		if n := rig.crashes(); n > maxEngineCrashes {
			t.Errorf("%d engines crashed under one item before it was quarantined", n)
		}
		l := rig.await("j", items, time.Minute)
		for _, x := range l.Results {
			want := StateDone
			if x.ID == fatal {
				want = StateFailed
			}
			if x.State != want {
				t.Errorf("item %s: %s, want %s", x.ID, x.State, want)
			}
		}
		// The item comes again in a later job, as items of unfinished groups do.
		rig.submit("k", items, nil)
		rig.await("k", items-1, 15*time.Second)
		t.Logf("%d engines crashed", rig.crashes())
		if n := rig.crashes(); n > maxEngineCrashes+maxTrialRuns {
			t.Errorf("%d engines crashed under one item", n)
		}
	})
}
