package store

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/pause"
)

// Timing of Follow.
const (
	// FeedWait is how long the store may hold a feed call while there is no change. It
	// bounds the staleness of a watcher: a call without a response is repeated after FeedWait.
	FeedWait = time.Second
	// retryPause is the delay before a retry. A refusal costs the store nothing, and a
	// change must be in force two seconds after it was made.
	retryPause = 150 * time.Millisecond
	// maxRetryPause bounds the delay, which doubles with each failure.
	maxRetryPause = 600 * time.Millisecond
)

// Watcher receives the rows that Follow reads. One goroutine calls its methods.
type Watcher interface {
	// Replace receives all rows of the table.
	Replace(s Snapshot)
	// Apply receives changed rows in order of their versions; there may be none.
	Apply(s Snapshot)
	// Lost reports that a read failed or got no response in time. It is called once for
	// each outage. Regained reports that a read succeeded again, and how long the outage
	// lasted; it is called before the rows of that read are passed on.
	Lost(err error)
	Regained(after time.Duration)
}

// Source selects the rows to follow and the rate of the calls.
type Source struct {
	Table, Part string
	// Pace limits the rate of the calls; its zero value sets no limit.
	Pace Pace
	// Wait is how long the store may hold a call while there is no change; 0 is FeedWait.
	// For a table that seldom changes, a longer wait means fewer calls.
	Wait time.Duration
	// Refresh, if set, receives a value when there is evidence that the rows are out of date.
	// It ends a pause early.
	Refresh <-chan struct{}
}

// errFeedOverdue means that a feed call got its response long after the wait had passed.
var errFeedOverdue = errors.New("store: feed response overdue")

// feedGrace is more than any successful feed call takes beyond its wait, even while the
// store is sixty times as slow as usual.
const feedGrace = 500 * time.Millisecond

// Follow keeps a watcher up to date with the rows of one table and part until ctx is
// cancelled. It lists all rows first and then reads the feed; when the feed's history
// is gone, it lists all rows again.
func Follow(ctx context.Context, rows Rows, source Source, w Watcher) {
	source.Wait = cmp.Or(source.Wait, FeedWait)
	f := &follower{rows: rows, source: source, watcher: w, pacer: newPacer(source.Pace)}
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

type follower struct {
	rows     Rows
	source   Source
	watcher  Watcher
	pacer    *pacer
	listed   bool
	version  uint64
	failures int
	lostAt   time.Time
	// refreshes is the number of pauses in a row that Refresh has ended.
	refreshes int
}

// step makes one call, handles its result and pauses.
func (f *follower) step(ctx context.Context) {
	calledAt := time.Now()
	s, err := f.read(ctx)
	switch {
	case err == nil:
		f.handleResponse(s, calledAt)
		f.pause(ctx, f.pacer.pause(s))
	case ctx.Err() != nil:
	case errors.Is(err, ErrHistoryGone):
		f.listed = false
	default:
		f.recordFailure(err, calledAt)
		_ = pause.Sleep(ctx, min(retryPause<<min(f.failures-1, 4), maxRetryPause)) // the loop checks ctx next
	}
}

const (
	// minRefreshPause is the shortest pause before a refresh. It doubles with each refresh in a
	// row, so that a process whose evidence stays makes hardly more calls than the pace allows.
	minRefreshPause = 200 * time.Millisecond
	// maxRefreshDoublings leads to a pause that is longer than that of any pace.
	maxRefreshDoublings = 8
)

// pause waits for d, or less if Refresh receives a value.
func (f *follower) pause(ctx context.Context, d time.Duration) {
	before := min(d, minRefreshPause<<min(f.refreshes, maxRefreshDoublings))
	if pause.Sleep(ctx, before) != nil {
		return // the loop checks ctx next
	}
	select {
	case <-f.source.Refresh: // received meanwhile
		f.refreshes++
		return
	default:
	}
	rest := time.NewTimer(d - before)
	defer rest.Stop()
	select {
	case <-ctx.Done():
	case <-f.source.Refresh:
		f.refreshes++
	case <-rest.C:
		f.refreshes = 0
	}
}

// handleResponse passes a response to the watcher.
func (f *follower) handleResponse(s Snapshot, calledAt time.Time) {
	if time.Since(calledAt) > f.source.Wait+feedGrace && f.failures == 0 {
		f.recordFailure(errFeedOverdue, calledAt)
	}
	if f.failures > 0 {
		f.watcher.Regained(time.Since(f.lostAt))
	}
	f.failures = 0
	s.Asked = calledAt
	f.version = max(f.version, s.Version)
	if f.listed {
		f.watcher.Apply(s)
		return
	}
	f.listed = true
	f.watcher.Replace(s)
}

// recordFailure counts a failed call and reports the first of an outage. The outage started
// when the call failed or, if that was later than the call's wait, when the wait passed.
func (f *follower) recordFailure(err error, calledAt time.Time) {
	if f.failures == 0 {
		f.lostAt = time.Now()
		if due := calledAt.Add(f.source.Wait); due.Before(f.lostAt) {
			f.lostAt = due
		}
		f.watcher.Lost(err)
	}
	f.failures++
}

func (f *follower) read(ctx context.Context) (Snapshot, error) {
	if !f.listed {
		return ListAll(ctx, f.rows, Range{Table: f.source.Table, Part: f.source.Part})
	}
	return f.rows.Feed(ctx, f.source.Table, f.version, f.source.Wait)
}

// LogLost logs the start of a feed's outage, in the same form for all watchers.
func LogLost(log logrus.FieldLogger, table string, err error) {
	log.WithFields(logrus.Fields{"dependency": "store", "table": table}).WithError(err).Warn("feed lost")
}

// LogRegained logs the end of a feed's outage.
func LogRegained(log logrus.FieldLogger, table string, after time.Duration) {
	log.WithFields(logrus.Fields{"dependency": "store", "table": table, "after_ms": after.Milliseconds()}).Info("feed regained")
}
