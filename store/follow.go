package store

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
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
	// Lost says that a read failed, once for each loss; Regained that one
	// succeeded again, and how long that took.
	Lost(err error)
	Regained(after time.Duration)
}

// Follow keeps a watcher abreast of the rows of one table and part until ctx
// ends: all of them first, then the feed, then all of them again after a gap.
func Follow(ctx context.Context, rows Rows, table, part string, w Watcher) {
	f := &follower{rows: rows, table: table, part: part, watcher: w}
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

type follower struct {
	rows        Rows
	table, part string
	watcher     Watcher
	listed      bool
	version     uint64
	failures    int
	lostAt      time.Time
}

func (f *follower) step(ctx context.Context) {
	err := f.read(ctx)
	if err == nil {
		if f.failures > 0 {
			f.watcher.Regained(time.Since(f.lostAt))
		}
		f.failures = 0
		return
	}
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrHistoryGone) {
		f.listed = false
		return
	}
	if f.failures == 0 {
		f.lostAt = time.Now()
		f.watcher.Lost(err)
	}
	pause := min(retryPause<<min(f.failures, 4), maxRetryPause)
	f.failures++
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

func (f *follower) read(ctx context.Context) error {
	if !f.listed {
		s, err := ListAll(ctx, f.rows, Range{Table: f.table, Part: f.part})
		if err != nil {
			return err
		}
		f.listed, f.version = true, s.Version
		f.watcher.Replace(s)
		return nil
	}
	s, err := f.rows.Feed(ctx, f.table, f.version, FeedWait)
	if err != nil {
		return err
	}
	f.version = max(f.version, s.Version)
	f.watcher.Apply(s)
	return nil
}

// LogLoss is the log line of a lost feed, shared by all watchers.
func LogLoss(log logrus.FieldLogger, table string, err error) {
	log.WithFields(logrus.Fields{"dependency": "store", "table": table}).WithError(err).Warn("feed lost")
}

// LogReturn is the log line of a feed that is heard again.
func LogReturn(log logrus.FieldLogger, table string, after time.Duration) {
	log.WithFields(logrus.Fields{"dependency": "store", "table": table, "after_ms": after.Milliseconds()}).Info("feed regained")
}
