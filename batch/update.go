package batch

import (
	"context"
	"errors"
	"time"

	"mulberryscale.example/store"
)

const (
	// feedWait is how long the store may hold a feed call that has nothing to
	// tell of a job. Whoever waits longer asks again, so that a feed that has gone
	// silent hides nothing for longer.
	feedWait = 400 * time.Millisecond
	// feedGrace is how long after its time to wait a feed call may be answered
	// before the list is read whole instead. Together with updateWait it is below
	// the second after which every entry must show what one has shown.
	feedGrace = 500 * time.Millisecond
	// updateTimeout bounds an update: a silent feed, then the list.
	updateTimeout = feedWait + feedGrace + 1500*time.Millisecond
)

// update is one reading of what is new in a job's list, shared by all callers
// that read the job meanwhile.
type update struct {
	done  chan struct{} // closed at its end
	began time.Time
	err   error // set before done is closed
}

// errUpdatePending says that an update has not ended in the caller's time.
var errUpdatePending = errors.New("batch: the job's list is still being read")

// await waits for the update's end, for limit at most.
func (u *update) await(ctx context.Context, limit time.Duration) error {
	select {
	case <-u.done:
		return u.err
	default:
	}
	select {
	case <-u.done:
		return u.err
	case <-time.After(limit):
		if time.Since(u.began) < feedWait+feedGrace {
			return nil // the feed is listened to and has told of nothing
		}
		return errUpdatePending
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// maxListAge is how old a list may be while the feed is being listened to: an
// update that hears nothing ends within it and is followed by the next.
const maxListAge = feedWait + 100*time.Millisecond

// inFlight is the update in flight, if any; current says that the list was up to
// date a moment ago and the feed is listened to since, so that there is nothing to
// catch up with. An update alone says nothing: it may be the first in seconds.
func (r *Reader) inFlight(j *cachedJob) (u *update, current bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u = j.update
	return u, u != nil && j.listing != nil && time.Since(j.freshAt) < maxListAge
}

// startUpdate begins an update unless one is in flight; the store may hold it for wait.
func (r *Reader) startUpdate(id string, j *cachedJob, wait time.Duration) *update {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.update != nil {
		return j.update
	}
	u := &update{done: make(chan struct{}), began: time.Now()}
	j.update = u
	go func() {
		// No caller's context: others may have joined it.
		ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
		defer cancel()
		err := r.fetch(ctx, id, j, wait)
		r.mu.Lock()
		defer r.mu.Unlock()
		if err == nil {
			j.freshAt = time.Now()
		}
		u.err, j.update = err, nil
		close(u.done)
	}()
	return u
}

// fetch brings a job's list up to date: from the feed of its table, or whole
// where none is known, the feed gives no answer or no longer reaches back.
func (r *Reader) fetch(ctx context.Context, id string, j *cachedJob, wait time.Duration) error {
	r.mu.Lock()
	known := j.listing
	version := uint64(0)
	if known != nil {
		version = known.Version
	}
	r.mu.Unlock()
	if known != nil && r.fetchFeed(ctx, id, known, version, wait) == nil {
		return nil
	}
	listing, err := r.ledger.Results(ctx, id)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.listing == nil || j.listing.Version < listing.Version {
		j.listing = listing
	}
	return nil
}

// fullFeedBytes is the size of an answer from which on the feed may have been cut
// off: the store bounds a page at 1 MB, and does not say so of feeds.
const fullFeedBytes = 128 << 10

// fetchFeed applies what the feed tells of a job after a version, to the end. A
// list that is read up to the middle of what has changed would hide positions
// that others have shown.
func (r *Reader) fetchFeed(ctx context.Context, id string, listing *Listing, version uint64, wait time.Duration) error {
	for {
		s, err := r.callFeed(ctx, id, version, wait)
		if err != nil {
			return err
		}
		if err := r.applyRows(id, listing, s); err != nil {
			return err
		}
		if len(s.Rows) == 0 || (!s.More && bytesOf(s.Rows) < fullFeedBytes) {
			return nil
		}
		version, wait = s.Version, 0
	}
}

// callFeed makes one call.
func (r *Reader) callFeed(ctx context.Context, id string, version uint64, wait time.Duration) (store.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+feedGrace)
	defer cancel()
	return r.ledger.Store.Feed(ctx, resultsTable(id), version, wait)
}

// applyRows adds the rows of a job to its list.
func (r *Reader) applyRows(id string, listing *Listing, s store.Snapshot) error {
	var rows []store.Row
	for _, row := range s.Rows {
		if row.Part == id {
			rows = append(rows, row)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := listing.Apply(rows, s.Version); err != nil {
		r.log.WithError(err).WithField("job", id).Error("results not readable")
		return err
	}
	return nil
}

func bytesOf(rows []store.Row) int {
	n := 0
	for i := range rows {
		n += len(rows[i].Value)
	}
	return n
}
