package batch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/store"
)

// Errors of a Reader.
var (
	// ErrNoJob says that there is certainly no such job.
	ErrNoJob = errors.New("batch: no such job")
	// ErrNoItem says that there is certainly no such item to be had.
	ErrNoItem = errors.New("batch: no such item")
)

const (
	// forgetAfter is how long a job stays in a reader's memory after it was
	// last asked for. Callers poll open jobs about twice a second.
	forgetAfter = 15 * time.Second
	forgetEvery = 2 * time.Second
	// readFeedWait is how long the store may hold a feed call while jobs are
	// read here. Two answers and a half a second are small against those that
	// bring results.
	readFeedWait = 400 * time.Millisecond
	// feedSilence is the age of the feed's last word above which a caller that
	// finds nothing new is answered from the store itself. What one entry has
	// shown, every other must show a second later; it is above readFeedWait, so
	// that a feed that works causes no reads.
	feedSilence = 700 * time.Millisecond
)

// Reader serves the results of jobs from the store, with what it has read kept
// in memory. Results never change, so what it holds may be shown at any time,
// also while the store is away. It is safe for concurrent use.
type Reader struct {
	ledger *Ledger
	log    logrus.FieldLogger

	mu      sync.Mutex
	jobs    map[string]*readJob
	version uint64    // of the feed
	heard   time.Time // when the feed last said anything
	gaps    int       // how often the feed lost its place
}

// readJob is a job that was asked for here.
type readJob struct {
	load sync.Mutex // held while the job is read from the store

	// The rest is guarded by Reader.mu.
	job     *Job // nil until known
	ended   bool
	listing *Listing // nil until read; replaced or appended to
	loading bool     // the list is being read; missed collects what the feed says meanwhile
	missed  []store.Row
	items   map[string]Item
	changed chan struct{}
	used    time.Time
}

// NewReader returns a reader; Run must run for it to hear of new results.
func NewReader(ledger *Ledger, log logrus.FieldLogger) *Reader {
	return &Reader{ledger: ledger, log: log, jobs: map[string]*readJob{}}
}

func (j *readJob) signal() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// touch returns the kept job, making it if need be.
func (r *Reader) touch(id string) *readJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[id]
	if !ok {
		j = &readJob{changed: make(chan struct{})}
		r.jobs[id] = j
	}
	j.used = time.Now()
	return j
}

// Page is a part of a job's list.
type Page struct {
	Total   int // items of the job
	Results []Result

	cut bool // there are more results than the page takes
}

// query is one call of Read.
type query struct {
	from, maxBytes int
	asked          time.Time
	wait           time.Duration
	waited         bool // there was no result yet when it came
}

// Read returns the results from a position on, at most maxBytes of output but
// at least one if there is one. With none yet it waits up to wait.
func (r *Reader) Read(ctx context.Context, id string, from, maxBytes int, wait time.Duration) (Page, error) {
	q := query{from: from, maxBytes: maxBytes, asked: time.Now(), wait: wait}
	j := r.touch(id)
	for {
		if err := r.loadJob(ctx, id, j); err != nil {
			return Page{}, err
		}
		page, changed, stale := r.page(j, q)
		if stale {
			if err := r.loadListing(ctx, id, j); err != nil {
				return Page{}, err
			}
			page, changed, _ = r.page(j, q)
		}
		left := wait - time.Since(q.asked)
		if len(page.Results) > 0 || from >= page.Total || left <= 0 {
			return r.gather(ctx, j, page, q)
		}
		q.waited = true
		select {
		case <-changed:
		case <-time.After(left):
		case <-ctx.Done():
			return Page{}, context.Cause(ctx)
		}
	}
}

const (
	// gatherTime is how long a reader that has waited for a result waits for the
	// next ones. The longest items of a job begin together and are of one length,
	// so they end within a few tens of milliseconds of each other, and who has read
	// the first comes back for the others only half a second later.
	gatherTime = 80 * time.Millisecond
	// readPeriod is how long after a call the answer may gather the last results
	// of a job if the caller allows that much waiting. Trainers ask twice a second
	// and act on an answer at their next turn, so one within this time is fuller
	// and no later for them. The eighth step of a trainer was 0.8 s less late by
	// it, the mean of four trainers on a calm day.
	readPeriod = 450 * time.Millisecond
	// lastShare is the share of a job's results that must be listed for that:
	// the last quarter decides when a step ends.
	lastShare = 0.75
)

// gather waits for further results, unless the list is whole: near its end for
// a caller that allows it until readPeriod after its call, and for one that has
// waited already for gatherTime.
func (r *Reader) gather(ctx context.Context, j *readJob, page Page, q query) (Page, error) {
	left := time.Duration(0)
	if q.from+len(page.Results) >= int(lastShare*float64(page.Total)) {
		left = min(q.wait, readPeriod) - time.Since(q.asked)
	}
	if q.waited {
		left = max(left, gatherTime)
	}
	if left <= 0 || len(page.Results) == 0 {
		return page, nil
	}
	end := time.After(left)
	for {
		page, changed, _ := r.page(j, q)
		if q.from+len(page.Results) >= page.Total || page.cut {
			return page, nil
		}
		select {
		case <-changed:
		case <-end:
			page, _, _ = r.page(j, q)
			return page, nil
		case <-ctx.Done():
			return Page{}, context.Cause(ctx)
		}
	}
}

// page cuts a page out of the list; stale says that the list must be read
// from the store first.
func (r *Reader) page(j *readJob, q query) (page Page, changed <-chan struct{}, stale bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	page = Page{Total: j.job.Items}
	if j.listing == nil {
		return page, j.changed, true
	}
	bytes := 0
	for i := q.from; i < len(j.listing.Results); i++ {
		bytes += len(j.listing.Results[i].Output) + len(j.listing.Results[i].ID)
		if bytes > q.maxBytes && len(page.Results) > 0 {
			page.cut = true
			break
		}
		page.Results = append(page.Results, j.listing.Results[i])
	}
	whole := len(j.listing.Results) == j.job.Items
	stale = len(page.Results) == 0 && !whole && time.Since(r.heard) > feedSilence
	return page, j.changed, stale
}

// loadJob reads the job's head unless it is known.
func (r *Reader) loadJob(ctx context.Context, id string, j *readJob) error {
	j.load.Lock()
	defer j.load.Unlock()
	r.mu.Lock()
	known := j.job != nil
	r.mu.Unlock()
	if known {
		return nil
	}
	job, ended, found, err := r.ledger.Job(ctx, id)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !found {
		delete(r.jobs, id) // whoever makes up ids fills no memory
		return ErrNoJob
	}
	j.job, j.ended = job, ended
	return nil
}

// loadListing reads the job's results from the store.
func (r *Reader) loadListing(ctx context.Context, id string, j *readJob) error {
	j.load.Lock()
	defer j.load.Unlock()
	r.mu.Lock()
	j.loading, j.missed = true, nil
	gaps := r.gaps
	r.mu.Unlock()

	listing, err := r.ledger.Results(ctx, id)

	r.mu.Lock()
	defer r.mu.Unlock()
	missed := j.missed
	j.loading, j.missed = false, nil
	if err != nil {
		return err
	}
	if r.gaps != gaps {
		return errFeedGap
	}
	if j.listing != nil && j.listing.Version >= listing.Version {
		return nil
	}
	if err := listing.Apply(missed, r.version); err != nil {
		return err
	}
	j.listing = listing
	j.signal()
	return nil
}

// errFeedGap says that the feed lost its place while a list was read.
var errFeedGap = errors.New("batch: the feed lost its place, read again")
