package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/quarantine"
)

func TestRequestIsQuarantinedAfterSecondCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCrashRig(t, 3, 3, true)
		var refusal *Refusal
		if err := r.ask(0, "r0", crashTarget); !errors.As(err, &refusal) || refusal.NotRun || refusal.Reason != ReasonBroken {
			t.Fatalf("first attempt: %v", err)
		}
		time.Sleep(200 * time.Millisecond) // until the caller retries
		for i := range 6 {
			err := r.ask(i%3, fmt.Sprint("r", i+1), crashTarget)
			if !errors.As(err, &refusal) || !refusal.NotRun || refusal.Reason != ReasonQuarantined || refusal.RetryAfter <= 0 {
				t.Fatalf("attempt %d: %#v", i+2, err)
			}
		}
		if r.crashCount() != 2 {
			t.Fatalf("%d of 3 endpoints crashed", r.crashCount())
		}
		if err := r.ask(1, "other", "/p/other"); err != nil {
			t.Fatalf("a request of another content: %v", err)
		}
	})
}

// A request that ran beside the content when an endpoint crashed is served by another endpoint,
// and does not run beside the content there again.
func TestRequestsBesideACrashAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range uint64(40) {
			r := newCrashRig(t, 1, 3, true)
			if seed%2 == 1 {
				r.withGates()
				for range 60 { // an entry with six requests a second may repeat as many
					r.entries[0].Gates.of(crashService).budget.RecordFirst(time.Now())
				}
			}
			var all sync.WaitGroup
			all.Go(func() { _ = r.ask(0, "c", crashTarget) }) // fails
			time.Sleep(crashAfter / 2)
			for i := range 6 {
				all.Go(func() {
					if err := r.ask(0, fmt.Sprint(seed, "-", i), fmt.Sprint(longTarget, i)); err != nil {
						t.Errorf("seed %d, request %d: %v", seed, i, err)
					}
				})
			}
			all.Wait()
			time.Sleep(time.Minute) // the rig's timers
		}
	})
}

// A slow request is hedged with a second endpoint, but not one under which an endpoint has
// crashed.
func TestSuspectGoesToOneEndpointAtATime(t *testing.T) {
	for _, gated := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { testSuspectGoesToOneEndpointAtATime(t, gated) })
	}
}

func testSuspectGoesToOneEndpointAtATime(t *testing.T, gated bool) {
	r := newCrashRig(t, 1, 3, true)
	if gated {
		r.withGates()
	}
	r.after = 2 * minHedge
	q := request(fleet.KindSafe)
	q.Target = crashTarget
	r.entries[0].Quarantine.ReportCrash(quarantine.BrokenRun{Fingerprint: q.fingerprint(), Endpoint: fleet.Incarnation{ID: "former"}})
	q.Route.Objective = 50 * time.Millisecond // hedging is due before the endpoint crashes
	if _, err := r.entries[0].Do(t.Context(), q); err == nil {
		t.Fatal("request was answered")
	}
	if len(r.reached) != 1 {
		t.Fatalf("sent to %v", r.reached)
	}
}

// A content that many clients ask for is running at endpoints that lose power together; it did
// not cause their crashes.
func TestSimultaneousCrashesQuarantineNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCrashRig(t, 6, 3, true)
		var all sync.WaitGroup
		for i := range 60 {
			all.Go(func() { _ = r.ask(i%6, fmt.Sprint("r", i), "/p/popular") }) // may fail
		}
		time.Sleep(crashWork / 2)
		r.mu.Lock()
		for _, addr := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
			r.crash(addr, r.alive[addr])
		}
		r.mu.Unlock()
		all.Wait()
		for i := range 6 {
			if err := r.ask(i, fmt.Sprint("after", i), "/p/popular"); err != nil {
				t.Errorf("entry %d: %v", i, err)
			}
		}
	})
}

// A caller that leaves before its answer does not see the crash; the list of instances shows
// seconds later that the endpoint crashed under its request.
func TestDisconnectedCallersCauseNoFurtherCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCrashRig(t, 3, 3, true)
		for i := range 12 {
			ctx, cancel := context.WithTimeout(t.Context(), crashAfter-5*time.Millisecond)
			q := request(fleet.KindSafe)
			q.ID, q.Target = fmt.Sprint("r", i), crashTarget
			_, _ = r.entries[i%3].Do(ctx, q) // the caller leaves
			cancel()
			time.Sleep(2 * crashDown)
		}
		if n := r.crashCount(); n > quarantine.CrashLimit+2 { // two trials are due in that time
			t.Errorf("%d endpoints crashed", n)
		}
	})
}

// A planned shutdown of an endpoint does not count as a crash.
func TestPlannedShutdownsDoNotCountAsCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCrashRig(t, 1, 3, true)
		ctx, cancel := context.WithTimeout(t.Context(), crashWork/2)
		defer cancel()
		q := request(fleet.KindSafe)
		_, _ = r.entries[0].Do(ctx, q) // the caller leaves
		for _, i := range r.view.Snapshot().Instances {
			i.Draining = true
			r.view.UpdateInstances([]fleet.Instance{i}, nil)
		}
		time.Sleep(time.Second)
		for id := range r.view.Snapshot().Instances {
			r.view.UpdateInstances(nil, []string{id})
		}
		time.Sleep(10 * time.Second)
		if state, _ := r.entries[0].Quarantine.State(q.fingerprint()); state != quarantine.Clear {
			t.Errorf("state %v", state)
		}
	})
}

// An answer shows that the request did not cause the endpoint's earlier crash.
func TestAnswerClearsASuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCrashRig(t, 2, 3, true)
		q := request(fleet.KindSafe)
		r.entries[0].Quarantine.ReportCrash(quarantine.BrokenRun{Fingerprint: q.fingerprint(), Endpoint: fleet.Incarnation{ID: "former"}})
		if _, err := r.entries[1].Do(t.Context(), q); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for i, f := range r.entries {
			if state, _ := f.Quarantine.State(q.fingerprint()); state != quarantine.Clear {
				t.Errorf("entry %d: state %v", i, state)
			}
		}
	})
}

// Streams crash their endpoints midway; sends that resume a stream count as well.
func TestStreamThatCrashesEndpointsIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCrashRig(t, 1, 4, true)
		r.streamAfter = 2
		f := r.entries[0]
		q := request(fleet.KindStream)
		q.Target, q.Route.MaxAttempts, q.Route.Resumable = crashTarget, 4, true
		for range 4 {
			answer, err := f.Do(t.Context(), q)
			if err != nil {
				break
			}
			events := answer.Stream
			for {
				_, _, err := events.Next()
				if err == nil {
					continue
				}
				if errors.Is(err, io.EOF) {
					t.Fatal("the stream was complete")
				}
				events.Close()
				if events, err = f.Resume(t.Context(), q, "1"); err != nil {
					break
				}
			}
		}
		if n := r.crashCount(); n != quarantine.CrashLimit {
			t.Fatalf("%d endpoints crashed", n)
		}
	})
}

// breakingStream returns one event and breaks off; its endpoint stays alive.
type breakingStream struct{ sentEvent bool }

func (s *breakingStream) Next() (raw []byte, id string, err error) {
	if s.sentEvent {
		return nil, "", fmt.Errorf("%w: reset", ErrBroken)
	}
	s.sentEvent = true
	return []byte("event"), "1", nil
}

func (s *breakingStream) Close() {}

// A stream that breaks off several times while its endpoints stay alive reaches no more of them
// than its route allows: the request keeps the count.
func TestResumedStreamKeepsItsEndpointCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		breaks := func(context.Context) (*Answer, error) {
			return &Answer{Status: 200, Stream: &breakingStream{}}, nil
		}
		f, sender := rig(breaks, breaks)
		q := request(fleet.KindStream)
		q.Route.MaxAttempts, q.Route.Resumable = 3, true
		answer, err := f.Do(t.Context(), q)
		for err == nil && len(sender.sent) < 10 {
			events := answer.Stream
			for range 2 {
				_, _, _ = events.Next() // the second breaks off
			}
			events.Close()
			answer.Stream, err = f.Resume(t.Context(), q, "1")
		}
		if len(sender.sent) != q.Route.MaxAttempts {
			t.Fatalf("sent %d times, its route allows %d", len(sender.sent), q.Route.MaxAttempts)
		}
	})
}
