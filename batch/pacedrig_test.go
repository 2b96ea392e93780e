package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	rigSlots  = 4
	stepItems = 60 // a little over twice the slots of six engines
)

// slowPeriods are periods, as offsets from the begin of a test, in which an engine is slower.
type slowPeriods []struct{ from, to time.Duration }

// drawSlowPeriods draws periods of 10 ms to one second, some two seconds apart.
func drawSlowPeriods(r *rand.Rand, until time.Duration) slowPeriods {
	var list slowPeriods
	for at := time.Duration(0); at < until; {
		at += time.Duration(r.ExpFloat64() * float64(2*time.Second))
		length := 10*time.Millisecond + time.Duration(r.Int64N(int64(990*time.Millisecond)))
		list = append(list, struct{ from, to time.Duration }{at, at + length})
		at += length
	}
	return list
}

// contains reports whether an offset is in one of the periods.
func (p slowPeriods) contains(at time.Duration) bool {
	i := sort.Search(len(p), func(i int) bool { return p[i].to > at })
	return i < len(p) && p[i].from <= at
}

// newPacedRig returns a rig whose engines have the given paces, and 2.5 times these for periods of
// up to a second if periods is set. The paces are reported if reported is set.
func newPacedRig(t *testing.T, paces []int, reported, periods bool) *workerRig {
	rig := newWorkerRig(t, len(paces))
	r := rand.New(rand.NewPCG(1, 2))
	began := time.Now()
	for i, p := range paces {
		var slow slowPeriods
		if periods {
			slow = drawSlowPeriods(r, 5*time.Minute)
		}
		rig.engine(i, func(e *fakeEngine) {
			e.reportsPace = reported
			e.paceAt = func(now time.Time) int {
				if slow.contains(now.Sub(began)) {
					return p * 5 / 2
				}
				return p
			}
		})
	}
	return rig
}

// runSteps runs n steps of stepItems items one after the other, each until the share of its items
// is done, and returns the mean time of a step and the share of runs that were aborted.
func (r *workerRig) runSteps(n int, share float64) (mean time.Duration, aborted float64) {
	r.t.Helper()
	before := len(r.runs())
	began := time.Now()
	for i := range n {
		id := fmt.Sprint("step-", before, "-", i)
		r.submitStep(id)
		r.await(id, int(share*stepItems), time.Minute)
		must(r.t, r.ledger.End(r.t.Context(), id))
	}
	resumed := 0
	runs := r.runs()[before:]
	for _, run := range runs {
		if run.lastEventID > 0 {
			resumed++
		}
	}
	return time.Since(began) / time.Duration(n), float64(resumed) / float64(len(runs))
}

// submitStep submits a job of stepItems items of 10 to 130 expected events, estimated within a half.
func (r *workerRig) submitStep(id string) {
	draw := rand.New(rand.NewPCG(3, xxhash.Sum64String(id)))
	job, items := someJob(id, stepItems), someItems(2 * stepItems)[stepItems:]
	job.Model, job.MinVersion = "m", 1
	job.Owners = slices.Sorted(slices.Values(r.addrs()))
	job.Ready = len(job.Owners)
	job.Accepted, _ = r.store.Now()
	if r.knownPaces != nil {
		for _, o := range job.Owners {
			job.Paces = append(job.Paces, r.knownPaces[slices.Index(r.addrs(), o)])
		}
	}
	r.engines.mu.Lock()
	for i := range items {
		items[i].ID = fmt.Sprintf("%s item-%03d", id, i)
		r.engines.lengths[items[i].ID] = max(5, int(float64(items[i].ExpectedTokens)*(0.5+draw.Float64())))
	}
	r.engines.mu.Unlock()
	must(r.t, r.ledger.Submit(r.t.Context(), job, items))
}
