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

// Report is what is reported of a window.
type Report struct {
	Window uint64 `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint,omitempty"`
}

// ReportSender takes reports.
type ReportSender interface {
	// Report sends a report once, unless acting says at the moment of sending that
	// it may not be sent any more. nil means that it was accepted.
	Report(ctx context.Context, f duty.Fence, acting func() bool, r *Report) error
}

// delayShare is the share of the time in which a report is due that its entries
// have to write their counts. What is left is enough for one more holder if the
// first one dies: its term, the time between two holders, and its own sends take
// less than five of the ten seconds that platforms allow.
const delayShare = 0.45

// ReportDelay is how long after its end a window is reported where reports are
// due that late.
func ReportDelay(late time.Duration) time.Duration { return time.Duration(delayShare * float64(late)) }

// backlog is how far back windows are reported that were missed while the whole
// system or the platform was away.
const backlog = 10 * time.Minute

// Reporter is the duty.Work of usage reports: a window is a piece.
type Reporter struct {
	Rows    store.Rows
	Windows Windows
	// Zones are the availability zones of entries.
	Zones []string
	// Delay is how long after its end a window is reported.
	Delay  time.Duration
	Sender ReportSender
	Log    logrus.FieldLogger

	// before are the rows of earlier windows that Decide met.
	before []store.Key
}

func (r *Reporter) due(window uint64) time.Time { return r.Windows.End(window).Add(r.Delay) }

// Next implements duty.Work.
func (r *Reporter) Next(done uint64, found bool) (uint64, time.Time) {
	now := time.Now()
	oldest := r.Windows.Index(now.Add(-backlog))
	if !found {
		oldest = r.Windows.Index(now.Add(-r.Delay)) - 1 // the last one that is due
	}
	window := max(done+1, oldest)
	return window, r.due(window)
}

// NextDue implements duty.Work.
func (r *Reporter) NextDue(after time.Time) (uint64, time.Time) {
	window := r.Windows.Index(after.Add(-r.Delay))
	return window, r.due(window)
}

// Decide implements duty.Work.
func (r *Reporter) Decide(ctx context.Context, window uint64, _ []byte) ([]byte, error) {
	report := Report{Window: window, Counts: Counts{}}
	r.before = nil
	for _, zone := range r.Zones {
		c, err := readZone(ctx, r.Rows, zone, window)
		if err != nil {
			return nil, fmt.Errorf("usage of window %d in %s: %w", window, zone, err)
		}
		for organisation, n := range c.counts {
			report.Counts[organisation] += n
		}
		r.before = append(r.before, c.before...)
	}
	return codec.Marshal(report)
}

// Send implements duty.Work.
func (r *Reporter) Send(ctx context.Context, f duty.Fence, acting func() bool, work []byte) error {
	var report Report
	if err := codec.Unmarshal(work, &report); err != nil {
		return fmt.Errorf("usage report: %w", err)
	}
	return r.Sender.Report(ctx, f, acting, &report)
}

// maxDeletes is how many rows one transaction of the store may name.
const maxDeletes = 100

// OnDone implements duty.Work: it removes the rows of earlier windows. Those
// that stay are met by the next report.
func (r *Reporter) OnDone(ctx context.Context, _ uint64) {
	byZone := map[string][]store.Key{}
	for _, key := range r.before {
		byZone[key.Part] = append(byZone[key.Part], key)
	}
	r.before = nil
	for zone, keys := range byZone {
		tx := store.Tx{Delete: keys[:min(len(keys), maxDeletes)]}
		if _, err := r.Rows.Commit(ctx, tx); err != nil {
			r.Log.WithError(err).WithField("zone", zone).Warn("old usage counts not removed")
		}
	}
}
