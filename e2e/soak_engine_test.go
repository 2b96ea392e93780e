package e2e

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"mulberryscale.example/batch"
	fleetview "mulberryscale.example/fleet"
	"mulberryscale.example/platform/enginehttp"
)

// Sizes and times of the soak's engines.
const (
	soakSlots     = 6
	soakEventTime = 15 * time.Millisecond
	soakLoadTime  = 300 * time.Millisecond
	soakHeartbeat = 400 * time.Millisecond
	soakDrain     = 2 * time.Second // how long a draining engine serves on
)

// soakEngine is an engine of the soak: an enginehttp.StandIn that records what
// it was asked to do.
type soakEngine struct {
	service, zone string
	listen, addr  string // where it listens, and what it tells the store
	models        []string
	registry      *registry
	record        *record
	faulty        sync.Mutex // held by the one fault that ends and starts it

	mu       sync.Mutex
	starts   int
	id       string
	server   *http.Server
	draining bool
	versions map[string]uint64
	loading  map[string]bool
	busy     bool
	sequence uint64
	running  int
	stop     chan struct{}
	beats    uint64
}

// start starts an incarnation.
func (e *soakEngine) start() error {
	l, err := net.Listen("tcp", e.listen)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(e.listen, ".", "-"), e.starts)
	e.id = strings.ReplaceAll(e.id, ":", "-")
	e.draining, e.busy, e.sequence, e.running = false, false, 0, 0
	e.loading = map[string]bool{}
	if e.versions == nil {
		e.versions = map[string]uint64{}
		for _, m := range e.models {
			e.versions[m] = 1
		}
	}
	e.server = &http.Server{Handler: enginehttp.Handler(e)}
	e.stop = make(chan struct{})
	go e.server.Serve(l) // ends with the server
	go e.beat(e.id, e.stop)
	return nil
}

// crash ends an incarnation at once; its entry lapses by itself.
func (e *soakEngine) crash() {
	e.mu.Lock()
	server, stop := e.server, e.stop
	e.id = "" // runs under way notice that they have ended
	e.mu.Unlock()
	server.Close()
	close(stop)
}

// leave drains and ends an incarnation as planned.
func (e *soakEngine) leave() {
	e.mu.Lock()
	e.draining = true
	server, stop, id := e.server, e.stop, e.id
	e.mu.Unlock()
	e.register(id)
	time.Sleep(soakDrain + soakDrain/2)
	close(stop)
	e.registry.remove(id)
	e.mu.Lock()
	e.id = ""
	e.mu.Unlock()
	server.Close()
}

func (e *soakEngine) beat(id string, stop chan struct{}) {
	for {
		e.register(id)
		select {
		case <-stop:
			return
		case <-time.After(soakHeartbeat):
		}
	}
}

// register writes the engine's entry.
func (e *soakEngine) register(id string) {
	e.mu.Lock()
	if e.id != id {
		e.mu.Unlock()
		return
	}
	e.beats++
	i := fleetview.Instance{
		ID: id, Service: e.service, Addr: e.addr, Zone: e.zone, Slots: soakSlots, Draining: e.draining, Versions: maps.Clone(e.versions),
	}
	beats := e.beats
	e.mu.Unlock()
	e.registry.beat(i, beats)
}

// Report implements enginehttp.StandIn.
func (e *soakEngine) Report() batch.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return batch.Report{Busy: e.busy, Sequence: e.sequence, Running: e.running, Versions: maps.Clone(e.versions)}
}

// Order implements enginehttp.StandIn: it changes the weights of a model.
func (e *soakEngine) Order(o batch.Order) enginehttp.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.ordered(e.listen, o.Holder, o.Token)
	switch {
	case o.Instance != e.id:
		return enginehttp.OrderMisdirected
	case e.versions[o.Model] == o.Version:
		return enginehttp.OrderHolds
	case e.versions[o.Model] == 0 || e.record.named(o.Model) < o.Version:
		return enginehttp.OrderImpossible
	case e.busy || o.Sequence != e.sequence:
		return enginehttp.OrderConflicts
	}
	e.busy, e.loading[o.Model] = true, true
	e.sequence++
	go e.load(e.id, o.Model, o.Version)
	return enginehttp.OrderTaken
}

func (e *soakEngine) load(id, model string, version uint64) {
	time.Sleep(soakLoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id == id {
		e.busy, e.loading[model], e.versions[model] = false, false, version
	}
}

// admit takes a request in, or declines it.
func (e *soakEngine) admit(a enginehttp.Arrival, w *enginehttp.AnswerWriter) (id string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.id == "" || (a.Instance != "" && a.Instance != e.id):
		w.Decline(true)
		return "", false
	case e.running >= soakSlots || e.loading[a.Model]:
		w.Decline(false)
		return "", false
	}
	e.running++
	return e.id, true
}

// release gives the slot of a run back, if its incarnation still runs.
func (e *soakEngine) release(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id == id {
		e.running--
	}
}

// version is the weights that make the next event; ok is false once the
// incarnation has ended.
func (e *soakEngine) version(id, model string) (version uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model], e.id == id
}

// Run implements enginehttp.StandIn.
func (e *soakEngine) Run(ctx context.Context, a enginehttp.Arrival, w *enginehttp.AnswerWriter) {
	id, ok := e.admit(a, w)
	if !ok {
		return
	}
	defer e.release(id)
	e.record.began(e.service, a)
	w.Accept(stampOf(id, a.ID))
	kind := kindOf(a.ID)
	switch {
	case kind == itemImpossible:
		w.Fail(true)
	case kind == itemFailing, kind == itemFailsOnce && e.record.failOnce(a.ID):
		w.Fail(false)
	case strings.HasPrefix(a.Target, prefixLook) || strings.HasPrefix(a.Target, prefixBook):
		e.answer(ctx, a, w)
	default:
		e.stream(ctx, id, a, w)
	}
}

// answer answers as a whole, or breaks off once it has run the request.
func (e *soakEngine) answer(ctx context.Context, a enginehttp.Arrival, w *enginehttp.AnswerWriter) {
	if !sleep(ctx, workOf(a.ID)) || losesAnswer(a.ID) {
		w.Break()
	}
	if err := w.Whole(answerOf(a.ID, a.Body)); err != nil {
		e.record.count("answers that nobody took")
	}
}

// stream makes the events of a text after the last that is known.
func (e *soakEngine) stream(ctx context.Context, id string, a enginehttp.Arrival, w *enginehttp.AnswerWriter) {
	for n := a.After + 1; n <= eventsOf(a.ID); n++ {
		if !sleep(ctx, soakEventTime) {
			w.Break()
		}
		version, ok := e.version(id, a.Model)
		if !ok {
			w.Break()
		}
		e.record.madeEvent(a.ID, n, version)
		if err := w.Event(n, version, eventOf(a.ID, n)); err != nil {
			e.record.count("events that nobody took")
			w.Break()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
