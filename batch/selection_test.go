package batch

import (
	"net"
	"testing"
	"time"

	"mulberryscale.example/observe"
)

// worker returns the agent of an engine.
func (r *workerRig) worker(i int) *Worker {
	host, _, _ := net.SplitHostPort(engineAddr(i))
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	return r.peers.workers[host]
}

// shareSelection makes an agent defer groups by the selection of all engines, with the given speed for the
// first engine.
func (r *workerRig) shareSelection(i int, first float64) *Worker {
	w := r.worker(i)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.SharedSelection, w.Speed = true, func(engine string) float64 {
		if engine == engineAddr(0) {
			return first
		}
		return 1
	}
	return w
}

// shareOf returns the share of a job's groups that an agent lets start.
func shareOf(w *Worker, job string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	share, known := w.selection.shares[job]
	if !known {
		return 1
	}
	return share
}

// TestSharedSelectionDefersGroups guards against a selection that the start order does not follow, and against
// deferred groups that are never run.
func TestSharedSelectionDefersGroups(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newWorkerRig(t, 1)
		w := rig.shareSelection(0, 1)
		rig.submitGroups("before", 5)
		rig.await("before", 20, 10*time.Second)
		if n := w.Counters.Value(observe.NameBatchGroupsDeferred, "r"); n != 0 {
			t.Errorf("%d groups were deferred without overload", n)
		}
		rig.submitGroups("j", 24)
		time.Sleep(7500 * time.Millisecond)
		if share := shareOf(w, "j"); share <= 0 || share >= 0.5 {
			t.Errorf("a third of the groups can be done in time, and the share is %.3f", share)
		}
		// An operator must see the same decision, with the work that does not fit.
		if shown := w.Deferrals(); len(shown) != 1 || shown[0].Most < 12 || shown[0].Groups != 24 || shown[0].WorkSeconds <= shown[0].CapacitySeconds {
			t.Errorf("shown to operators: %+v", shown)
		}
		if n := rig.completeGroups("j"); n < 6 {
			t.Errorf("%d groups are done in time, want 6", n)
		}
		rig.requireComplete(rig.await("j", 96, 20*time.Second))
		deferred := int64(0)
		for _, n := range w.Counters.Rows(observe.NameBatchGroupsDeferred) {
			deferred += n
		}
		if deferred == 0 || deferred > 24 {
			t.Errorf("%d of 24 groups are counted as deferred", deferred)
		}
	})
}

// TestAgentsWithDifferentSelections guards against items that are lost or run twice because an agent decides by
// outdated figures.
func TestAgentsWithDifferentSelections(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const size = 4
		rig := newWorkerRig(t, 2)
		agents := []*Worker{rig.shareSelection(0, 1), rig.shareSelection(1, 4)}
		rig.submitGroups("before", 10)
		rig.await("before", 10*size, 10*time.Second)
		rig.submitGroups("j", 48)
		time.Sleep(2 * time.Second)
		if a, b := shareOf(agents[0], "j"), shareOf(agents[1], "j"); a == b {
			t.Errorf("both agents have a share of %.3f", a)
		}
		rig.requireComplete(rig.await("j", 48*size, 60*time.Second))
		ran := map[string]int{}
		for _, run := range rig.runs() {
			ran[run.item]++
		}
		for item, n := range ran {
			if n != 1 {
				t.Errorf("%s was run %d times", item, n)
			}
		}
	})
}
