package forward

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/quarantine"
)

// The load: a service of a few endpoints, some requests a second through several entries, and one
// content that crashes each endpoint which starts to run it. The caller of that content retries
// after a failure, and asks again every few seconds. An endpoint restarts after some seconds with
// a new id; the list of instances shows its crash late.
const (
	crashWork        = 25 * time.Millisecond
	longWork         = 80 * time.Millisecond // longer than an endpoint survives the content
	crashAfter       = 45 * time.Millisecond // from the start of a run to the crash of its endpoint
	crashDown        = 2500 * time.Millisecond
	crashUnlistDelay = 1500 * time.Millisecond // from a crash until the list shows it
	crashTarget      = "/p/crash"
	longTarget       = "/p/long"
	crashService     = "s"
)

// crashRig is such a service and the entries that forward to it.
type crashRig struct {
	t       *testing.T
	view    *fleet.View
	entries []*Forwarder

	mu      sync.Mutex
	alive   map[string]*crashEndpoint // by address
	started int
	crashes int
	// after is the time from the start of a run to the crash of its endpoint.
	after time.Duration
	// streamAfter makes the content's answer a stream that crashes its endpoint after so many
	// events; -1 makes it an answer without a stream.
	streamAfter int
	// reached lists the ids of the endpoints that the content reached, in order.
	reached []string
}

// crashEndpoint is one incarnation of an endpoint.
type crashEndpoint struct {
	id      string
	crashed context.Context
	cancel  context.CancelFunc
}

// newCrashRig starts entries in front of endpoints. With the quarantine the entries share what
// they see in a store; without it they cannot tell that an endpoint has crashed.
func newCrashRig(t *testing.T, entries, endpoints int, quarantined bool) *crashRig {
	r := &crashRig{t: t, view: fleet.NewView(), alive: map[string]*crashEndpoint{}, after: crashAfter, streamAfter: -1}
	r.view.SetConfig(&fleet.Config{Version: 1, Services: []fleet.Service{{Name: crashService}}})
	for i := range endpoints {
		r.start(fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	rows := rowstore.New()
	for i := range entries {
		f := New(r.view, r, fmt.Sprint("zone-", i%3), observe.Discard(), observe.NewCounters())
		if quarantined {
			tracker := quarantine.New()
			tracker.Rows, tracker.Clock, tracker.Prober, tracker.Log, tracker.Counters = rows.Client(), rows.Now, r, observe.Discard(), f.Counters
			f.Quarantine = tracker
			go tracker.Run(t.Context())
			go f.WatchCrashes(t.Context())
		}
		r.entries = append(r.entries, f)
	}
	time.Sleep(100 * time.Millisecond)
	return r
}

// withGates gives the entries gates.
func (r *crashRig) withGates() {
	for _, f := range r.entries {
		f.Gates = NewGates(testSettings())
		go f.WatchGates(r.t.Context())
	}
}

func (r *crashRig) start(addr string) {
	r.mu.Lock()
	r.started++
	e := &crashEndpoint{id: fmt.Sprint("i-", r.started)}
	e.crashed, e.cancel = context.WithCancel(context.Background())
	r.alive[addr] = e
	rowVersion, zone := uint64(r.started), fmt.Sprint("zone-", len(r.alive)%3)
	r.mu.Unlock()
	r.view.UpdateInstances([]fleet.Instance{{
		ID: e.id, Service: crashService, Addr: addr, Zone: zone, Slots: 6, RowVersion: rowVersion,
	}}, nil)
}

// crash crashes an endpoint. It is called with r.mu held.
func (r *crashRig) crash(addr string, e *crashEndpoint) {
	if r.alive[addr] != e {
		return
	}
	r.crashes++
	delete(r.alive, addr)
	e.cancel()
	time.AfterFunc(crashUnlistDelay, func() { r.view.UpdateInstances(nil, []string{e.id}) })
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
			after = time.Hour // the stream itself crashes it
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
	case <-e.crashed.Done():
		return nil, fmt.Errorf("%w: EOF", ErrBroken)
	case <-time.After(work):
		return &Answer{Status: 200}, nil
	}
}

// crashStream crashes its endpoint after some events.
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

// ask sends a request through an entry; target determines the content.
func (r *crashRig) ask(entry int, id, target string) error {
	q := request(fleet.KindSafe)
	q.ID, q.Target = id, target
	q.Route.MaxAttempts = 3
	_, err := r.entries[entry].Do(r.t.Context(), q)
	return err
}

func (r *crashRig) crashCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}
