package batch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/pause"
)

// Errors of a Reader.
var (
	// ErrNoJob means that the store has confirmed that there is no such job.
	ErrNoJob = errors.New("batch: no such job")
	// ErrNoItem means that the job certainly has no such item.
	ErrNoItem = errors.New("batch: no such item")
)

const (
	// cacheRetention is how long a reader keeps a job in memory after the last
	// request for it. Callers poll open jobs about twice a second.
	cacheRetention = 15 * time.Second
	evictInterval  = 2 * time.Second
	// refreshWait is how long a caller for whom there are cached results waits for
	// newer ones: ten times the usual response time of the store.
	refreshWait = 40 * time.Millisecond
)

// Reader serves the results of jobs from the store and caches what it has read. It
// calls the store only during requests: a caller updates the list and waits on the
// feed of the job's table itself. Results never change, so cached ones may be served
// at any time, also while the store is unavailable. It is safe for concurrent use.
type Reader struct {
	ledger *Ledger
	now    func() (time.Duration, bool) // the store's clock; false before it is known
	log    logrus.FieldLogger

	mu   sync.Mutex
	jobs map[string]*cachedJob
}

// cachedJob is a job that was requested here.
type cachedJob struct {
	loadMu sync.Mutex // held while the job or its items are read from the store

	// The rest is guarded by Reader.mu.
	job      *Job      // nil until read
	listing  *Listing  // nil until read; replaced or appended to
	update   *update   // in flight; nil if none
	freshAt  time.Time // when the list was last up to date
	readFrom time.Time // when the update began that last brought it up to date
	items    map[string]Item
	lastUsed time.Time
}

// NewReader returns a reader; now is the store's clock, false before it is known.
func NewReader(ledger *Ledger, now func() (time.Duration, bool), log logrus.FieldLogger) *Reader {
	return &Reader{ledger: ledger, now: now, log: log, jobs: map[string]*cachedJob{}}
}

// Run evicts jobs that were not requested for cacheRetention, until ctx is done.
func (r *Reader) Run(ctx context.Context) {
	for pause.Sleep(ctx, evictInterval) == nil {
		r.mu.Lock()
		for id, j := range r.jobs {
			if time.Since(j.lastUsed) > cacheRetention {
				delete(r.jobs, id)
			}
		}
		r.mu.Unlock()
	}
}

// touch returns the cached job, adding it if necessary, and marks it as used now.
func (r *Reader) touch(id string) *cachedJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[id]
	if !ok {
		j = &cachedJob{}
		r.jobs[id] = j
	}
	j.lastUsed = time.Now()
	return j
}

// Page is a part of a job's list.
type Page struct {
	Total   int // items of the job
	Results []Result

	truncated bool // there are more results than fit into the page
}

// query is one call of Read.
type query struct {
	from, maxBytes int
	began          time.Time
	wait           time.Duration
	waited         bool // there was no result yet when the call came
}

// Read returns the results from a position on, at most maxBytes of output but at
// least one result if there is one. If there is none yet, it waits up to wait. Its
// error is ErrNoJob, the context's, or that of the store.
func (r *Reader) Read(ctx context.Context, id string, from, maxBytes int, wait time.Duration) (Page, error) {
	q := query{from: from, maxBytes: maxBytes, began: time.Now(), wait: wait}
	j := r.touch(id)
	if err := r.loadJob(ctx, id, j); err != nil {
		return Page{}, err
	}
	err := r.refresh(ctx, id, j, q)
	for {
		page := r.page(j, q)
		left := wait - time.Since(q.began)
		switch {
		case ctx.Err() != nil:
			return Page{}, context.Cause(ctx)
		case len(page.Results) > 0:
			return r.gather(ctx, id, j, page, q)
		case from >= page.Total, left <= 0 && err == nil:
			return page, nil
		case left <= 0:
			return Page{}, err // results that other entries have shown may be missing here
		}
		q.waited = true
		if err != nil {
			_ = pause.Sleep(ctx, writeRetryPause) // the loop checks ctx
		}
		u := r.startUpdate(id, j, min(left, feedWait))
		err = u.await(ctx, wait-time.Since(q.began))
	}
}

// refresh brings a job's list up to date before it is served. It waits for at most
// refreshWait if there are cached results for the caller.
func (r *Reader) refresh(ctx context.Context, id string, j *cachedJob, q query) error {
	u, current := r.inFlight(j, q)
	if current {
		return nil
	}
	if u == nil {
		u = r.startUpdate(id, j, 0)
	}
	if len(r.page(j, q).Results) > 0 {
		_ = u.await(ctx, refreshWait) // cached results are valid even if the update fails
		return nil
	}
	return u.await(ctx, updateTimeout)
}

const (
	// gatherTime is how long a call that has waited for a result waits for further
	// ones. The longest items of a job begin together and are equally long, so they
	// finish within a few tens of milliseconds of each other, and a caller that got
	// only the first would come back for the others half a second later.
	gatherTime = 80 * time.Millisecond
	// tailGatherTime is how long a call may gather the last results of a job, if the
	// caller allows that much waiting. Trainers poll twice a second and act on a
	// response at their next poll, so a response within this time has more results
	// and costs them no delay. It made the eighth step of a trainer 0.8 s less late,
	// on average over four trainers on a day without faults.
	tailGatherTime = 450 * time.Millisecond
	// tailShare is the share of a job's results from which on that applies: the last
	// quarter decides when a step is done.
	tailShare = 0.75
	// answerMargin is the part of the caller's wait that is left for writing and
	// transferring the response.
	answerMargin = 50 * time.Millisecond
)

// tailWait returns how long a call may wait for the results that a trainer still
// needs; wantedComplete says that the wanted groups are complete. A trainer polls
// twice a second, but at once after a response that took longer. If the wanted groups
// become complete after a call has waited for more than half a second, the trainer
// acts on them at once, else at its next poll. If calls wait for as long as the caller
// allows, it acts 0.14 s after the last wanted result on average, with a response each
// 0.45 s after 0.26 s (200 steps of TestTrainersActSooner). Beyond
// tailGatherTime, calls do not wait past the time at which the results are due: only
// groups read by then count.
func (r *Reader) tailWait(j *cachedJob, q query) (d time.Duration, wantedComplete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	short := min(q.wait, tailGatherTime)
	now, ok := r.now()
	if j.job.GroupItems == 0 || j.job.WantedGroups == 0 || !ok {
		return short, false
	}
	if j.wantedGroupsComplete() {
		return short, true
	}
	untilDue := j.job.Accepted + j.job.RunTarget - now
	return max(short, min(q.wait-answerMargin, time.Since(q.began)+untilDue)), false
}

// wantedGroupsComplete reports whether all items of as many groups as the caller wants
// are listed. It is called with Reader.mu held.
func (j *cachedJob) wantedGroupsComplete() bool {
	if j.listing == nil {
		return false
	}
	complete := 0
	listed := map[string]int{}
	for i := range j.listing.Results {
		group := j.listing.Results[i].Group
		listed[group]++
		if listed[group] == j.job.GroupItems {
			complete++
		}
	}
	return complete >= j.job.WantedGroups
}

// gather waits for further results, unless the list is complete: for tailWait if the
// list is in its last quarter, and for gatherTime if the call had to wait for its
// first result.
func (r *Reader) gather(ctx context.Context, id string, j *cachedJob, page Page, q query) (Page, error) {
	more := time.Now().Add(gatherTime)
	for {
		page = r.page(j, q)
		end := time.Time{}
		tailWait, wantedComplete := r.tailWait(j, q)
		if q.from+len(page.Results) >= int(tailShare*float64(page.Total)) {
			end = q.began.Add(tailWait)
		}
		if q.waited && !wantedComplete && more.After(end) {
			end = more
		}
		left := time.Until(end)
		if left <= 0 || q.from+len(page.Results) >= page.Total || page.truncated {
			return page, nil
		}
		if err := r.startUpdate(id, j, min(left, feedWait)).await(ctx, left); err != nil {
			_ = pause.Sleep(ctx, min(left, writeRetryPause)) // cached results are served all the same
		}
		if ctx.Err() != nil {
			return Page{}, context.Cause(ctx)
		}
	}
}

// page returns the part of the list that the query asks for.
func (r *Reader) page(j *cachedJob, q query) Page {
	r.mu.Lock()
	defer r.mu.Unlock()
	page := Page{Total: j.job.Items}
	if j.listing == nil {
		return page
	}
	bytes := 0
	for i := q.from; i < len(j.listing.Results); i++ {
		bytes += len(j.listing.Results[i].Output) + len(j.listing.Results[i].ID)
		if bytes > q.maxBytes && len(page.Results) > 0 {
			page.truncated = true
			break
		}
		page.Results = append(page.Results, j.listing.Results[i])
	}
	return page
}

// loadJob reads the job from the store unless it is cached.
func (r *Reader) loadJob(ctx context.Context, id string, j *cachedJob) error {
	j.loadMu.Lock()
	defer j.loadMu.Unlock()
	r.mu.Lock()
	known := j.job != nil
	r.mu.Unlock()
	if known {
		return nil
	}
	job, _, found, err := r.ledger.Job(ctx, id)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !found {
		delete(r.jobs, id) // requests for made-up ids must not fill the memory
		return ErrNoJob
	}
	j.job = job
	return nil
}
