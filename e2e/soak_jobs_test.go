package e2e

import (
	"fmt"
	"slices"
	"time"

	"mulberryscale.example/batch"
)

// sameResult reports whether two results are equal.
func sameResult(a, b *batch.Result) bool {
	return a.ID == b.ID && a.State == b.State && a.Output == b.Output && a.Score == b.Score && slices.Equal(a.Versions, b.Versions)
}

// soakJob is a batch job and the results read so far.
type soakJob struct {
	id           string
	organisation string
	minVersion   uint64
	items        []string
	accepted     time.Time // zero until its 202 arrived
	ended        bool      // its client sent the request that ends it
	results      []batch.Result
}

// checkPage checks a page of a job's results against the results read before.
func (r *record) checkPage(j *soakJob, entry string, after, total int, page []batch.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if total != len(j.items) {
		r.problemLocked("job %s at %s: Total is %d of %d items", j.id, entry, total, len(j.items))
	}
	for i := range page {
		position, result := after+i, &page[i]
		switch {
		case position < len(j.results):
			if !sameResult(result, &j.results[position]) {
				r.problemLocked("job %s at %s: position %d was %+v and is %+v", j.id, entry, position, j.results[position], *result)
			}
		case position == len(j.results):
			r.checkResult(j, position, result)
			j.results = append(j.results, *result)
		}
	}
}

// checkResult checks a result that is read for the first time. r.mu is held.
func (r *record) checkResult(j *soakJob, position int, result *batch.Result) {
	at := fmt.Sprintf("job %s, position %d, item %s", j.id, position, result.ID)
	if !slices.Contains(j.items, result.ID) {
		r.problemLocked("%s: the item belongs to another job", at)
	}
	if slices.ContainsFunc(j.results, func(o batch.Result) bool { return o.ID == result.ID }) {
		r.problemLocked("%s: listed at two positions", at)
	}
	r.counts["results"]++
	kind := kindOf(result.ID)
	switch result.State {
	case batch.StateFailed:
		r.counts["failed results"]++
		if kind != itemImpossible && kind != itemAlwaysFails && r.rewardFailures[rewardIDOf(result.ID)] < soakRewardAttempts && !j.ended {
			r.problemLocked("%s: failed without a reason", at)
		}
	case batch.StateDone:
		if result.Output != textOf(result.ID) {
			r.problemLocked("%s: text is %q, want %q", at, result.Output, textOf(result.ID))
		}
		switch {
		case !hasRewardCall(result.ID) && result.Score != "":
			r.problemLocked("%s: score %q without a reward call", at, result.Score)
		case hasRewardCall(result.ID) && (!isSignature(result.Score, rewardIDOf(result.ID)) || r.runs[rewardIDOf(result.ID)] == 0):
			r.problemLocked("%s: score %q is not a signature of its reward call", at, result.Score)
		}
		r.checkVersions(j, at, result)
	default:
		r.problemLocked("%s: state %q", at, result.State)
	}
}

// checkVersions checks that each event of a text was produced by one of the result's weight
// versions, and that each of these versions produced an event and is not older than the
// job's least version. r.mu is held.
func (r *record) checkVersions(j *soakJob, at string, result *batch.Result) {
	used := map[uint64]bool{}
	for n := 1; n <= eventCountOf(result.ID); n++ {
		explained := false
		for _, v := range r.producers[result.ID][n] {
			if slices.Contains(result.Versions, v) {
				used[v], explained = true, true
			}
		}
		if !explained {
			r.problemLocked("%s: versions %v, but event %d was produced by %v", at, result.Versions, n, r.producers[result.ID][n])
		}
	}
	for _, v := range result.Versions {
		if v < j.minVersion || !used[v] {
			r.problemLocked("%s: versions %v, of which %d is older than %d or produced no event", at, result.Versions, v, j.minVersion)
		}
	}
}

// jobAccepted records the 202 of a job, jobEnded that its client sent the request that ends it.
func (r *record) jobAccepted(j *soakJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.accepted = time.Now()
	r.counts["jobs"]++
}

func (r *record) jobEnded(j *soakJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.ended = true
}

func (r *record) addJob(j *soakJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, j)
}

// acceptedJobs returns the accepted jobs, whose results must stay readable.
func (r *record) acceptedJobs() []*soakJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*soakJob
	for _, j := range r.jobs {
		if !j.accepted.IsZero() {
			list = append(list, j)
		}
	}
	return list
}

// resultsRead returns the number of a job's results that were read.
func (r *record) resultsRead(j *soakJob) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(j.results)
}

// state returns when a job was accepted and whether its client has ended it.
func (r *record) state(j *soakJob) (accepted time.Time, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return j.accepted, j.ended
}

// hasResult reports whether an item's result was read.
func (r *record) hasResult(j *soakJob, item string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(j.results, func(o batch.Result) bool { return o.ID == item })
}
