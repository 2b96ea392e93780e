package usage

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/duty"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// Report is the usage of one window.
type Report struct {
	Window uint64 `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint,omitempty"`
}

// ReportSender sends reports to the platform.
type ReportSender interface {
	// Report sends a report once, unless maySend returns false at the moment of sending. It
	// returns nil if the report was accepted.
	Report(ctx context.Context, f duty.Fence, maySend func() bool, r *Report) error
}

// delayShare is ReportDelay as a share of the time from the end of a window until its report is
// due. Entries write their last counts during ReportDelay. The remaining time is enough for a second
// holder if the first one crashes: the first one's term, the time between two holders, and the
// second one's sends take less than five of the ten seconds that platforms allow.
const delayShare = 0.45

// ReportDelay returns how long after the end of a window its report is sent. late is the time after
// the end of a window at which the platform requires its report.
func ReportDelay(late time.Duration) time.Duration { return time.Duration(delayShare * float64(late)) }

// maxBacklog is the maximum age of windows that are reported after an outage of the whole system or
// the platform. Older ones are not reported.
const maxBacklog = 10 * time.Minute

// Reporter is the duty.Work of usage reports. Each window is a piece.
type Reporter struct {
	Rows    store.Rows
	Windows Windows
	// Zones are the availability zones that have entries.
	Zones []string
	// Delay is the time between the end of a window and its report.
	Delay  time.Duration
	Sender ReportSender
	Log    logrus.FieldLogger

	// staleRows are the rows of earlier windows that Decide found.
	staleRows []store.Key
}

func (r *Reporter) due(window uint64) time.Time { return r.Windows.End(window).Add(r.Delay) }

// Next implements duty.Work.
func (r *Reporter) Next(done uint64, found bool) (uint64, time.Time) {
	now := time.Now()
	oldest := r.Windows.Index(now.Add(-maxBacklog))
	if !found {
		oldest = r.Windows.Index(now.Add(-r.Delay)) - 1 // the last due window
	}
	window := max(done+1, oldest)
	return window, r.due(window)
}

// NextDue implements duty.Work.
func (r *Reporter) NextDue(after time.Time) (uint64, time.Time) {
	window := r.Windows.Index(after.Add(-r.Delay))
	return window, r.due(window)
}

// Decide implements duty.Work. It adds up the counts of the window over all zones.
func (r *Reporter) Decide(ctx context.Context, window uint64, _ []byte) ([]byte, error) {
	report := Report{Window: window, Counts: Counts{}}
	r.staleRows = nil
	for _, zone := range r.Zones {
		c, err := readZone(ctx, r.Rows, zone, window)
		if err != nil {
			return nil, fmt.Errorf("usage of window %d in %s: %w", window, zone, err)
		}
		for organisation, n := range c.counts {
			report.Counts[organisation] += n
		}
		r.staleRows = append(r.staleRows, c.staleRows...)
	}
	return codec.Marshal(report)
}

// Send implements duty.Work.
func (r *Reporter) Send(ctx context.Context, f duty.Fence, maySend func() bool, work []byte) error {
	var report Report
	if err := codec.Unmarshal(work, &report); err != nil {
		return fmt.Errorf("usage report: %w", err)
	}
	return r.Sender.Report(ctx, f, maySend, &report)
}

// maxDeletes is the maximum number of rows in one transaction of the store.
const maxDeletes = 100

// OnDone implements duty.Work. It removes the rows of earlier windows. Remaining ones are removed
// after the next report.
func (r *Reporter) OnDone(ctx context.Context, _ uint64) {
	byZone := map[string][]store.Key{}
	for _, key := range r.staleRows {
		byZone[key.Part] = append(byZone[key.Part], key)
	}
	r.staleRows = nil
	for zone, keys := range byZone {
		tx := store.Tx{Delete: keys[:min(len(keys), maxDeletes)]}
		if _, err := r.Rows.Commit(ctx, tx); err != nil {
			r.Log.WithError(err).WithField("zone", zone).Warn("old usage counts not removed")
		}
	}
}
