package store_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/store"
)

// refreshedFollower follows a table in which writers change their rows every two seconds, at the pace
// of an instance list. It returns the number of calls in length, of a process for which stale
// receives a value each 20 ms if it is refreshed.
func refreshedFollower(t *testing.T, writers int, length time.Duration, refreshed bool) (calls int64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := rowstore.New()
		rows, w := &countingRows{Rows: s}, &recorder{}
		stale := make(chan struct{}, 1)
		source := store.Source{Table: "list", Pace: store.Pace{BytesPerSecond: 6000, MaxPause: 1667 * time.Millisecond}, Refresh: stale}
		go store.Follow(ctx, rows, source, w)
		for i := range writers {
			go func() {
				time.Sleep(2 * time.Second * time.Duration(i) / time.Duration(writers))
				for ctx.Err() == nil {
					s.Put(store.Row{Key: store.Key{Table: "list", Name: fmt.Sprint(i)}, Value: make([]byte, 230)})
					time.Sleep(2 * time.Second)
				}
			}()
		}
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if refreshed {
				select {
				case stale <- struct{}{}:
				default:
				}
			}
		}
		calls = rows.feeds.Load()
		cancel()
		time.Sleep(3 * time.Second)
	})
	return calls
}

// TestCallsOfARefreshedFollowerStayFew compares the calls of a process whose evidence of an outdated
// list stays for 20 s with those of one without, before 100, 300 and 1,000 writers: three or four
// more, whatever the number of writers.
func TestCallsOfARefreshedFollowerStayFew(t *testing.T) {
	for _, writers := range []int{100, 300, 1000} {
		without := refreshedFollower(t, writers, 20*time.Second, false)
		with := refreshedFollower(t, writers, 20*time.Second, true)
		if with > without+5 {
			t.Errorf("%d writers: %d calls with evidence, %d without", writers, with, without)
		}
	}
}

// TestRefreshEndsAPause writes a row that a process waits for while it pauses after a large answer.
func TestRefreshEndsAPause(t *testing.T) {
	for _, writers := range []int{100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			s, w := rowstore.New(), &recorder{}
			for i := range writers {
				s.Put(store.Row{Key: store.Key{Table: "list", Name: fmt.Sprint(i)}, Value: make([]byte, 230)})
			}
			stale := make(chan struct{}, 1)
			source := store.Source{Table: "list", Pace: store.Pace{BytesPerSecond: 6000, MaxPause: 1667 * time.Millisecond}, Refresh: stale}
			go store.Follow(t.Context(), s, source, w)
			time.Sleep(50 * time.Millisecond)
			writtenAt := time.Now()
			s.Put(store.Row{Key: store.Key{Table: "list", Name: "mine"}, Value: []byte("v")})
			stale <- struct{}{}
			time.Sleep(1600 * time.Millisecond)
			last := w.last.Load()
			if last == 0 {
				t.Fatalf("%d writers: not received before the pause was over", writers)
			}
			if took := time.Unix(0, last).Sub(writtenAt); took > 300*time.Millisecond {
				t.Errorf("%d writers: received after %s", writers, took)
			}
		})
	}
}
