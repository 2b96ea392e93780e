package store

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/pause"
)

// Times of a follower.
const (
	// FeedWait is how long the store may hold a feed call that has nothing to
	// tell. It bounds the age of what is believed: a feed that has gone silent
	// is asked again after it.
	FeedWait = time.Second
	// retryPause is the pause after a failed call. The store refuses at no
	// cost to itself, and a change must be in force within two seconds of it.
	retryPause = 150 * time.Millisecond
	// maxRetryPause bounds the pause, which doubles with each failure.
	maxRetryPause = 600 * time.Millisecond
)

// Watcher takes what a follower reads. Its methods are called by one goroutine.
type Watcher interface {
	// Replace takes all rows of the table.
	Replace(s Snapshot)
	// Apply takes changed rows in order of their versions; there may be none.
	Apply(s Snapshot)
	// Lost says that a read failed or was long without an answer, once for each
	// loss; Regained that one succeeded again, and how long that took. It comes
	// before the rows of that read.
	Lost(err error)
	Regained(after time.Duration)
}

// Source is what is followed.
type Source struct {
	Table, Part string
	// Pace spaces the calls; its zero value makes no pause.
	Pace Pace
	// Wait is how long the store may hold a call that has nothing to tell; 0 is
	// FeedWait. A table that seldom changes costs the fewer calls the longer it is.
	Wait time.Duration
}

// errSlow says that a call was answered long after it should have been.
var errSlow = errors.New("store: the feed's answer came late")

// lateSlack is above what any answered feed call takes beside its wait, also while
// the store is slowed down sixty times.
const lateSlack = 500 * time.Millisecond

// Follow keeps a watcher abreast of the rows of one table and part until ctx
// ends: all of them first, then the feed, then all of them again after a gap.
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
}

// step makes one call and pauses.
func (f *follower) step(ctx context.Context) {
	asked := time.Now()
	s, err := f.read(ctx)
	switch {
	case err == nil:
		f.hear(s, asked)
		_ = pause.Sleep(ctx, f.pacer.pause(s)) // the end of ctx is looked at next
	case ctx.Err() != nil:
	case errors.Is(err, ErrHistoryGone):
		f.listed = false
	default:
		f.lose(err, asked)
		_ = pause.Sleep(ctx, min(retryPause<<min(f.failures-1, 4), maxRetryPause)) // the end of ctx is looked at next
	}
}

// hear hands an answer to the watcher.
func (f *follower) hear(s Snapshot, asked time.Time) {
	if time.Since(asked) > f.source.Wait+lateSlack && f.failures == 0 {
		f.lose(errSlow, asked)
	}
	if f.failures > 0 {
		f.watcher.Regained(time.Since(f.lostAt))
	}
	f.failures = 0
	s.Asked = asked
	f.version = max(f.version, s.Version)
	if f.listed {
		f.watcher.Apply(s)
		return
	}
	f.listed = true
	f.watcher.Replace(s)
}

// lose notes a failed call. The loss began when it failed, or, if it was silent
// for longer, when it should have been answered.
func (f *follower) lose(err error, asked time.Time) {
	if f.failures == 0 {
		f.lostAt = time.Now()
		if due := asked.Add(f.source.Wait); due.Before(f.lostAt) {
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

// LogLost is the log line of a lost feed, shared by all watchers.
func LogLost(log logrus.FieldLogger, table string, err error) {
	log.WithFields(logrus.Fields{"dependency": "store", "table": table}).WithError(err).Warn("feed lost")
}

// LogRegained is the log line of a feed that is heard again.
func LogRegained(log logrus.FieldLogger, table string, after time.Duration) {
	log.WithFields(logrus.Fields{"dependency": "store", "table": table, "after_ms": after.Milliseconds()}).Info("feed regained")
}
