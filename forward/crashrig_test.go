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

// The load: a service of a few endpoints, some requests a second through several
// entries, and one content that ends each endpoint which begins to run it. The
// caller of that content asks again after a failure, and comes back every few
// seconds. An endpoint is back after some seconds under a new id; the list of
// instances hears late of its end.
const (
	crashWork        = 25 * time.Millisecond
	longWork         = 80 * time.Millisecond // longer than an endpoint lives under the content
	crashAfter       = 45 * time.Millisecond // from the begin of a run that ends its endpoint
	crashDown        = 2500 * time.Millisecond
	crashUnlistDelay = 1500 * time.Millisecond // until the list hears of an end
	crashTarget      = "/p/crash"
	longTarget       = "/p/long"
	crashService     = "s"
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
			k := quarantine.New()
			k.Rows, k.Clock, k.Prober, k.Log, k.Counters = rows.Client(), rows.Now, r, observe.Discard(), f.Counters
			f.Quarantine = k
			go k.Run(t.Context())
			go f.WatchCrashes(t.Context())
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

func (r *crashRig) crashCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends
}
