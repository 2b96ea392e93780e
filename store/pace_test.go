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

// The load answered: a table in which many writers change their rows all the
// time, such as the heartbeats of 120 instances each 1.2 s, followed by every
// process; and one in which a row changes now and then.

// countingRows counts feed calls.
type countingRows struct {
	store.Rows
	feeds atomic.Int64
}

func (c *countingRows) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (store.Snapshot, error) {
	c.feeds.Add(1)
	return c.Rows.Feed(ctx, table, after, wait)
}

// applied notes when rows were heard of.
type applied struct {
	watcher
	rows atomic.Int64
	last atomic.Int64 // Unix nanoseconds
}

func (a *applied) Apply(s store.Snapshot) {
	if len(s.Rows) > 0 {
		a.rows.Add(int64(len(s.Rows)))
		a.last.Store(time.Now().UnixNano())
	}
}

// TestCallsOfAFeedDoNotGrowWithItsWriters lets 30, 100 and 300 writers beat.
func TestCallsOfAFeedDoNotGrowWithItsWriters(t *testing.T) {
	calls := func(writers int) (perSecond float64, heard int64) {
		synctest.Test(t, func(t *testing.T) {
			const seconds = 20
			s := rowstore.New()
			rows, w := &countingRows{Rows: s}, &applied{}
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
			perSecond, heard = float64(rows.feeds.Load())/seconds, w.rows.Load()
			cancel()
			time.Sleep(2 * time.Second)
		})
		return perSecond, heard
	}
	few, _ := calls(30)
	for _, n := range []int{100, 300} {
		many, heard := calls(n)
		if many > 1.3*few {
			t.Errorf("%d writers: %.1f calls a second, 30 writers: %.1f", n, many, few)
		}
		if want := int64(n * 14); heard < want {
			t.Errorf("%d writers: heard %d changes, want %d at least", n, heard, want)
		}
	}
}

// TestQuietTableIsHeardAtOnce changes a row after some silence.
func TestQuietTableIsHeardAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := rowstore.New(), &applied{}
		go store.Follow(t.Context(), s, store.Source{Table: "t", Pace: store.Pace{BytesPerSecond: 2500, MaxPause: time.Second}}, w)
		time.Sleep(5500 * time.Millisecond)
		wrote := time.Now()
		s.Put(store.Row{Key: store.Key{Table: "t", Name: "a"}, Value: []byte("v")})
		time.Sleep(500 * time.Millisecond)
		if heard := time.Unix(0, w.last.Load()); heard.Sub(wrote) > 150*time.Millisecond {
			t.Errorf("heard after %s", heard.Sub(wrote))
		}
	})
}

// TestLossIsToldBeforeTheRowsThatFollowIt cuts the path: a watcher must know of
// the loss when it gets what the first answer after it says.
func TestLossIsToldBeforeTheRowsThatFollowIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		way, w := s.Client(), &ordered{}
		go store.Follow(t.Context(), way, store.Source{Table: "t"}, w)
		time.Sleep(2 * time.Second)
		way.Cut(store.ErrRefused)
		s.Put(store.Row{Key: store.Key{Table: "t", Name: "a"}, Value: []byte("v")})
		time.Sleep(4 * time.Second)
		way.Cut(nil)
		time.Sleep(2 * time.Second)
		if got := fmt.Sprint(w.calls.Load()); got != "[lost regained rows]" {
			t.Errorf("told %s", got)
		}
	})
}

// ordered notes the order of what it is told, but for empty answers.
type ordered struct{ calls atomic.Value }

func (o *ordered) note(call string) {
	calls, _ := o.calls.Load().([]string)
	o.calls.Store(append(calls, call))
}

func (o *ordered) Replace(store.Snapshot) {}
func (o *ordered) Lost(error)             { o.note("lost") }
func (o *ordered) Regained(time.Duration) { o.note("regained") }
func (o *ordered) Apply(s store.Snapshot) {
	if len(s.Rows) > 0 {
		o.note("rows")
	}
}

// TestJobsThatComeTogetherAreHeardTogether has the load of three trainers: each 4 s
// three rows of 2 kB come within 60 ms, and three small ones some seconds later.
// With savings each is heard of as it comes, and as many bytes are spent.
func TestJobsThatComeTogetherAreHeardTogether(t *testing.T) {
	delays := func(savings time.Duration) (longest time.Duration, feeds int64) {
		synctest.Test(t, func(t *testing.T) {
			s := rowstore.New()
			rows, w := &countingRows{Rows: s}, &applied{}
			pace := store.Pace{BytesPerSecond: 2500, MaxPause: 300 * time.Millisecond, Burst: savings}
			go store.Follow(t.Context(), rows, store.Source{Table: "jobs", Pace: pace}, w)
			time.Sleep(time.Second)
			write := func(name string, bytes int) {
				wrote, heard := time.Now(), w.rows.Load()
				s.Put(store.Row{Key: store.Key{Table: "jobs", Name: name}, Value: make([]byte, bytes)})
				time.Sleep(30 * time.Millisecond)
				for w.rows.Load() == heard {
					time.Sleep(time.Millisecond)
				}
				if bytes > 100 {
					longest = max(longest, time.Since(wrote))
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
		t.Errorf("heard after %s at most without savings, %s with", without, with)
	}
	if feedsWith > 2*feedsWithout {
		t.Errorf("%d calls with savings, %d without", feedsWith, feedsWithout)
	}
}
