package batch

import (
	"testing"
	"time"

	"mulberryscale.example/fleet"
)

// restartEngine restarts an engine under the same id, with a new start time.
func (r *workerRig) restartEngine(i int, startedAt int64) {
	r.engine(i, func(e *fakeEngine) { e.startedAt, e.sequence = startedAt, 0 })
}

// Runs on an engine that restarted are resumed at once, not only after the stall
// timeout, and do not count as failures of the engine.
func TestRunsResumeAfterEngineRestart(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newWorkerRig(t, 1)
		rig.restartEngine(0, 1000)
		time.Sleep(time.Second)
		rig.submitLong("j", 2, "item-001")
		rig.restartEngine(0, 2000)
		restarted := time.Now()
		rig.requireComplete(rig.await("j", 2, 4*time.Second))
		runs := rig.runsOf("item-001")
		last := runs[len(runs)-1]
		if len(runs) != 2 || last.lastEventID < 40 || last.at.Sub(restarted) > 300*time.Millisecond {
			t.Fatalf("runs %v after %v", runs, last.at.Sub(restarted))
		}
	})
}

// After a restart the sequence of orders starts at 0 again: an order to the previous
// incarnation does not block those to the new one.
func TestOrdersToARestartedEngine(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newWorkerRig(t, 1)
		rig.restartEngine(0, 1000)
		rig.engine(0, func(e *fakeEngine) { e.sequence = 5 })
		time.Sleep(time.Second)
		rig.engine(0, func(e *fakeEngine) { e.loseNextOrder = true })
		rig.view.SetNamedVersion("m", 2)
		time.Sleep(stepGracePeriod + 2*idleReportInterval)
		rig.restartEngine(0, 2000)
		time.Sleep(orderTimeout / 2)
		var orders []Order
		rig.engine(0, func(e *fakeEngine) { orders = e.orders })
		if len(orders) != 2 || orders[0].Sequence != 5 || orders[1].Sequence != 0 {
			t.Fatalf("orders %+v", orders)
		}
	})
}

// A report and a registration of the previous incarnation that arrive late are ignored.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newWorkerRig(t, 1)
		rig.restartEngine(0, 2000)
		time.Sleep(time.Second)
		w := rig.peers.workers["10.0.0.1"]
		rig.engine(0, func(e *fakeEngine) { e.startedAt, e.sequence, e.version = 1000, 9, 7 })
		rig.view.UpdateInstances([]fleet.Instance{{ID: "engine-0", Service: "svc", Addr: engineAddr(0), Slots: 4, StartedAt: 1000}}, nil)
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.engine.startedAt != 2000 || w.engine.sequence == 9 || w.engine.versions["m"] == 7 {
			t.Fatalf("engine state: %+v", w.engine)
		}
	})
}

// TestOutdatedListIsReported restarts an engine whose new entry has not been read yet: its agent must
// say so at once, since it cannot use the engine before it knows the entry.
func TestOutdatedListIsReported(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newWorkerRig(t, 1)
		rig.view.UpdateInstances([]fleet.Instance{{ID: "engine-0", Service: "svc", Addr: engineAddr(0), Slots: 4, StartedAt: 1000}}, nil)
		rig.restartEngine(0, 1000)
		time.Sleep(2 * idleReportInterval)
		select {
		case <-rig.view.Stale():
			t.Fatal("a list that has the engine's entry was reported as outdated")
		default:
		}
		rig.restartEngine(0, 2000)
		time.Sleep(2 * idleReportInterval)
		select {
		case <-rig.view.Stale():
		default:
			t.Error("the list lacks the engine's entry, and nothing was reported")
		}
	})
}

// TestMisdirectedRunIsReported has another incarnation answer than the listed one.
func TestMisdirectedRunIsReported(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newWorkerRig(t, 1)
		rig.engine(0, func(e *fakeEngine) { e.startErrors["item-000"] = []error{ErrMisdirected} })
		rig.submit("j", 1, nil)
		rig.await("j", 1, 10*time.Second)
		select {
		case <-rig.view.Stale():
		default:
			t.Error("nothing was reported")
		}
	})
}
