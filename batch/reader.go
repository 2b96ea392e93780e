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
	// ErrNoJob says that there is certainly no such job.
	ErrNoJob = errors.New("batch: no such job")
	// ErrNoItem says that there is certainly no such item to be had.
	ErrNoItem = errors.New("batch: no such item")
)

const (
	// cacheRetention is how long a job stays in a reader's memory after it was
	// last asked for. Callers poll open jobs about twice a second.
	cacheRetention = 15 * time.Second
	evictInterval  = 2 * time.Second
	// refreshWait is how long a caller for whom there are results waits for news of
	// more: ten times the usual answer of the store.
	refreshWait = 40 * time.Millisecond
)

// Reader serves the results of jobs from the store, with what it has read kept
// in memory. The store is asked only while somebody reads: a caller brings the
// list up to date and waits on the feed of the job's table itself. Results never
// change, so what is kept may be shown at any time, also while the store is away.
// It is safe for concurrent use.
type Reader struct {
	ledger *Ledger
	now    func() (time.Duration, bool) // the store's clock; false before it is known
	log    logrus.FieldLogger

	mu   sync.Mutex
	jobs map[string]*cachedJob
}

// cachedJob is a job that was asked for here.
type cachedJob struct {
	loadMu sync.Mutex // held while the job's head or items are read from the store

	// The rest is guarded by Reader.mu.
	job      *Job      // nil until known
	listing  *Listing  // nil until read; replaced or appended to
	update   *update   // in flight; nil if none
	freshAt  time.Time // when the list was last up to date
	items    map[string]Item
	lastUsed time.Time
}

// NewReader returns a reader; now is the store's clock, false before it is known.
func NewReader(ledger *Ledger, now func() (time.Duration, bool), log logrus.FieldLogger) *Reader {
	return &Reader{ledger: ledger, now: now, log: log, jobs: map[string]*cachedJob{}}
}

// Run forgets jobs that nobody reads any more until ctx ends.
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

// touch returns the kept job, making it if need be.
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

	truncated bool // there are more results than the page takes
}

// query is one call of Read.
type query struct {
	from, maxBytes int
	began          time.Time
	wait           time.Duration
	waited         bool // there was no result yet when it came
}

// Read returns the results from a position on, at most maxBytes of output but
// at least one if there is one. With none yet it waits up to wait.
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
			return Page{}, err // what others have read may be missing here
		}
		q.waited = true
		if err != nil {
			_ = pause.Sleep(ctx, writeRetryPause) // the loop looks at ctx
		}
		u := r.startUpdate(id, j, min(left, feedWait))
		err = u.await(ctx, wait-time.Since(q.began))
	}
}

// refresh brings a job's list up to date before it is shown. A caller for whom
// there is something waits for that no longer than showAfter.
func (r *Reader) refresh(ctx context.Context, id string, j *cachedJob, q query) error {
	u, current := r.inFlight(j)
	if current {
		return nil
	}
	if u == nil {
		u = r.startUpdate(id, j, 0)
	}
	if len(r.page(j, q).Results) > 0 {
		_ = u.await(ctx, refreshWait) // what is kept is true whatever became of it
		return nil
	}
	return u.await(ctx, updateTimeout)
}

const (
	// gatherTime is how long a reader that has waited for a result waits for the
	// next ones. The longest items of a job begin together and are of one length,
	// so they end within a few tens of milliseconds of each other, and who has read
	// the first comes back for the others only half a second later.
	gatherTime = 80 * time.Millisecond
	// tailGatherTime is how long after a call the answer may gather the last results
	// of a job if the caller allows that much waiting. Trainers ask twice a second
	// and act on an answer at their next turn, so one within this time is fuller
	// and no later for them. The eighth step of a trainer was 0.8 s less late by
	// it, the mean of four trainers on a calm day.
	tailGatherTime = 450 * time.Millisecond
	// tailShare is the share of a job's results that must be listed for that:
	// the last quarter decides when a step ends.
	tailShare = 0.75
	// answerMargin is left of what a caller allows, to write the answer and for it to arrive.
	answerMargin = 50 * time.Millisecond
)

// tailWait is how long after a call its answer may wait for the results that a
// trainer still needs. A trainer asks twice a second, but at once if its answer
// took longer than that. If the wanted groups become whole while a call has waited
// for longer than half a second, it acts on them at once, else at its next turn.
// With calls kept for as long as the caller allows it acts 0.14 s after the last
// wanted result in the mean, with answers each 0.45 s after 0.26 s (200 steps of
// TestTrainersActSooner). What is due soon is not kept: a group counts if it is
// read in time.
func (r *Reader) tailWait(j *cachedJob, q query) (d time.Duration, wantedWhole bool) {
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

// wantedGroupsComplete reports whether as many groups as the caller wants are whole. It is
// called with Reader.mu held.
func (j *cachedJob) wantedGroupsComplete() bool {
	if j.listing == nil {
		return false
	}
	whole := 0
	listed := map[string]int{}
	for i := range j.listing.Results {
		group := j.listing.Results[i].Group
		listed[group]++
		if listed[group] == j.job.GroupItems {
			whole++
		}
	}
	return whole >= j.job.WantedGroups
}

// gather waits for further results, unless the list is whole: near its end for
// a caller that allows it as long as patience says, and for one that has waited
// already for gatherTime.
func (r *Reader) gather(ctx context.Context, id string, j *cachedJob, page Page, q query) (Page, error) {
	more := time.Now().Add(gatherTime)
	for {
		page = r.page(j, q)
		end := time.Time{}
		patience, wantedWhole := r.tailWait(j, q)
		if q.from+len(page.Results) >= int(tailShare*float64(page.Total)) {
			end = q.began.Add(patience)
		}
		if q.waited && !wantedWhole && more.After(end) {
			end = more
		}
		left := time.Until(end)
		if left <= 0 || q.from+len(page.Results) >= page.Total || page.truncated {
			return page, nil
		}
		if err := r.startUpdate(id, j, min(left, feedWait)).await(ctx, left); err != nil {
			_ = pause.Sleep(ctx, min(left, writeRetryPause)) // what is kept is shown all the same
		}
		if ctx.Err() != nil {
			return Page{}, context.Cause(ctx)
		}
	}
}

// page cuts a page out of the list.
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

// loadJob reads the job's head unless it is known.
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
		delete(r.jobs, id) // whoever makes up ids fills no memory
		return ErrNoJob
	}
	j.job = job
	return nil
}
