package flowcontrol

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "mulberryscale.example/internal/rapidseed" // the same draws in each run
)

var epoch = time.Unix(1e9, 0)

func any1(*Item) bool { return false }

// TestQueueOrder guards against an order that lets late requests or newcomers go before those that
// can be in time or have less time left.
func TestQueueOrder(t *testing.T) {
	q := NewQueue()
	push := func(organisation string, rank int, left time.Duration, late bool) *Item {
		it := &Item{Ticket: Ticket{Organisation: organisation, Rank: rank, Arrived: epoch, Deadline: epoch.Add(left)}}
		q.Push(it, late)
		return it
	}
	q.Charge(&Item{Ticket: Ticket{Organisation: "served"}}, 10*time.Second, epoch)
	q.Charge(&Item{Ticket: Ticket{Organisation: "equal"}}, 9*time.Second, epoch)
	q.Charge(&Item{Ticket: Ticket{Organisation: "lower", Rank: 1}}, 5*time.Second, epoch)
	late := push("equal", 0, time.Second, true)
	lower := push("lower", 1, time.Second, false)
	served := push("served", 0, time.Second, false)
	newcomer := push("equal", 0, 1500*time.Millisecond, false)
	returned := push("equal", 0, 900*time.Millisecond, false)
	starved := push("starved", 2, time.Second, false)
	for i, want := range []*Item{starved, returned, newcomer, served, lower, late} {
		got := q.Next(any1)
		if got != want {
			t.Fatalf("%d: %+v", i, got)
		}
		q.Remove(got)
	}
	if q.Next(any1) != nil || q.Len() != 0 {
		t.Error("the queue is not empty")
	}
}

// TestQueueAccounting compares the queue's counts with a list of what is in it.
func TestQueueAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := NewQueue(), epoch
		var waiting []*Item
		remove := func(it *Item) {
			q.Remove(it)
			for i, other := range waiting {
				if other == it {
					waiting = append(waiting[:i], waiting[i+1:]...)
					return
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := &Item{Ticket: Ticket{
					Organisation: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "organisation")), Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "left"))), Bytes: rapid.IntRange(0, 9).Draw(t, "bytes"),
				}}
				q.Push(it, rapid.Bool().Draw(t, "late"))
				waiting = append(waiting, it)
			},
			"next": func(*rapid.T) {
				if it := q.Next(any1); it != nil {
					q.Charge(it, time.Second, now)
					remove(it)
				}
			},
			"last": func(t *rapid.T) {
				if it := q.Last(rapid.Bool().Draw(t, "late"), time.Second); it != nil {
					remove(it)
				}
			},
			"late": func(*rapid.T) {
				if it := q.Next(any1); it != nil {
					q.MarkLate(it)
				}
			},
			"pass": func(*rapid.T) { now = now.Add(time.Minute) },
			"": func(t *rapid.T) {
				late, bytes := 0, 0
				for _, it := range waiting {
					bytes += it.Bytes
					if it.late {
						late++
					}
				}
				if q.Len() != len(waiting) || q.Late() != late || q.Bytes() != bytes {
					t.Fatalf("%d waiting, %d late, %d bytes; want %d, %d, %d", q.Len(), q.Late(), q.Bytes(), len(waiting), late, bytes)
				}
				if next := q.Next(any1); (next == nil) != (len(waiting) == 0) || next != nil && next.late && q.Timely() > 0 {
					t.Fatalf("next %+v of %d", next, len(waiting))
				}
			},
		})
	})
}

// TestReturnsAreSpread guards against clients that return all at once, or after a time that they do
// not honour.
func TestReturnsAreSpread(t *testing.T) {
	const left, clients = 1500 * time.Millisecond, 200
	for _, rate := range []float64{0, 10, 100, 1e6} {
		var r Returns
		var quarters [4]int
		for range clients {
			after := r.After(epoch, left, rate)
			if after < minRetryAfter || after > left/3 {
				t.Fatalf("rate %v: %v", rate, after)
			}
			quarters[min(3, 4*(after-minRetryAfter)/(left/3-minRetryAfter))]++
		}
		for _, n := range quarters {
			if rate <= 100 && n < clients/8 {
				t.Errorf("rate %v: returns by quarter of the range %v", rate, quarters)
			}
		}
		if after := r.After(epoch, 0, rate); after != minRetryAfter {
			t.Errorf("without time left: %v", after)
		}
	}
}
