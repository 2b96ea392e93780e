package background

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/fleet"
	_ "mulberryscale.example/internal/rapidseed" // the same draws in each run
)

var (
	start    = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)
	capacity = ServiceCapacity{Slots: 24, Senders: 9}
)

func TestWindowStartsAtFairShare(t *testing.T) {
	for name, c := range map[string]struct {
		capacity ServiceCapacity
		want     int
	}{
		"nine senders":            {ServiceCapacity{Slots: 24, Senders: 9}, 2}, // 0.7 x 24 / 9
		"alone":                   {ServiceCapacity{Slots: 24, Senders: 1}, 17},
		"more senders than slots": {ServiceCapacity{Slots: 24, Senders: 100}, 1},
		"nothing known":           {ServiceCapacity{}, 1},
	} {
		var w Window
		if got := w.Size(c.capacity, 0, start); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

func TestWindowFollowsReportedLoad(t *testing.T) {
	observe := func(w *Window, n int, l fleet.Load) int {
		now := start
		for range n {
			now = now.Add(minShrinkInterval)
			w.ObserveLoad(l, now)
		}
		return w.Size(capacity, 1, now)
	}
	var w Window
	w.Size(capacity, 0, start)
	if got := observe(&w, 10, fleet.Load{Running: 1, Slots: 6}); got != 12 {
		t.Errorf("after ten answers of idle endpoints: window %d, want 12", got)
	}
	if got := observe(&w, 100, fleet.Load{Running: 1, Slots: 6}); got != 17 {
		t.Errorf("without other load, up to its share of all slots: window %d, want 17", got)
	}
	if got := observe(&w, 1, fleet.Load{Running: 6, Waiting: 2, Slots: 6}); got != 10 {
		t.Errorf("after an answer that reports a queue: window %d, want 10", got)
	}
	if got := observe(&w, 20, fleet.Load{Running: 5, Slots: 6}); got != 1 {
		t.Errorf("endpoints without a spare slot: window %d, want 1", got)
	}
}

// TestOneQueueShrinksTheWindowOnce: answers that were in flight at the same time report the same
// queue, so the window shrinks once for all of them.
func TestOneQueueShrinksTheWindowOnce(t *testing.T) {
	var w Window
	w.Size(ServiceCapacity{Slots: 100, Senders: 7}, 0, start)
	for range 10 {
		w.ObserveLoad(fleet.Load{Running: 6, Waiting: 9, Slots: 6}, start)
	}
	if got := w.Size(ServiceCapacity{Slots: 100, Senders: 7}, 1, start); got != 6 {
		t.Fatalf("window %d, want 0.6 of 10", got)
	}
}

func TestIdleWindowIsReset(t *testing.T) {
	var w Window
	w.Size(capacity, 0, start)
	for range 50 {
		w.ObserveLoad(fleet.Load{Slots: 6}, start)
	}
	w.CallDone(0, start)
	if got := w.Size(capacity, 0, start.Add(idleTime/2)); got != 17 {
		t.Errorf("after a short pause: window %d, want 17", got)
	}
	if got := w.Size(capacity, 0, start.Add(2*idleTime)); got != 2 {
		t.Errorf("after a long pause: window %d, want 2", got)
	}
}

func TestWindowStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := ServiceCapacity{Slots: rapid.IntRange(0, 200).Draw(t, "slots"), Senders: rapid.IntRange(0, 50).Draw(t, "senders")}
		var w Window
		now, open := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			w.ObserveLoad(fleet.Load{
				Running: rapid.IntRange(0, 8).Draw(t, "running"), Waiting: rapid.IntRange(0, 3).Draw(t, "waiting"),
				Slots: rapid.IntRange(1, 8).Draw(t, "slots of one endpoint"),
			}, now)
			open = rapid.IntRange(0, 3).Draw(t, "open")
			w.CallDone(open, now)
			if n := w.Size(s, open, now); n < 1 || n > max(1, s.Slots) {
				t.Fatalf("window %d for %d slots", n, s.Slots)
			}
		}
	})
}

// noUpdate is a Gate.Leave argument that leaves the window as it is.
func noUpdate(*Window, time.Time) {}

func TestGateAdmitsMostUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{}
		one := ServiceCapacity{Slots: 1, Senders: 1}
		enter := func(rank time.Duration) error { return g.Enter(t.Context(), rank, one) }
		if err := enter(0); err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var order []int
		for i, rank := range []time.Duration{5, 3, 5, 1} {
			go func() {
				if enter(rank) != nil {
					return
				}
				mu.Lock()
				order = append(order, i)
				mu.Unlock()
				time.Sleep(time.Second)
				g.Leave(one, noUpdate)
			}()
			synctest.Wait()
		}
		g.Leave(one, noUpdate)
		time.Sleep(10 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if want := [4]int{3, 1, 0, 2}; len(order) != 4 || [4]int(order) != want {
			t.Fatalf("admitted in the order %v, want %v", order, want)
		}
	})
}

// TestCancelledCallLeavesQueue: a call that is cancelled while it waits does not keep a slot.
func TestCancelledCallLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{}
		one := ServiceCapacity{Slots: 1, Senders: 1}
		if err := g.Enter(t.Context(), 0, one); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := g.Enter(ctx, 0, one); err == nil {
			t.Fatal("two calls were admitted with one slot")
		}
		g.Leave(one, noUpdate)
		if err := g.Enter(t.Context(), 0, one); err != nil || g.open != 1 {
			t.Fatalf("%d open, %v", g.open, err)
		}
	})
}
