package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/quarantine"
)

// The load: a service of a few endpoints, some requests a second through several
// entries, and one content that ends each endpoint which begins to run it. The
// caller of that content asks again after a failure, and comes back every few
// seconds. An endpoint is back after some seconds under a new id; the list of
// instances hears late of its end.
const (
	crashWork    = 25 * time.Millisecond
	longWork     = 80 * time.Millisecond // longer than an endpoint lives under the content
	crashAfter   = 45 * time.Millisecond // from the begin of a run that ends its endpoint
	crashDown    = 2500 * time.Millisecond
	crashLapse   = 1500 * time.Millisecond // until the list hears of an end
	crashTarget  = "/p/crash"
	longTarget   = "/p/long"
	crashService = "s"
)

// crashRig is such a service and the entries before it.
type crashRig struct {
	t       *testing.T
	view    *fleet.View
	entries []*Forwarder

	mu      sync.Mutex
	alive   map[string]*crashEndpoint // by address
	started int
	ends    int
	// after is from the begin of a run to the end of its endpoint.
	after time.Duration
	// streamAfter makes the content's answer a stream that ends its endpoint after
	// so many events; -1 makes it a whole answer.
	streamAfter int
	// reached are the ids of endpoints that the content reached, in order.
	reached []string
}

// crashEndpoint is one incarnation.
type crashEndpoint struct {
	id    string
	ended context.Context
	end   context.CancelFunc
}

// newCrashRig starts entries before endpoints. Entries that share tell each other
// what they see; those that see nothing have no way to tell that an endpoint ended.
func newCrashRig(t *testing.T, entries, endpoints int, sees bool) *crashRig {
	r := &crashRig{t: t, view: fleet.NewView(), alive: map[string]*crashEndpoint{}, after: crashAfter, streamAfter: -1}
	r.view.SetConfig(&fleet.Config{Version: 1, Services: []fleet.Service{{Name: crashService}}})
	for i := range endpoints {
		r.start(fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	rows := rowstore.New()
	for i := range entries {
		f := New(r.view, r, fmt.Sprint("zone-", i%3), observe.Discard(), observe.NewCounters())
		if sees {
			k := quarantine.New()
			k.Rows, k.Clock, k.Prober, k.Log, k.Counters = rows.Client(), rows.Now, r, observe.Discard(), f.Counters
			f.Quarantine = k
			go k.Run(t.Context())
			go f.WatchEnds(t.Context())
		}
		r.entries = append(r.entries, f)
	}
	time.Sleep(100 * time.Millisecond)
	return r
}

func (r *crashRig) start(addr string) {
	r.mu.Lock()
	r.started++
	e := &crashEndpoint{id: fmt.Sprint("i-", r.started)}
	e.ended, e.end = context.WithCancel(context.Background())
	r.alive[addr] = e
	entry, zone := uint64(r.started), fmt.Sprint("zone-", len(r.alive)%3)
	r.mu.Unlock()
	r.view.UpdateInstances([]fleet.Instance{{
		ID: e.id, Service: crashService, Addr: addr, Zone: zone, Slots: 6, Entry: entry,
	}}, nil)
}

// crash ends an endpoint. It is called with r.mu held.
func (r *crashRig) crash(addr string, e *crashEndpoint) {
	if r.alive[addr] != e {
		return
	}
	r.ends++
	delete(r.alive, addr)
	e.end()
	time.AfterFunc(crashLapse, func() { r.view.UpdateInstances(nil, []string{e.id}) })
	time.AfterFunc(crashDown, func() { r.start(addr) })
}

// Refuses implements quarantine.Prober.
func (r *crashRig) Refuses(_ context.Context, addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.alive[addr] == nil
}

// Send implements Sender.
func (r *crashRig) Send(ctx context.Context, to fleet.Instance, q *Request, _ time.Duration) (*Answer, error) {
	time.Sleep(time.Millisecond)
	r.mu.Lock()
	e := r.alive[to.Addr]
	crashes := strings.HasPrefix(q.Target, crashTarget)
	if e != nil && e.id == to.ID && crashes {
		r.reached = append(r.reached, e.id)
		after := r.after
		if r.streamAfter >= 0 {
			after = time.Hour // the stream itself ends it
		}
		time.AfterFunc(after, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.crash(to.Addr, e)
		})
	}
	streams := crashes && r.streamAfter >= 0
	r.mu.Unlock()
	switch {
	case e == nil:
		return nil, ErrUnsent
	case e.id != to.ID:
		return &Answer{Status: 421, Declined: true}, nil
	case streams:
		return &Answer{Status: 200, Stream: &crashStream{rig: r, addr: to.Addr, e: e, left: r.streamAfter}}, nil
	}
	work := crashWork
	switch {
	case crashes:
		work = time.Second
	case strings.HasPrefix(q.Target, longTarget):
		work = longWork
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: cut", ErrBroken)
	case <-e.ended.Done():
		return nil, fmt.Errorf("%w: EOF", ErrBroken)
	case <-time.After(work):
		return &Answer{Status: 200}, nil
	}
}

// crashStream ends its endpoint after some events.
type crashStream struct {
	rig  *crashRig
	addr string
	e    *crashEndpoint
	left int
}

func (s *crashStream) Next() (raw []byte, id string, err error) {
	if s.left > 0 {
		s.left--
		return []byte("event"), "1", nil
	}
	s.rig.mu.Lock()
	defer s.rig.mu.Unlock()
	s.rig.crash(s.addr, s.e)
	return nil, "", fmt.Errorf("%w: EOF", ErrBroken)
}

func (s *crashStream) Close() {}

// ask makes a request at an entry; target tells the content.
func (r *crashRig) ask(entry int, id, target string) error {
	q := request(fleet.KindSafe)
	q.ID, q.Target = id, target
	q.Route.MaxAttempts = 3
	_, err := r.entries[entry].Do(r.t.Context(), q)
	return err
}

func (r *crashRig) endedSoFar() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends
}

func TestSecondEndStopsARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCrashRig(t, 3, 3, true)
		var refusal *Refusal
		if err := r.ask(0, "r0", crashTarget); !errors.As(err, &refusal) || refusal.NotRun || refusal.Reason != ReasonBroken {
			t.Fatalf("first attempt: %v", err)
		}
		time.Sleep(200 * time.Millisecond) // until its caller asks again
		for i := range 6 {
			err := r.ask(i%3, fmt.Sprint("r", i+1), crashTarget)
			if !errors.As(err, &refusal) || !refusal.NotRun || refusal.Reason != ReasonHeld || refusal.RetryAfter <= 0 {
				t.Fatalf("attempt %d: %#v", i+2, err)
			}
		}
		if r.endedSoFar() != 2 {
			t.Fatalf("%d of 3 endpoints ended", r.endedSoFar())
		}
		if err := r.ask(1, "other", "/p/other"); err != nil {
			t.Fatalf("a request beside it: %v", err)
		}
	})
}

// A request that was beside the content when an endpoint ended is served by another
// one, and does not meet the content there again.
func TestRequestsBesideACrashAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range uint64(20) {
			r := newCrashRig(t, 1, 3, true)
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
			time.Sleep(time.Minute) // timers of the rig
		}
	})
}

// A request that is slow is sent to a second endpoint as well; not so one under
// which an endpoint has ended.
func TestSuspectGoesToOneEndpointAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCrashRig(t, 1, 3, true)
		r.after = 2 * minHedge
		q := request(fleet.KindSafe)
		q.Target = crashTarget
		r.entries[0].Quarantine.Ended(quarantine.Run{Subject: q.subject(), Endpoint: fleet.Incarnation{ID: "former"}})
		q.Route.Objective = 50 * time.Millisecond // a second send is due before the endpoint ends
		if _, err := r.entries[0].Do(t.Context(), q); err == nil {
			t.Fatal("served")
		}
		if len(r.reached) != 1 {
			t.Fatalf("sent to %v", r.reached)
		}
	})
}

// A content that many ask for is in flight at endpoints that lose power together; it
// is not what ended them.
func TestEndpointsThatEndTogetherHoldNothing(t *testing.T) {
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

// A caller that leaves before its answer hears no end; the list of instances tells
// seconds later that the endpoint has ended under its request.
func TestCallersThatLeaveEndNoMoreEndpoints(t *testing.T) {
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
		if n := r.endedSoFar(); n > int(quarantine.RequestLimit)+2 { // two trials fall into the time
			t.Errorf("%d endpoints ended", n)
		}
	})
}

// An endpoint that leaves as planned ends nothing.
func TestPlannedEndsDoNotCount(t *testing.T) {
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
		if verdict, _ := r.entries[0].Quarantine.Judge(q.subject(), quarantine.RequestLimit); verdict != quarantine.Clear {
			t.Errorf("verdict %v", verdict)
		}
	})
}

// An answer shows that the request was not what ended the endpoint before.
func TestAnswerClearsASuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCrashRig(t, 2, 3, true)
		q := request(fleet.KindSafe)
		r.entries[0].Quarantine.Ended(quarantine.Run{Subject: q.subject(), Endpoint: fleet.Incarnation{ID: "former"}})
		if _, err := r.entries[1].Do(t.Context(), q); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		for i, f := range r.entries {
			if verdict, _ := f.Quarantine.Judge(q.subject(), quarantine.RequestLimit); verdict != quarantine.Clear {
				t.Errorf("entry %d: verdict %v", i, verdict)
			}
		}
	})
}

// Streams end their endpoints midway; what resumes them counts as well.
func TestStreamThatEndsEndpointsIsHeld(t *testing.T) {
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
					t.Fatal("whole")
				}
				events.Close()
				if events, err = f.Resume(t.Context(), q, "1"); err != nil {
					break
				}
			}
		}
		if n := r.endedSoFar(); n != int(quarantine.RequestLimit) {
			t.Fatalf("%d endpoints ended", n)
		}
	})
}

// TestLoadWithAContentThatEndsEndpoints plays a minute of the load of this file. At
// most two endpoints end before the content is known and one by its trial after half
// a minute, and every other request is served at its first or second attempt.
func TestLoadWithAContentThatEndsEndpoints(t *testing.T) {
	for seed := range uint64(5) {
		blind := playCrashes(t, seed, false)
		seeing := playCrashes(t, seed, true)
		t.Logf("seed %d: %d ended and %d of %d others unserved without the quarantine, %d and %d with it",
			seed, blind.ends, blind.unserved, blind.others, seeing.ends, seeing.unserved)
		if seeing.ends > int(quarantine.RequestLimit)+1 || seeing.unserved > 0 {
			t.Errorf("seed %d: %d endpoints ended, %d of %d others unserved", seed, seeing.ends, seeing.unserved, seeing.others)
		}
	}
}

type crashPlay struct{ ends, others, unserved int }

// playCrashes plays a minute of the load with seven entries and three endpoints.
func playCrashes(t *testing.T, seed uint64, sees bool) (p crashPlay) {
	synctest.Test(t, func(t *testing.T) {
		const entries, length = 7, time.Minute
		r := newCrashRig(t, entries, 3, sees)
		rng := rand.New(rand.NewPCG(seed, 0))
		began := time.Now()
		var all sync.WaitGroup
		all.Go(func() {
			own := rand.New(rand.NewPCG(seed, 1))
			for n := 0; time.Since(began) < length; n++ {
				_ = r.askTwice(own, fmt.Sprint("crash-", n), crashTarget) // nobody misses it
				time.Sleep(2*time.Second + time.Duration(own.Int64N(int64(2*time.Second))))
			}
		})
		var mu sync.Mutex
		for n := 0; time.Since(began) < length; n++ {
			own := rand.New(rand.NewPCG(seed, uint64(n+2)))
			all.Go(func() {
				err := r.askTwice(own, fmt.Sprint("other-", n), fmt.Sprint("/p/", n))
				mu.Lock()
				defer mu.Unlock()
				p.others++
				if err != nil {
					p.unserved++
				}
			})
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / 6))
		}
		all.Wait()
		p.ends = r.endedSoFar()
		time.Sleep(time.Minute) // timers of the rig
	})
	return p
}

// askTwice asks at one entry and, after a failure, at another a fifth of a second later.
func (r *crashRig) askTwice(rng *rand.Rand, id, target string) error {
	order := rng.Perm(len(r.entries))
	err := r.ask(order[0], id+"-1", target)
	if err == nil {
		return nil
	}
	time.Sleep(200 * time.Millisecond)
	return r.ask(order[1], id+"-2", target)
}

// breakingStream gives one event and breaks off; its endpoint lives.
type breakingStream struct{ given bool }

func (s *breakingStream) Next() (raw []byte, id string, err error) {
	if s.given {
		return nil, "", fmt.Errorf("%w: reset", ErrBroken)
	}
	s.given = true
	return []byte("event"), "1", nil
}

func (s *breakingStream) Close() {}

// A stream that breaks off again and again, though its endpoints live, reaches no
// more of them than its route allows: what it has reached is remembered with it.
func TestResumedStreamKeepsItsCountOfEndpoints(t *testing.T) {
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
