package batch

import (
	"context"
	"errors"
	"time"

	"mulberryscale.example/store"
)

const (
	// feedWait is how long the store may hold a feed call while there is no change.
	// Callers that wait longer call again, so that a feed that no longer responds
	// delays results no longer than that.
	feedWait = 400 * time.Millisecond
	// feedGrace is how late, after its time to wait, a feed call may return before
	// the entire list is read instead. The sum of feedWait and feedGrace is below the
	// second after which every entry must show the results that one has shown.
	feedGrace = 500 * time.Millisecond
	// updateTimeout bounds an update: a feed call that times out, then reading the list.
	updateTimeout = feedWait + feedGrace + 1500*time.Millisecond
)

// update is one update of a job's list, shared by all callers that read the job
// while it is in flight.
type update struct {
	done  chan struct{} // closed when the update is done
	began time.Time
	err   error // set before done is closed
}

// errUpdatePending means that an update was not done within the time that a caller waits.
var errUpdatePending = errors.New("batch: the job's list is still being read")

// await waits until the update is done, at most for limit, and returns its error. It
// returns nil at the limit while the feed call may still be waiting for a change.
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
			return nil // the feed call is still waiting: there is no change
		}
		return errUpdatePending
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// maxListAge is how old a list may be while an update is in flight: an update that
// finds no changes takes less than this, and the next one follows it.
const maxListAge = feedWait + 100*time.Millisecond

// inFlight returns the update in flight, if any; current reports whether the caller may be
// served the list as it is. There are two proofs that it lacks nothing which a caller was
// shown elsewhere: it was read since the caller came, or it was up to date less than
// maxListAge ago and the feed has been watched since. An update in flight alone is no proof:
// it may be the first in seconds.
func (r *Reader) inFlight(j *cachedJob, q query) (u *update, current bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u = j.update
	if j.listing == nil {
		return u, false
	}
	watched := u != nil && time.Since(j.freshAt) < maxListAge
	return u, watched || j.readSince(q)
}

// readSince reports whether the list was read since the caller came. A caller that asks for
// a position beyond the list has seen a newer one. It is called with Reader.mu held.
func (j *cachedJob) readSince(q query) bool {
	return !j.readFrom.Before(q.began) && q.from <= len(j.listing.Results)
}

// startUpdate starts an update unless one is in flight, and returns it; the store may
// hold its feed call for wait.
func (r *Reader) startUpdate(id string, j *cachedJob, wait time.Duration) *update {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.update != nil {
		return j.update
	}
	u := &update{done: make(chan struct{}), began: time.Now()}
	j.update = u
	go func() {
		// Not the context of the caller: others may share the update.
		ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
		defer cancel()
		err := r.fetch(ctx, id, j, wait)
		r.mu.Lock()
		defer r.mu.Unlock()
		if err == nil {
			j.freshAt, j.readFrom = time.Now(), u.began
		}
		u.err, j.update = err, nil
		close(u.done)
	}()
	return u
}

// fetch brings a job's list up to date: from the feed of its table, or by reading the
// entire list if none is cached, or if the feed does not respond or no longer has the
// changes since the list's version.
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

// fullFeedBytes is the size from which on a feed's response may be truncated: the
// store limits a page to 1 MB, and does not tell whether that applies to feeds.
const fullFeedBytes = 128 << 10

// fetchFeed applies all changes of a job after a version, as the feed returns them. A
// list that had only some of the changes would lack positions that other entries have
// shown already.
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

// callFeed makes one call to the feed of a job's table.
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
