package usage

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

const (
	// flushDelay is how long an entry collects counts in memory before it writes them. An entry
	// that is killed loses these counts: with five requests per second that is one request.
	// The cost is at most five writes per second.
	flushDelay = 200 * time.Millisecond
	// busyFlushDelay is used while an entry has counted more than busyThreshold requests in a
	// window. The loss is then small against the total, and flushDelay would cause many writes.
	busyFlushDelay = time.Second
	busyThreshold  = 50
	// retryPause is the pause after a failed write.
	retryPause = 300 * time.Millisecond
	// keepWindows is the number of past windows whose counts are kept in memory. Windows are
	// reported one or two windows after their end.
	keepWindows = 12
)

// Recorder saves the counts of an entry in the store.
type Recorder struct {
	Rows    store.Rows
	Counter *Counter
	Windows Windows
	// Zone is this entry's availability zone. Entry identifies this incarnation of the entry.
	Zone, Entry string
	// ReportDelay is the time between the end of a window and its report.
	ReportDelay time.Duration
	Log         logrus.FieldLogger

	// versions are the versions of the rows written, by window.
	versions map[uint64]uint64
}

// Run writes changed counts until ctx is cancelled. Then it writes the remaining ones, for at most
// retryPause.
func (r *Recorder) Run(ctx context.Context) {
	r.versions = map[uint64]uint64{}
	for {
		select {
		case <-r.Counter.changed:
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), retryPause)
			defer cancel()
			r.flush(last)
			return
		}
		_ = pause.Sleep(ctx, r.nextFlushDelay()) // the loop checks ctx next
		if !r.flush(ctx) {
			_ = pause.Sleep(ctx, retryPause) // the loop checks ctx next
		}
	}
}

// nextFlushDelay returns how long counts are collected before they are written.
func (r *Recorder) nextFlushDelay() time.Duration {
	if r.Counter.total(r.Windows.Index(time.Now())) > busyThreshold {
		return busyFlushDelay
	}
	return flushDelay
}

// flush writes all changed counts. It returns whether all writes succeeded.
func (r *Recorder) flush(ctx context.Context) bool {
	var failed []uint64
	for window, counts := range r.Counter.takeChanged() {
		if err := r.write(ctx, window, counts); err != nil {
			r.Log.WithError(err).WithField("window", window).Warn("usage counts not written")
			failed = append(failed, window)
			continue
		}
		if late := time.Since(r.Windows.End(window)); late > r.ReportDelay {
			r.Log.WithFields(logrus.Fields{"window": window, "late_ms": late.Milliseconds()}).Warn("usage counts written after the report of their window")
		}
	}
	r.Counter.markChanged(failed)
	if now := r.Windows.Index(time.Now()); now > keepWindows {
		for _, window := range r.Counter.dropBefore(now - keepWindows) {
			delete(r.versions, window)
		}
	}
	return len(failed) == 0
}

// write replaces the row of a window's counts. A write without an answer may still take effect
// later, so the next one first reads the version of the row: the late write must not overwrite a
// newer one.
func (r *Recorder) write(ctx context.Context, window uint64, counts Counts) error {
	key := countsKey(r.Zone, window, r.Entry)
	version, known := r.versions[window]
	if !known {
		s, err := r.Rows.List(ctx, store.Range{Table: key.Table, Part: key.Part, From: key.Name, To: key.Name + "\x00"})
		if err != nil {
			return err
		}
		if len(s.Rows) > 0 {
			version = s.Rows[0].Version
		}
	}
	value, err := codec.Marshal(counts)
	if err != nil {
		return err
	}
	done, err := r.Rows.Commit(ctx, store.Tx{
		If:  []store.Condition{{Key: key, Version: version}},
		Put: []store.Row{{Key: key, Value: value}},
	})
	switch {
	case err == nil:
		r.versions[window] = done.Version
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknown):
		delete(r.versions, window)
	}
	return err
}
