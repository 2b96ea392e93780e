package batch

import (
	"fmt"
	"testing"
	"time"
)

// submitGroups accepts a job of groups of four items with 10, 20, 30 and 40 events, which take a
// second in the mean and are due in 7.5 s.
func (r *workerRig) submitGroups(id string, groups int) {
	const size = 4
	var items []Item
	for i := range groups * size {
		item := Item{ID: fmt.Sprintf("%s-%03d", id, i), Path: "/p/1", Tokens: 100, Group: fmt.Sprint("g", i/size)}
		events := 10 * (1 + i%size)
		item.ExpectedTokens = 100 * events
		r.engines.lengths[item.ID] = events
		items = append(items, item)
	}
	job := someJob(id, len(items))
	job.Model, job.MinVersion, job.GroupItems, job.RunTarget = "m", 1, size, 7500*time.Millisecond
	for i := range items {
		job.Work += items[i].expectedWork()
	}
	job.Owners = r.addrs()
	job.Ready = len(job.Owners)
	job.Accepted, _ = r.store.Now()
	must(r.t, r.ledger.Submit(r.t.Context(), job, items))
}

// completeGroups returns the number of a job's groups whose items are all listed.
func (r *workerRig) completeGroups(id string) int {
	l, err := r.ledger.Results(r.t.Context(), id)
	must(r.t, err)
	listed := map[string]int{}
	complete := 0
	for _, result := range l.Results {
		listed[result.Group]++
		if listed[result.Group] == 4 {
			complete++
		}
	}
	return complete
}

// TestGroupsAreDoneInTimeUnderOverload gives an engine of four slots three times as much as it can do
// in time. Its slots allow 7 whole groups of four seconds of work each in 7.5 s; nine tenths of
// these must be done, instead of parts of all groups.
func TestGroupsAreDoneInTimeUnderOverload(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newWorkerRig(t, 1)
		rig.submitGroups("before", 5)
		rig.await("before", 20, 10*time.Second)
		rig.submitGroups("j", 24)
		time.Sleep(7500 * time.Millisecond)
		if n := rig.completeGroups("j"); n < 6 {
			t.Errorf("%d groups are done in time, want 6", n)
		}
	})
}

// TestDeferredGroupsAreDoneLater checks that a job that cannot be done in time is still done whole,
// as fast as the engine can.
func TestDeferredGroupsAreDoneLater(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newWorkerRig(t, 1)
		rig.submitGroups("before", 5)
		rig.await("before", 20, 10*time.Second)
		rig.submitGroups("j", 24)
		rig.requireComplete(rig.await("j", 96, 27*time.Second))
	})
}

// TestOrderIsKeptWithoutOverload checks that the longest items start first while all can be done in
// time.
func TestOrderIsKeptWithoutOverload(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const groups, slots = 5, 4
		rig := newWorkerRig(t, 1)
		rig.submitGroups("before", groups)
		rig.await("before", 20, 10*time.Second)
		before := len(rig.runs())
		rig.submitGroups("j", groups)
		rig.await("j", 20, 10*time.Second)
		for _, run := range rig.runs()[before : before+slots] {
			if length := rig.engines.lengths[run.item]; length < 40 {
				t.Errorf("%s with %d events is among the first", run.item, length)
			}
		}
	})
}
