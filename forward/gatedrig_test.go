package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
)

// gatedRig is a forwarder with a gate in front of endpoints that answer when told to. Requests that
// wait in the gate are of the kind at most once unless a test says otherwise.
type gatedRig struct {
	*Forwarder
	t      *testing.T
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	open []*heldSend
	sent []string // ids of requests and endpoints, in order
	// declining endpoints reject every send.
	declining map[string]bool
}

// heldSend is a send that waits for its answer.
type heldSend struct {
	request string
	to      fleet.Instance
	answer  chan *Answer
}

// testSettings are the settings of gates in these tests.
func testSettings() GateSettings {
	s := DefaultGateSettings()
	s.Always = true
	return s
}

// inGatedRig runs a test in a bubble with a rig of the given endpoints.
func inGatedRig(t *testing.T, endpoints int, test func(t *testing.T, r *gatedRig)) {
	synctest.Test(t, func(t *testing.T) {
		view := fleet.NewView()
		config := &fleet.Config{
			Version: 1, Services: []fleet.Service{{Name: "s"}}, Organisations: []fleet.Organisation{{Name: "first"}, {Name: "second", Priority: 2}},
		}
		config.Index()
		view.SetConfig(config)
		r := &gatedRig{t: t, declining: map[string]bool{}}
		r.Forwarder = New(view, r, "here", observe.Discard(), observe.NewCounters())
		r.Gates = NewGates(testSettings())
		for i := range endpoints {
			r.list(fmt.Sprint("e", i), 1)
		}
		r.ctx, r.cancel = context.WithCancel(t.Context())
		r.wg.Go(func() { r.WatchGates(r.ctx) })
		defer r.wg.Wait()
		defer r.cancel()
		test(t, r)
	})
}

// list adds an endpoint to the list of instances.
func (r *gatedRig) list(id string, startedAt int64) {
	r.View.UpdateInstances([]fleet.Instance{{ID: id, Service: "s", Zone: "here", Addr: id + ":1", Slots: 4, StartedAt: startedAt}}, nil)
}

// Send implements Sender.
func (r *gatedRig) Send(ctx context.Context, to fleet.Instance, q *Request, _ time.Duration) (*Answer, error) {
	r.mu.Lock()
	r.sent = append(r.sent, q.ID+"@"+to.ID)
	if r.declining[to.ID] {
		r.mu.Unlock()
		return &Answer{Status: http.StatusServiceUnavailable, Declined: true, Load: &fleet.Load{Running: 4, Waiting: 24, Slots: 4}}, nil
	}
	send := &heldSend{request: q.ID, to: to, answer: make(chan *Answer, 1)}
	r.open = append(r.open, send)
	r.mu.Unlock()
	select {
	case answer := <-send.answer:
		if answer == nil {
			return nil, fmt.Errorf("%w: cut", ErrBroken)
		}
		return answer, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: cut", ErrBroken)
	}
}

// result is the outcome of a request.
type result struct {
	answer *Answer
	err    error
	took   time.Duration
}

// start sends a request and returns a channel with its outcome.
func (r *gatedRig) start(ctx context.Context, q *Request) <-chan result {
	done := make(chan result, 1)
	began := time.Now()
	r.wg.Go(func() {
		answer, err := r.Do(ctx, q)
		done <- result{answer, err, time.Since(began)}
	})
	synctest.Wait()
	return done
}

// request returns a request of a kind that has two seconds.
func (r *gatedRig) request(id string, kind fleet.Kind) *Request {
	q := request(kind)
	q.ID = id
	return q
}

// fill starts requests until one waits, and returns its outcome.
func (r *gatedRig) fill() <-chan result {
	r.t.Helper()
	for n := range 1000 {
		q := r.request(fmt.Sprint("fill-", n), fleet.KindUnsafe)
		q.Route.Timeout = time.Minute
		done := r.start(r.ctx, q)
		if r.waiting() > 0 {
			return done
		}
	}
	r.t.Fatal("the gate does not fill")
	return nil
}

// waiting returns the number of requests that wait in the gate.
func (r *gatedRig) waiting() int { return r.Gates.of("s").gate.Waiting() }

// answerAll answers all open sends, and those that follow, until no request waits.
func (r *gatedRig) answerAll(answer func() *Answer) {
	for {
		synctest.Wait()
		r.mu.Lock()
		open := r.open
		r.open = nil
		r.mu.Unlock()
		if len(open) == 0 && r.waiting() == 0 {
			return
		}
		for _, send := range open {
			send.answer <- answer()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// answerOne answers the send of a request.
func (r *gatedRig) answerOne(request string, answer *Answer) {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, send := range r.open {
		if send.request == request {
			send.answer <- answer
			r.open = append(r.open[:i:i], r.open[i+1:]...)
			return
		}
	}
	r.t.Fatalf("no open send of %s", request)
}

// whole is an answer of an idle endpoint.
func whole() *Answer {
	return &Answer{Status: http.StatusOK, Body: []byte("whole"), Load: &fleet.Load{Running: 1, Slots: 4}}
}

// sentTo returns where a request was sent, in order.
func (r *gatedRig) sentTo(request string) (endpoints []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sent {
		var id, to string
		for i := range s {
			if s[i] == '@' {
				id, to = s[:i], s[i+1:]
			}
		}
		if id == request {
			endpoints = append(endpoints, to)
		}
	}
	return endpoints
}
