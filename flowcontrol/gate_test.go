package flowcontrol

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
)

// endpoints returns instances with 6 slots.
func endpoints(n int) (all []fleet.Instance) {
	for i := range n {
		all = append(all, fleet.Instance{ID: fmt.Sprint("e", i), Slots: rigSlots, StartedAt: 1})
	}
	return all
}

func first(room []fleet.Instance) (fleet.Instance, bool) { return room[0], true }

// lookup returns the ticket of a request that arrives now.
func lookup() Ticket {
	now := time.Now()
	return Ticket{Organisation: "o", Arrived: now, Objective: now.Add(rigObjective), Deadline: now.Add(rigDeadline), Bytes: 1000}
}

// fill takes all the capacity of a gate's endpoints.
func fill(t *testing.T, g *Gate, list []fleet.Instance) (leases []*Lease) {
	t.Helper()
	for {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		lease, err := g.Enter(ctx, lookup(), func() []fleet.Instance { return list }, first)
		cancel()
		if err != nil {
			return leases
		}
		leases = append(leases, lease)
	}
}

// enter starts a request and returns the channel of its outcome.
func enter(ctx context.Context, g *Gate, ticket Ticket, list func() []fleet.Instance) chan error {
	done := make(chan error, 1)
	go func() {
		lease, err := g.Enter(ctx, ticket, list, first)
		if err == nil {
			lease.Done(&fleet.Load{Slots: rigSlots}, false, rigWork)
		}
		done <- err
	}()
	synctest.Wait()
	return done
}

// A client that disconnects must not keep its place, nor its bytes.
func TestLeavingClientFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, list := New(Config{MaxBytes: 1500}), endpoints(1)
		leases := fill(t, g, list)
		ctx, cancel := context.WithCancel(t.Context())
		leaver := enter(ctx, g, lookup(), func() []fleet.Instance { return list })
		var refused *Refused
		if err := <-enter(t.Context(), g, lookup(), func() []fleet.Instance { return list }); !errors.As(err, &refused) || refused.Reason != ReasonQueueFull {
			t.Errorf("with the queue full of bytes: %v", err)
		}
		cancel()
		if err := <-leaver; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		next := enter(t.Context(), g, lookup(), func() []fleet.Instance { return list })
		if s := g.Status(); s.Waiting != 1 || s.Bytes != 1000 {
			t.Errorf("%+v", s)
		}
		leases[0].Done(&fleet.Load{Slots: rigSlots}, false, rigWork)
		if err := <-next; err != nil {
			t.Error(err)
		}
	})
}

// A request must not wait beyond its deadline, or beyond the longest wait.
func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, maxWait := range []time.Duration{0, 300 * time.Millisecond} {
			g, list := New(Config{MaxWait: maxWait}), endpoints(1)
			began, limit := time.Now(), rigDeadline
			if maxWait > 0 {
				limit = maxWait
			}
			var refused *Refused
			none := func([]fleet.Instance) (fleet.Instance, bool) { return fleet.Instance{}, false }
			_, err := g.Enter(t.Context(), lookup(), func() []fleet.Instance { return list }, none)
			if !errors.As(err, &refused) || refused.Reason != ReasonExpired || refused.RetryAfter < minRetryAfter {
				t.Errorf("%#v", err)
			}
			if waited := time.Since(began); waited > limit+checkInterval {
				t.Errorf("waited %v, at most %v are allowed", waited, limit)
			}
		}
	})
}

// Requests that wait for an endpoint that is replaced must go to its successor, whose window is new.
func TestReplacedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{})
		var mu sync.Mutex
		list := endpoints(1)
		current := func() []fleet.Instance {
			mu.Lock()
			defer mu.Unlock()
			return list
		}
		fill(t, g, list)
		done := enter(t.Context(), g, lookup(), current)
		mu.Lock()
		list = []fleet.Instance{{ID: "e0", Slots: rigSlots, StartedAt: 2}}
		mu.Unlock()
		if err := <-enter(t.Context(), g, lookup(), current); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		mu.Lock()
		list = nil
		mu.Unlock()
		if err := <-enter(t.Context(), g, lookup(), current); !errors.Is(err, ErrNoEndpoint) {
			t.Error(err)
		}
	})
}

// An endpoint that answers nothing must not take all requests of a process, and leases that are
// never returned must not stop the requests to other endpoints.
func TestFrozenEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, list := New(Config{}), endpoints(2)
		frozen := 0
		for range 500 {
			lease, err := g.Enter(t.Context(), lookup(), func() []fleet.Instance { return list }, first)
			if err != nil {
				t.Fatal(err)
			}
			if lease.To.ID == "e0" {
				frozen++
				continue
			}
			time.Sleep(rigWork)
			lease.Done(&fleet.Load{Slots: rigSlots}, false, rigWork)
		}
		if frozen > 50 {
			t.Errorf("%d of 500 requests went to the frozen endpoint", frozen)
		}
	})
}

// An endpoint that reports that it is full for ever must still get a request every probeInterval.
func TestEndpointThatIsAlwaysFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, list := New(Config{}), endpoints(1)
		began, sent := time.Now(), 0
		for time.Since(began) < time.Minute {
			lease, err := g.Enter(t.Context(), lookup(), func() []fleet.Instance { return list }, first)
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			sent++
			time.Sleep(rigWork)
			lease.Done(&fleet.Load{Running: rigSlots, Waiting: rigRoom, Slots: rigSlots}, false, rigWork)
		}
		if sent < 110 || sent > 400 {
			t.Errorf("%d sends in a minute", sent)
		}
	})
}

// One odd report, or one rejected send, must not make a process with ordinary load queue.
func TestOddReports(t *testing.T) {
	odd := map[string]func(*Lease){
		"full":     func(l *Lease) { l.Done(&fleet.Load{Running: 1 << 30, Waiting: 1 << 30, Slots: 6}, false, rigWork) },
		"slow":     func(l *Lease) { l.Done(&fleet.Load{Slots: 6, Pace: 100_000}, false, rigWork) },
		"fast":     func(l *Lease) { l.Done(&fleet.Load{Slots: 6, Pace: 1}, false, rigWork) },
		"negative": func(l *Lease) { l.Done(&fleet.Load{Running: -5, Waiting: -5, Slots: -1}, false, rigWork) },
		"declined": func(l *Lease) { l.Done(nil, true, time.Millisecond) },
		"broken":   func(l *Lease) { l.Done(nil, false, 0) },
	}
	for name, done := range odd {
		synctest.Test(t, func(t *testing.T) {
			g, list := New(Config{}), endpoints(2)
			for i := range 400 {
				lease, err := g.Enter(t.Context(), lookup(), func() []fleet.Instance { return list }, first)
				if err != nil {
					t.Fatal(name, i, err)
				}
				if i == 200 {
					done(lease)
					continue
				}
				time.Sleep(rigWork / 2)
				lease.Done(&fleet.Load{Running: 1, Slots: rigSlots, Pace: 100}, false, rigWork/2)
			}
			if s := g.Status(); s.Queued > 0 {
				t.Errorf("after a report %q: %+v", name, s)
			}
		})
	}
}

// After a restart of all processes under load the windows must adapt within a second.
func TestRestartUnderLoad(t *testing.T) {
	t.Parallel()
	p := constant(3)
	p.phases = []phase{{3, time.Second}, {3, time.Second}}
	r := simulate(t, p)
	if goodput := float64(r.inTime[1]) / (3 * rigSlots / rigWork.Seconds()); goodput < 0.9 {
		t.Errorf("%.3f of what the slots carry in the second second", goodput)
	}
}

// BenchmarkEnter measures a request that is admitted at once, with many endpoints.
func BenchmarkEnter(b *testing.B) {
	for _, n := range []int{3, 60} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, list := New(Config{}), endpoints(n)
			for b.Loop() {
				lease, err := g.Enter(b.Context(), lookup(), func() []fleet.Instance { return list }, first)
				if err != nil {
					b.Fatal(err)
				}
				lease.Done(&fleet.Load{Running: 1, Slots: rigSlots, Pace: 100}, false, rigWork)
			}
		})
	}
}
