package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/duty"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

const (
	testDue           = 10 * time.Second
	testOrganisations = 41
)

var testWindows = Windows{Length: 5 * time.Second}

// entry is an entry that counts requests and records them with its own client of the store.
type entry struct {
	counter *Counter
	client  *rowstore.Client
	stop    context.CancelFunc
	done    sync.WaitGroup
}

func startEntry(s *rowstore.Store, zone, name string) *entry {
	ctx, stop := context.WithCancel(context.Background())
	e := &entry{counter: NewCounter(testWindows), client: s.Client(), stop: stop}
	r := &Recorder{
		Rows: e.client, Counter: e.counter, Windows: testWindows, Zone: zone, Entry: name, ReportDelay: ReportDelay(testDue), Log: observe.Discard(),
	}
	e.done.Go(func() { r.Run(ctx) })
	return e
}

func (e *entry) shutDown() {
	e.stop()
	e.done.Wait()
}

func newReporter(rows store.Rows, sender ReportSender) *Reporter {
	return &Reporter{
		Rows: rows, Windows: testWindows, Zones: []string{"y", "z"}, Delay: ReportDelay(testDue), Sender: sender, Log: observe.Discard(),
	}
}

// decide returns the counts that would be reported for a window now.
func decide(t *testing.T, rows store.Rows, window uint64) Counts {
	t.Helper()
	work, err := newReporter(rows, nil).Decide(t.Context(), window, nil)
	if err != nil {
		t.Fatal(err)
	}
	var r Report
	if err := codec.Unmarshal(work, &r); err != nil || r.Window != window {
		t.Fatalf("got %+v, %v", r, err)
	}
	return r.Counts
}

// TestManySmallCounts simulates the load of a site with many organisations and few requests: 14 per
// second from 41 organisations at 6 entries. Most counts of a window are 0, 1 or 2, so that each
// lost request shows. Writes fail in all possible ways meanwhile.
func TestManySmallCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		var entries []*entry
		for i := range 6 {
			entries = append(entries, startEntry(s, []string{"y", "z"}[i%2], fmt.Sprint("entry-", i)))
		}
		began := testWindows.Index(time.Now())
		truth := map[uint64]Counts{}
		for i := range 14 * 20 {
			time.Sleep(71 * time.Millisecond)
			organisation := fmt.Sprint("o", i*i%testOrganisations)
			window := testWindows.Index(time.Now())
			entries[i%len(entries)].counter.Add(organisation, time.Now())
			if truth[window] == nil {
				truth[window] = Counts{}
			}
			truth[window][organisation]++
			switch i % 9 {
			case 2:
				s.QueueOutcomes(rowstore.ReplyLost)
			case 4:
				s.QueueOutcomes(rowstore.RequestLost)
			case 6:
				s.QueueOutcomes(rowstore.Refused)
			case 8:
				s.QueueOutcomes(rowstore.Late)
			}
		}
		time.Sleep(ReportDelay(testDue))
		for window := began; window < began+4; window++ {
			if got := decide(t, s, window); !maps.Equal(got, truth[window]) {
				t.Errorf("window %d: got %v, want %v", window-began, got, truth[window])
			}
		}
		for _, e := range entries {
			e.shutDown()
		}
		time.Sleep(rowstore.LateBy)
	})
}

// TestCountsSurviveStoreOutage makes the store unreachable across the end of a window, for less
// than the time until the report.
func TestCountsSurviveStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		e := startEntry(s, "z", "entry")
		window := testWindows.Index(time.Now())
		e.client.SetError(store.ErrUnknown)
		e.counter.Add("guthi", time.Now())
		time.Sleep(testWindows.Length + 3*time.Second)
		e.client.SetError(nil)
		time.Sleep(time.Second)
		if got := decide(t, s, window); got["guthi"] != 1 {
			t.Errorf("got %v", got)
		}
		e.shutDown()
	})
}

// TestStoppedEntryWritesItsLastCounts stops an entry right after a request.
func TestStoppedEntryWritesItsLastCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		e := startEntry(s, "z", "entry")
		e.counter.Add("guthi", time.Now())
		synctest.Wait()
		e.shutDown()
		if got := decide(t, s, testWindows.Index(time.Now())); got["guthi"] != 1 {
			t.Errorf("got %v", got)
		}
	})
}

// TestWritesAreBounded checks that a busy entry writes at most once per second, however many
// requests it counts, and that an entry without requests writes nothing.
func TestWritesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		busy, idle := startEntry(s, "z", "busy"), startEntry(s, "z", "idle")
		for range 5000 {
			busy.counter.Add("guthi", time.Now())
			time.Sleep(2 * time.Millisecond)
		}
		if n := s.Commits(); n > 10+4 {
			t.Errorf("%d writes in ten seconds", n)
		}
		busy.shutDown()
		idle.shutDown()
	})
}

func TestRequestsWithoutOrganisationAreNotCounted(t *testing.T) {
	c := NewCounter(testWindows)
	c.Add("", time.Now())
	if taken := c.takeChanged(); len(taken) != 0 {
		t.Errorf("got %v", taken)
	}
}

func TestWindowsOfUnixTime(t *testing.T) {
	w := Windows{Length: 5 * time.Second}
	at := time.Unix(1779205550, 0)
	if w.Index(at) != 355841110 || w.Index(at.Add(-1)) != 355841109 || !w.End(355841109).Equal(at) {
		t.Errorf("got %d, %d, %s", w.Index(at), w.Index(at.Add(-1)), w.End(355841109))
	}
}

// fakeSender records the reports that it gets.
type fakeSender struct{ reports []Report }

func (s *fakeSender) Report(_ context.Context, _ duty.Fence, maySend func() bool, r *Report) error {
	if !maySend() {
		return errors.New("the term is over")
	}
	s.reports = append(s.reports, *r)
	return nil
}

// TestLaterRowChangesDoNotChangeReport checks that rows that change after the decision don't change
// the report.
func TestLaterRowChangesDoNotChangeReport(t *testing.T) {
	s, sender := rowstore.New(), &fakeSender{}
	r := newReporter(s, sender)
	put := func(zone string, window uint64, entry string, counts Counts) {
		value, err := codec.Marshal(counts)
		if err != nil {
			t.Fatal(err)
		}
		s.Put(store.Row{Key: countsKey(zone, window, entry), Value: value})
	}
	put("y", 7, "e1", Counts{"guthi": 2})
	put("z", 7, "e2", Counts{"guthi": 1, "trust": 4})
	put("z", 8, "e2", Counts{"guthi": 100})
	put("z", 6, "e2", Counts{"guthi": 100})
	work, err := r.Decide(t.Context(), 7, nil)
	if err != nil {
		t.Fatal(err)
	}
	put("y", 7, "e1", Counts{"guthi": 50})
	maySend := true
	for range 2 {
		if err := r.Send(t.Context(), duty.Fence{}, func() bool { return maySend }, work); err != nil {
			t.Fatal(err)
		}
	}
	want := Counts{"guthi": 3, "trust": 4}
	if len(sender.reports) != 2 || sender.reports[0].Window != 7 || !maps.Equal(sender.reports[0].Counts, want) || !maps.Equal(sender.reports[1].Counts, want) {
		t.Errorf("got %+v", sender.reports)
	}
	r.OnDone(t.Context(), 7)
	var left []string
	for _, row := range s.Rows(TableCounts) {
		left = append(left, row.Name)
	}
	if len(left) != 3 {
		t.Errorf("rows of earlier windows must be removed: got %v", left)
	}
	if _, err := r.Decide(t.Context(), 9, nil); err != nil {
		t.Fatal(err)
	}
	s.Put(store.Row{Key: countsKey("z", 9, "e3"), Value: []byte("{")})
	if _, err := r.Decide(t.Context(), 9, nil); err == nil {
		t.Error("want an error for a row that is not readable")
	}
}

// TestWindowsAreReportedInOrder checks that windows are reported in order, that the backlog after a
// long outage is bounded, and that the first report ever is of the last due window.
func TestWindowsAreReportedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReporter(rowstore.New(), nil)
		now := testWindows.Index(time.Now())
		if window, due := r.Next(0, false); window >= now || due.After(time.Now()) || r.due(window+1).Before(time.Now()) {
			t.Errorf("the first window is %d of %d, due %s", window, now, due)
		}
		if window, due := r.Next(now, true); window != now+1 || !due.Equal(testWindows.End(now+1).Add(4500*time.Millisecond)) {
			t.Errorf("got %d due %s", window, due)
		}
		if window, _ := r.Next(now-10000, true); window != now-120 {
			t.Errorf("goes back to window %d of %d", window, now)
		}
		at := time.Now()
		for range 5 {
			window, due := r.NextDue(at)
			if !due.After(at) || r.due(window-1).After(at) {
				t.Errorf("after %s comes window %d at %s", at, window, due)
			}
			at = due
		}
	})
}

// TestWithdrawnRequestsAreNotReported guards against reports of requests that no endpoint began. A
// request that is withdrawn before its count is written must cause no write. One that is
// withdrawn later must be removed from the written count.
func TestWithdrawnRequestsAreNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		e := startEntry(s, "z", "entry")
		window := testWindows.Index(time.Now())
		for range 100 {
			e.counter.Add("guthi", time.Now())()
			time.Sleep(flushDelay / 10)
		}
		if n := s.Commits(); n != 0 {
			t.Errorf("%d writes of requests that no endpoint began", n)
		}
		e.counter.Add("guthi", time.Now())
		withdraw := e.counter.Add("guthi", time.Now())
		time.Sleep(time.Second)
		if got := decide(t, s, window); got["guthi"] != 2 {
			t.Errorf("before the withdrawal: got %v", got)
		}
		withdraw()
		time.Sleep(time.Second)
		if got := decide(t, s, window); got["guthi"] != 1 {
			t.Errorf("after the withdrawal: got %v", got)
		}
		e.shutDown()
	})
}
