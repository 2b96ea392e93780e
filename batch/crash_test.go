package batch

import (
	"context"
	"testing"
	"time"

	"mulberryscale.example/observe"
	"mulberryscale.example/quarantine"
	"mulberryscale.example/store"
)

// What was seen, and its cause: the same as of requests that end endpoints, on
// another path. An item that ends each engine which begins to run it went on to
// engine after engine until its time was up, since its agent put the end down to the
// engine alone. Each end also breaks off up to a dozen other items.

const (
	// crashAfter is how long an engine lives once it runs such an item, crashDown
	// how long it is down then.
	crashAfter   = 60 * time.Millisecond
	restartDelay = 1500 * time.Millisecond
	// maxEngineCrashes is how many engines may end under an item before it is held, and
	// allowedTrials how often it may be tried out afterwards.
	maxEngineCrashes = 3
	maxProbeRuns     = 3
)

// crash ends an engine and starts it again a while later. It is called with f.mu held.
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

// crashSoon ends an engine a little after it began a run, which never ends by itself,
// and returns the run's length. It is called with f.mu held.
func (f *fakeEngines) crashSoon(e *fakeEngine) (length int) {
	time.AfterFunc(crashAfter, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crash(e)
	})
	return 1000
}

// newTracker is an agent's part of the quarantine.
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

func TestItemThatCrashesEnginesIsKeptAway(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const items, fatal = 24, "item-005"
		rig := newWorkerRig(t, 6)
		rig.engines.crashing = map[string]bool{fatal: true}
		rig.submit("j", items, nil)
		rig.await("j", items-1, 15*time.Second)
		time.Sleep(10 * time.Second)
		if n := rig.crashes(); n > maxEngineCrashes {
			t.Errorf("%d engines ended under one item before it was held", n)
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
		// It comes again in a later job, as items of unfinished groups do.
		rig.submit("k", items, nil)
		rig.await("k", items-1, 15*time.Second)
		t.Logf("%d engines ended", rig.crashes())
		if n := rig.crashes(); n > maxEngineCrashes+maxProbeRuns {
			t.Errorf("%d engines ended under one item", n)
		}
	})
}
