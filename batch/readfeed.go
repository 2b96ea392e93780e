package batch

import (
	"context"
	"errors"
	"time"

	"mulberryscale.example/store"
)

// Run follows the results until ctx ends. Jobs are read whole when they are
// first asked for, so the feed is followed from now on.
func (r *Reader) Run(ctx context.Context) {
	go r.forgetUnused(ctx)
	failures := 0
	var lostAt time.Time // zero while the feed is heard
	for ctx.Err() == nil {
		err := r.hear(ctx)
		if err == nil {
			if !lostAt.IsZero() {
				store.LogReturn(r.log, TableResults, time.Since(lostAt))
			}
			failures, lostAt = 0, time.Time{}
			continue
		}
		failures++
		if errors.Is(err, store.ErrHistoryGone) || failures == maxFeedFailures {
			store.LogLoss(r.log, TableResults, err)
			lostAt = time.Now()
			r.lose()
		}
		_ = pause(ctx, writePause) // the loop ends with ctx
	}
}

// maxFeedFailures is how often in a row the feed is asked again from where it
// was before all lists are read anew.
const maxFeedFailures = 3

// anyPart is read for its snapshot's version only; it holds no rows.
const anyPart = "none"

// hear takes one answer of the feed.
func (r *Reader) hear(ctx context.Context) error {
	r.mu.Lock()
	version, wait := r.version, store.FeedWait
	if len(r.jobs) > 0 {
		wait = readFeedWait
	}
	r.mu.Unlock()
	var s store.Snapshot
	var err error
	if version == 0 {
		s, err = r.ledger.Store.List(ctx, store.Range{Table: TableResults, Part: anyPart})
	} else {
		s, err = r.ledger.Store.Feed(ctx, TableResults, version, wait)
	}
	if err != nil {
		return err
	}
	if version == 0 {
		r.restart(s.Version)
	}
	r.apply(s)
	return nil
}

// restart follows the feed from a version on. What was appended before it and
// after a list was read would be missing in that list, so all are read anew,
// also those that are being read just now.
func (r *Reader) restart(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gaps++
	r.version = version
	for _, j := range r.jobs {
		j.listing = nil
	}
}

// apply hands rows of the feed to the jobs that are kept.
func (r *Reader) apply(s store.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = max(r.version, s.Version)
	r.heard = time.Now()
	byJob := map[string][]store.Row{}
	for _, row := range s.Rows {
		byJob[row.Part] = append(byJob[row.Part], row)
	}
	for id, j := range r.jobs {
		if j.loading {
			j.missed = append(j.missed, byJob[id]...)
		}
		if j.listing == nil {
			continue
		}
		if err := j.listing.Apply(byJob[id], s.Version); err != nil {
			r.log.WithError(err).WithField("job", id).Error("results not readable")
			j.listing = nil
		}
		if len(byJob[id]) > 0 {
			j.signal()
		}
	}
}

// lose lets the feed start anew. The lists are shown as they are until then.
func (r *Reader) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = 0
}

func (r *Reader) forgetUnused(ctx context.Context) {
	for pause(ctx, forgetEvery) == nil {
		r.mu.Lock()
		for id, j := range r.jobs {
			if time.Since(j.used) > forgetAfter {
				delete(r.jobs, id)
			}
		}
		r.mu.Unlock()
	}
}
