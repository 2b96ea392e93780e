package store_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/store"
)

// These tests cover two kinds of tables: one in which many writers change their rows
// all the time and which every process follows, such as the heartbeats of 120 instances
// each 1.2 s; and one in which a row changes now and then.

// countingRows counts feed calls.
type countingRows struct {
	store.Rows
	feeds atomic.Int64
}

func (c *countingRows) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (store.Snapshot, error) {
	c.feeds.Add(1)
	return c.Rows.Feed(ctx, table, after, wait)
}

// recorder counts the rows that it receives and records when the last ones arrived.
type recorder struct {
	watcher
	rows atomic.Int64
	last atomic.Int64 // Unix nanoseconds
}

func (a *recorder) Apply(s store.Snapshot) {
	if len(s.Rows) > 0 {
		a.rows.Add(int64(len(s.Rows)))
		a.last.Store(time.Now().UnixNano())
	}
}

// TestFeedCallRateIsIndependentOfWriterCount runs 30, 100 and 300 writers that write
// heartbeats, and compares the rates of the feed's calls.
func TestFeedCallRateIsIndependentOfWriterCount(t *testing.T) {
	calls := func(writers int) (perSecond float64, applied int64) {
		synctest.Test(t, func(t *testing.T) {
			const seconds = 20
			s := rowstore.New()
			rows, w := &countingRows{Rows: s}, &recorder{}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go store.Follow(ctx, rows, store.Source{Table: "beats", Pace: store.Pace{BytesPerSecond: 6000, MaxPause: 1300 * time.Millisecond}}, w)
			for i := range writers {
				go func() {
					time.Sleep(1200 * time.Millisecond * time.Duration(i) / time.Duration(writers))
					for ctx.Err() == nil {
						s.Put(store.Row{Key: store.Key{Table: "beats", Name: fmt.Sprint(i)}, Value: make([]byte, 230)})
						time.Sleep(1200 * time.Millisecond)
					}
				}()
			}
			time.Sleep(seconds * time.Second)
			perSecond, applied = float64(rows.feeds.Load())/seconds, w.rows.Load()
			cancel()
			time.Sleep(2 * time.Second)
		})
		return perSecond, applied
	}
	few, _ := calls(30)
	for _, n := range []int{100, 300} {
		many, applied := calls(n)
		if many > 1.3*few {
			t.Errorf("%d writers: %.1f calls a second, 30 writers: %.1f", n, many, few)
		}
		if want := int64(n * 14); applied < want {
			t.Errorf("%d writers: %d changes received, want at least %d", n, applied, want)
		}
	}
}

// TestChangeOfIdleTableArrivesWithoutPause changes a row of a table that has been idle: the change
// must arrive without a pause.
func TestChangeOfIdleTableArrivesWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := rowstore.New(), &recorder{}
		go store.Follow(t.Context(), s, store.Source{Table: "t", Pace: store.Pace{BytesPerSecond: 2500, MaxPause: time.Second}}, w)
		time.Sleep(5500 * time.Millisecond)
		writtenAt := time.Now()
		s.Put(store.Row{Key: store.Key{Table: "t", Name: "a"}, Value: []byte("v")})
		time.Sleep(500 * time.Millisecond)
		if appliedAt := time.Unix(0, w.last.Load()); appliedAt.Sub(writtenAt) > 150*time.Millisecond {
			t.Errorf("change received after %s", appliedAt.Sub(writtenAt))
		}
	})
}

// TestOutageIsReportedBeforeLaterRows interrupts the connection to the store: a
// watcher must be told of the outage before it receives the first rows after it.
func TestOutageIsReportedBeforeLaterRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		client, w := s.Client(), &callRecorder{}
		go store.Follow(t.Context(), client, store.Source{Table: "t"}, w)
		time.Sleep(2 * time.Second)
		client.SetError(store.ErrRefused)
		s.Put(store.Row{Key: store.Key{Table: "t", Name: "a"}, Value: []byte("v")})
		time.Sleep(4 * time.Second)
		client.SetError(nil)
		time.Sleep(2 * time.Second)
		if got := fmt.Sprint(w.calls.Load()); got != "[lost regained rows]" {
			t.Errorf("calls of the watcher: %s", got)
		}
	})
}

// callRecorder records the order of its calls, without those that pass no rows.
type callRecorder struct{ calls atomic.Value }

func (o *callRecorder) note(call string) {
	calls, _ := o.calls.Load().([]string)
	o.calls.Store(append(calls, call))
}

func (o *callRecorder) Replace(store.Snapshot) {}
func (o *callRecorder) Lost(error)             { o.note("lost") }
func (o *callRecorder) Regained(time.Duration) { o.note("regained") }
func (o *callRecorder) Apply(s store.Snapshot) {
	if len(s.Rows) > 0 {
		o.note("rows")
	}
}

// TestBurstOfJobsArrivesWithoutDelay has the load of three trainers: each 4 s, three
// rows of 2 kB are written within 60 ms, and three small ones some seconds later. With
// a Burst each row arrives as it is written, and as many bytes are read.
func TestBurstOfJobsArrivesWithoutDelay(t *testing.T) {
	delays := func(burst time.Duration) (longest time.Duration, feeds int64) {
		synctest.Test(t, func(t *testing.T) {
			s := rowstore.New()
			rows, w := &countingRows{Rows: s}, &recorder{}
			pace := store.Pace{BytesPerSecond: 2500, MaxPause: 300 * time.Millisecond, Burst: burst}
			go store.Follow(t.Context(), rows, store.Source{Table: "jobs", Pace: pace}, w)
			time.Sleep(time.Second)
			write := func(name string, bytes int) {
				writtenAt, before := time.Now(), w.rows.Load()
				s.Put(store.Row{Key: store.Key{Table: "jobs", Name: name}, Value: make([]byte, bytes)})
				time.Sleep(30 * time.Millisecond)
				for w.rows.Load() == before {
					time.Sleep(time.Millisecond)
				}
				if bytes > 100 {
					longest = max(longest, time.Since(writtenAt))
				}
			}
			for step := range 8 {
				for trainer := range 3 {
					write(fmt.Sprint(step, "/", trainer), 1500)
				}
				time.Sleep(2 * time.Second)
				for trainer := range 3 {
					write(fmt.Sprint(step, "/", trainer, "/end"), 0)
				}
				time.Sleep(1500 * time.Millisecond)
			}
			feeds = rows.feeds.Load()
		})
		return longest, feeds
	}
	without, feedsWithout := delays(0)
	with, feedsWith := delays(3 * time.Second)
	if without < 200*time.Millisecond || with > 40*time.Millisecond {
		t.Errorf("longest delay %s without Burst, %s with it", without, with)
	}
	if feedsWith > 2*feedsWithout {
		t.Errorf("%d calls with Burst, %d without", feedsWith, feedsWithout)
	}
}
