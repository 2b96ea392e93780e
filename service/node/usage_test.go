package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/duty"
	"mulberryscale.example/fleet"
	"mulberryscale.example/forward"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/usage"
)

// slowSender answers or declines every request after a delay.
type slowSender struct {
	delay   time.Duration
	decline bool
}

func (s slowSender) Send(ctx context.Context, _ fleet.Instance, _ *forward.Request, _ time.Duration) (*forward.Answer, error) {
	select {
	case <-time.After(s.delay):
		return &forward.Answer{Status: 200, Declined: s.decline}, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %v", forward.ErrBroken, ctx.Err())
	}
}

// reports collects the reported counts by window.
type reports map[uint64]usage.Counts

func (r reports) Report(_ context.Context, _ duty.Fence, _ func() bool, report *usage.Report) error {
	r[report.Window] = report.Counts
	return nil
}

// usageEntry returns an entry with only the parts that count requests.
func usageEntry(rows *rowstore.Store, sender forward.Sender) *Entry {
	view := fleet.NewView()
	view.SetConfig(&fleet.Config{Version: 1, Services: []fleet.Service{{Name: "s"}}})
	view.UpdateInstances([]fleet.Instance{{ID: "a", Service: "s", Zone: "z", Addr: "10.0.0.1:1", Slots: 4}}, nil)
	settings := &nodefile.Settings{Node: "entry", Zone: "z", ReportUsage: true, UsageWindow: time.Second, UsageDue: 4 * time.Second}
	return &Entry{
		base:      &base{settings: settings, rows: rows, log: observe.Discard().WithField("process", "entry")},
		forwarder: forward.New(view, sender, "z", observe.Discard(), observe.NewCounters()),
	}
}

// TestLongRequestsAreReportedInTheirWindow guards against requests that are missing from the
// report of the window in which they began, because their answer came after the window.
func TestLongRequestsAreReportedInTheirWindow(t *testing.T) {
	for name, c := range map[string]struct {
		kind   fleet.Kind
		sender slowSender
		want   uint64
	}{
		"safe":              {fleet.KindSafe, slowSender{delay: 5 * time.Second}, 1},
		"at most once":      {fleet.KindUnsafe, slowSender{delay: 5 * time.Second}, 1},
		"no answer in time": {fleet.KindUnsafe, slowSender{delay: time.Minute}, 1},
		"declined late":     {fleet.KindUnsafe, slowSender{delay: time.Second, decline: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := rowstore.New()
				e := usageEntry(rows, c.sender)
				ctx, stop := context.WithCancel(t.Context())
				var running sync.WaitGroup
				defer running.Wait()
				defer stop()
				e.countUsage(ctx, &running)
				windows := usage.Windows{Length: e.settings.UsageWindow}
				began := windows.Index(time.Now())
				running.Go(func() { e.forwarder.Do(ctx, requestOf("guthi", c.kind)) }) // the answer is tested elsewhere

				sender := reports{}
				reporter := &usage.Reporter{
					Rows: rows, Windows: windows, Zones: []string{"z"}, Delay: usage.ReportDelay(e.settings.UsageDue), Sender: sender, Log: e.log,
				}
				time.Sleep(time.Until(windows.End(began).Add(reporter.Delay)))
				work, err := reporter.Decide(ctx, began, nil)
				if err != nil {
					t.Fatal(err)
				}
				if err := reporter.Send(ctx, duty.Fence{}, func() bool { return true }, work); err != nil {
					t.Fatal(err)
				}
				if got := sender[began]["guthi"]; got != c.want {
					t.Errorf("%d requests reported, want %d", got, c.want)
				}
			})
		})
	}
}

// requestOf returns a request of an organisation.
func requestOf(organisation string, kind fleet.Kind) *forward.Request {
	return &forward.Request{ID: "r1", Organisation: organisation, Method: "GET", Target: "/p/x", Route: &fleet.Route{
		Name: "route", Kind: kind, Timeout: 10 * time.Second, Objective: 15 * time.Second, MaxAttempts: 1,
		Backends: []fleet.Backend{{Service: "s", Weight: 1}},
	}}
}
