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

// slowSender answers every request after a time, or declines it then.
type slowSender struct {
	work    time.Duration
	decline bool
}

func (s slowSender) Send(ctx context.Context, _ fleet.Instance, _ *forward.Request, _ time.Duration) (*forward.Answer, error) {
	select {
	case <-time.After(s.work):
		return &forward.Answer{Status: 200, Declined: s.decline}, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %v", forward.ErrBroken, ctx.Err())
	}
}

// reports keeps what was reported.
type reports map[uint64]usage.Counts

func (r reports) Report(_ context.Context, _ duty.Fence, _ func() bool, report *usage.Report) error {
	r[report.Window] = report.Counts
	return nil
}

// usageEntry is as much of an entry as counts requests.
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

// TestLongRequestsAreInTheirReport guards against requests that are missing in the
// report of the window in which they began since their answer comes after it.
func TestLongRequestsAreInTheirReport(t *testing.T) {
	for name, c := range map[string]struct {
		kind   fleet.Kind
		sender slowSender
		want   uint64
	}{
		"safe":              {fleet.KindSafe, slowSender{work: 5 * time.Second}, 1},
		"at most once":      {fleet.KindUnsafe, slowSender{work: 5 * time.Second}, 1},
		"no answer in time": {fleet.KindUnsafe, slowSender{work: time.Minute}, 1},
		"declined late":     {fleet.KindUnsafe, slowSender{work: time.Second, decline: true}, 0},
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
				running.Go(func() { e.forwarder.Do(ctx, lookupOf("guthi", c.kind)) }) // what it answers is tested elsewhere

				sink := reports{}
				reporter := &usage.Reporter{
					Rows: rows, Windows: windows, Zones: []string{"z"}, Delay: usage.ReportDelay(e.settings.UsageDue), Sender: sink, Log: e.log,
				}
				time.Sleep(time.Until(windows.End(began).Add(reporter.Delay)))
				work, err := reporter.Decide(ctx, began, nil)
				if err != nil {
					t.Fatal(err)
				}
				if err := reporter.Send(ctx, duty.Fence{}, func() bool { return true }, work); err != nil {
					t.Fatal(err)
				}
				if got := sink[began]["guthi"]; got != c.want {
					t.Errorf("%d requests reported, want %d", got, c.want)
				}
			})
		})
	}
}

// lookupOf is a request of an organisation.
func lookupOf(organisation string, kind fleet.Kind) *forward.Request {
	return &forward.Request{ID: "r1", Organisation: organisation, Method: "GET", Target: "/p/x", Route: &fleet.Route{
		Name: "route", Kind: kind, Timeout: 10 * time.Second, Objective: 15 * time.Second, MaxAttempts: 1,
		Backends: []fleet.Backend{{Service: "s", Weight: 1}},
	}}
}
