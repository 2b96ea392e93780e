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
	// flushDelay is how long counts may stand in an entry's memory only. An entry
	// that is killed loses what it counted in that time: at five requests a second
	// one request, at the cost of five writes a second at most.
	flushDelay = 200 * time.Millisecond
	// busyDelay is for entries that count more than busyCount in a window: what they
	// lose is small against what they report, and their writes would be many.
	busyDelay = time.Second
	busyCount = 50
	// retryPause is the pause after a write that failed.
	retryPause = 300 * time.Millisecond
	// keepWindows is how many windows back counts are kept in memory: their reports
	// are made after one or two.
	keepWindows = 12
)

// Recorder keeps the counts of an entry in the store.
type Recorder struct {
	Rows    store.Rows
	Counter *Counter
	Windows Windows
	// Zone is this entry's availability zone, Entry names this start of it.
	Zone, Entry string
	// ReportDelay is how long after its end a window is reported.
	ReportDelay time.Duration
	Log         logrus.FieldLogger

	// versions are those of the rows written, by window.
	versions map[uint64]uint64
}

// Run writes counts until ctx ends, and then what is left within the time that
// the last write may take.
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
		_ = pause.Sleep(ctx, r.delay()) // the end of ctx is looked at next
		if !r.flush(ctx) {
			_ = pause.Sleep(ctx, retryPause) // the end of ctx is looked at next
		}
	}
}

// delay is how long counts gather before they are written.
func (r *Recorder) delay() time.Duration {
	if r.Counter.size(r.Windows.Index(time.Now())) > busyCount {
		return busyDelay
	}
	return flushDelay
}

// flush writes what has changed; it reports whether all of it was.
func (r *Recorder) flush(ctx context.Context) bool {
	var failed []uint64
	for window, counts := range r.Counter.take() {
		if err := r.write(ctx, window, counts); err != nil {
			r.Log.WithError(err).WithField("window", window).Warn("usage counts not written")
			failed = append(failed, window)
			continue
		}
		if late := time.Since(r.Windows.End(window)); late > r.ReportDelay {
			r.Log.WithFields(logrus.Fields{"window": window, "late_ms": late.Milliseconds()}).Warn("usage counts written after their window's report")
		}
	}
	r.Counter.putBack(failed)
	if now := r.Windows.Index(time.Now()); now > keepWindows {
		for _, window := range r.Counter.forget(now - keepWindows) {
			delete(r.versions, window)
		}
	}
	return len(failed) == 0
}

// write puts a window's counts in the place of those written before. A write that
// got no answer may be done yet, so the next one reads first which row is there:
// a late one must not take a newer one's place.
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
