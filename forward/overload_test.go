package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
)

// The overloaded service: endpoints with slots and a queue, one of them several times as slow. They
// reject sends beyond their queue. A request that is cut off while it waits there never begins; one
// that runs is run to its end.
const (
	overloadSlots = 6
	overloadQueue = 24
	overloadWork  = 22 * time.Millisecond
)

// queueEndpoint is one endpoint.
type queueEndpoint struct {
	work time.Duration

	mu      sync.Mutex
	running int
	waiting []chan struct{}
	began   int
}

func (e *queueEndpoint) load() *fleet.Load {
	return &fleet.Load{Running: e.running, Waiting: len(e.waiting), Slots: overloadSlots}
}

// arrive takes a slot, or a place in the queue, whose channel is closed when the request begins.
func (e *queueEndpoint) arrive() (begins chan struct{}, rejected *fleet.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	begins = make(chan struct{})
	switch {
	case e.running < overloadSlots:
		e.begin(begins)
	case len(e.waiting) < overloadQueue:
		e.waiting = append(e.waiting, begins)
	default:
		return nil, e.load()
	}
	return begins, nil
}

// begin runs a request. The caller holds e.mu.
func (e *queueEndpoint) begin(begins chan struct{}) {
	e.running++
	e.began++
	close(begins)
	time.AfterFunc(e.work, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			e.begin(next)
		}
	})
}

// leave removes a request that was cut off from the queue.
func (e *queueEndpoint) leave(begins chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.waiting {
		if other == begins {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return
		}
	}
}

// serve runs a request to its answer.
func (e *queueEndpoint) serve(ctx context.Context) (*Answer, error) {
	begins, rejected := e.arrive()
	if rejected != nil {
		return &Answer{Status: http.StatusServiceUnavailable, Declined: true, Load: rejected}, nil
	}
	select {
	case <-begins:
	case <-ctx.Done():
		e.leave(begins)
		return nil, fmt.Errorf("%w: cut", ErrBroken)
	}
	select {
	case <-time.After(e.work):
		e.mu.Lock()
		defer e.mu.Unlock()
		return &Answer{Status: http.StatusOK, Load: e.load()}, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: cut", ErrBroken)
	}
}

// overload is a service under load and what was counted.
type overload struct {
	endpoints map[string]*queueEndpoint
	// fault, if set, returns the fault of the nth send to an endpoint.
	fault func(endpoint string, n int) fault

	mu                                      sync.Mutex
	asked, inTime, refused, sends, rejected int
	// inTimeAtFirst counts the answers within the objective of the client's first attempt.
	inTimeAtFirst int
	// counted are the runs that usage reports would show.
	counted int
	// second counts hedges and repeats after a failure.
	second int64
}

// fault is what goes wrong with a send.
type fault int

const (
	sound fault = iota
	// lost sends are run, and their answers are lost.
	lost
	// failed sends are answered with status 500.
	failed
	// dark endpoints neither run nor answer a send.
	dark
)

// Send implements Sender.
func (o *overload) Send(ctx context.Context, to fleet.Instance, _ *Request, _ time.Duration) (*Answer, error) {
	o.mu.Lock()
	n := o.sends
	o.sends++
	o.mu.Unlock()
	answer, err := o.send(ctx, to, n)
	o.mu.Lock()
	defer o.mu.Unlock()
	if answer != nil && answer.Declined {
		o.rejected++
	}
	return answer, err
}

// send is a send with its fault.
func (o *overload) send(ctx context.Context, to fleet.Instance, n int) (*Answer, error) {
	what := sound
	if o.fault != nil {
		what = o.fault(to.ID, n)
	}
	switch what {
	case failed:
		return &Answer{Status: http.StatusInternalServerError, Load: &fleet.Load{Slots: overloadSlots}}, nil
	case dark:
		<-ctx.Done()
		return nil, fmt.Errorf("%w: cut", ErrBroken)
	}
	answer, err := o.endpoints[to.ID].serve(ctx)
	if what == lost && err == nil && !answer.Declined {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: cut", ErrBroken)
	}
	return answer, err
}

// count is an OnRunStarted.
func (o *overload) count(string, time.Time) (withdraw func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counted++
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.counted--
	}
}

// began returns how many runs the endpoints began.
func (o *overload) began() (n int) {
	for _, e := range o.endpoints {
		n += e.began
	}
	return n
}

// capacity returns the requests a second that the endpoints' slots can do.
func (o *overload) capacity() (rate float64) {
	for _, e := range o.endpoints {
		rate += overloadSlots / e.work.Seconds()
	}
	return rate
}

// ask sends a lookup, and once more after a refusal as not run.
func (o *overload) ask(ctx context.Context, f *Forwarder, id string) {
	began := time.Now()
	var refusal *Refusal
	for attempt := range 2 {
		q := request(fleet.KindSafe)
		q.ID, q.Deadline, q.Organisation = fmt.Sprint(id, "-", attempt), began.Add(1500*time.Millisecond), "guthi"
		q.Route.MaxAttempts = 3
		asked := time.Now()
		answer, err := f.Do(ctx, q)
		o.mu.Lock()
		if err == nil && answer.Status == http.StatusOK && time.Since(asked) <= q.Route.Objective {
			o.inTime++
		}
		if err == nil && answer.Status == http.StatusOK && time.Since(began) <= q.Route.Objective {
			o.inTimeAtFirst++
		}
		if err != nil && attempt == 1 {
			o.refused++
		}
		o.mu.Unlock()
		if !errors.As(err, &refusal) || !refusal.NotRun {
			return
		}
		time.Sleep(refusal.RetryAfter)
	}
}

// simulateOverload sends a service of four endpoints, one of them five times as slow, a multiple of
// its capacity for some time, through several entries.
func simulateOverload(t *testing.T, times float64, length time.Duration, gated bool, fault func(string, int) fault) *overload {
	o := &overload{endpoints: map[string]*queueEndpoint{}, fault: fault}
	synctest.Test(t, func(t *testing.T) {
		const entries = 8
		view := fleet.NewView()
		view.SetConfig(&fleet.Config{Version: 1, Services: []fleet.Service{{Name: "s"}}})
		for i := range 4 {
			id, work := fmt.Sprint("e", i), overloadWork
			if i == 3 {
				work *= 5
			}
			o.endpoints[id] = &queueEndpoint{work: work}
			view.UpdateInstances([]fleet.Instance{{ID: id, Service: "s", Zone: "z", Addr: id, Slots: overloadSlots}}, nil)
		}
		var forwarders []*Forwarder
		for range entries {
			f := New(view, o, "z", observe.Discard(), observe.NewCounters())
			f.OnRunStarted = o.count
			if gated {
				f.Gates = NewGates(testSettings())
			}
			forwarders = append(forwarders, f)
		}
		rng := rand.New(rand.NewPCG(7, 7))
		rate := times * o.capacity()
		var all sync.WaitGroup
		for began := time.Now(); time.Since(began) < length; o.asked++ {
			f, id := forwarders[rng.IntN(entries)], fmt.Sprint("r", o.asked)
			all.Go(func() { o.ask(t.Context(), f, id) })
			time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		}
		all.Wait()
		time.Sleep(time.Second) // until the endpoints are idle
		for _, f := range forwarders {
			o.second += f.Counters.Retries("", ReasonSlow) + f.Counters.Retries("", ReasonBroken) + f.Counters.Retries("", ReasonFailed)
		}
	})
	return o
}

// gatedOrBoth returns the kinds of simulation. Those without gates are for comparison only and take
// most of the time, so they are run with -v.
func gatedOrBoth() []bool {
	if testing.Verbose() {
		return []bool{false, true}
	}
	return []bool{true}
}

// TestOverloadWithGates guards against an overload that multiplies itself: at 3 times the capacity
// few sends are rejected, second sends are at most a fifth of the first ones, the slots answer in
// time, and usage is counted as the endpoints began it.
func TestOverloadWithGates(t *testing.T) {
	const times, length = 3, 4 * time.Second
	for _, gated := range gatedOrBoth() {
		o := simulateOverload(t, times, length, gated, nil)
		carried := float64(o.inTime) / (o.capacity() * length.Seconds())
		t.Logf("gates %t: %d asked, %d in time (%.2f of the slots), %d of the first attempt, %d refused, %d sends, %d rejected, %d second, %d began, %d counted",
			gated, o.asked, o.inTime, carried, o.inTimeAtFirst, o.refused, o.sends, o.rejected, o.second, o.began(), o.counted)
		if !gated {
			continue
		}
		if share := float64(o.rejected) / float64(o.sends); share > 0.05 {
			t.Errorf("%.2f of all sends were rejected", share)
		}
		if share := float64(o.second) / float64(o.sends); share > 0.2 {
			t.Errorf("second sends are %.2f of all", share)
		}
		if first := float64(o.inTimeAtFirst) / (o.capacity() * length.Seconds()); carried < 0.9 || first < 0.9 {
			t.Errorf("%.2f of what the slots carry was answered in time, %.2f of it in time of the first attempt", carried, first)
		}
		if wrong := float64(o.counted-o.began()) / float64(o.began()); wrong < 0 || wrong > 0.01 {
			t.Errorf("%d runs counted, %d began", o.counted, o.began())
		}
	}
}

// TestNothingIsLostAtOrdinaryLoad guards against gates and budgets that cost requests while there is
// capacity, also beside lost answers and endpoints that fail or are silent. Some requests find out.
// The entries have 33 requests a second each, or 2, which leaves the budget its floor only.
func TestNothingIsLostAtOrdinaryLoad(t *testing.T) {
	testOrdinaryLoad(t, 0.3, 4*time.Second)
	testOrdinaryLoad(t, 0.02, time.Minute)
}

func testOrdinaryLoad(t *testing.T, load float64, length time.Duration) {
	for name, c := range map[string]struct {
		fault func(endpoint string, n int) fault
		late  float64 // share of requests that may be late
	}{
		"sound": {nil, 0.01},
		"one answer in 50 lost": {func(_ string, n int) fault {
			if n%50 == 0 {
				return lost
			}
			return sound
		}, 0.02},
		"one endpoint fails": {func(endpoint string, _ int) fault {
			if endpoint == "e1" {
				return failed
			}
			return sound
		}, 0.01},
		"one endpoint falls silent": {func(endpoint string, n int) fault {
			if endpoint == "e1" && n > 300 {
				return dark
			}
			return sound
		}, 0.02},
		"one endpoint is silent from the start of the entries": {func(endpoint string, _ int) fault {
			if endpoint == "e1" {
				return dark
			}
			return sound
		}, 0.02},
	} {
		for _, gated := range gatedOrBoth() {
			o := simulateOverload(t, load, length, gated, c.fault)
			t.Logf("%s at %g, gates %t: %d asked, %d in time, %d answered late or with a failure, %d refused, %d sends, %d second",
				name, load, gated, o.asked, o.inTime, o.asked-o.inTime, o.refused, o.sends, o.second)
			if late := float64(o.asked-o.inTime) / float64(o.asked); gated && (o.refused > 0 || late > c.late) {
				t.Errorf("%s at %g: %d of %d in time, %d refused", name, load, o.inTime, o.asked, o.refused)
			}
		}
	}
}
