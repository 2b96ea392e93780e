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
	// soakSlowReward is how long a slow reward call takes, twice its route's objective.
	soakSlowReward = 600 * time.Millisecond
	soakDrain      = 2 * time.Second // how long a draining engine serves on
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
	life     int // the incarnation that runs, by its start; 0 is none
	id       string
	born     int64 // Unix milliseconds
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

// start starts an incarnation, under the id that the last one had if it is to
// start again.
func (e *soakEngine) start(again bool) error {
	l, err := net.Listen("tcp", e.listen)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.life, e.born = e.starts, time.Now().UnixMilli()
	if !again {
		e.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(e.listen, ".", "-"), e.starts)
		e.id = strings.ReplaceAll(e.id, ":", "-")
	}
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
	go e.beat(e.life, e.stop)
	return nil
}

// crash ends an incarnation at once; its entry lapses by itself.
func (e *soakEngine) crash() {
	e.mu.Lock()
	server, stop := e.server, e.stop
	e.life = 0 // runs under way notice that they have ended
	e.mu.Unlock()
	server.Close()
	close(stop)
}

// leave drains and ends an incarnation as planned.
func (e *soakEngine) leave() {
	e.mu.Lock()
	e.draining = true
	server, stop, id, life := e.server, e.stop, e.id, e.life
	e.mu.Unlock()
	e.register(life)
	time.Sleep(soakDrain + soakDrain/2)
	close(stop)
	e.registry.remove(id)
	e.mu.Lock()
	e.life = 0
	e.mu.Unlock()
	server.Close()
}

func (e *soakEngine) beat(life int, stop chan struct{}) {
	for {
		e.register(life)
		select {
		case <-stop:
			return
		case <-time.After(soakHeartbeat):
		}
	}
}

// register writes the engine's entry.
func (e *soakEngine) register(life int) {
	e.mu.Lock()
	if e.life != life {
		e.mu.Unlock()
		return
	}
	i, beats := e.entry()
	e.mu.Unlock()
	e.registry.beat(i, beats)
}

// entry is the engine's next entry. It is called with e.mu held.
func (e *soakEngine) entry() (i fleetview.Instance, beats uint64) {
	e.beats++
	return fleetview.Instance{
		ID: e.id, StartedAt: e.born, Service: e.service, Addr: e.addr, Zone: e.zone, Slots: soakSlots, Draining: e.draining,
		Versions: maps.Clone(e.versions),
	}, e.beats
}

// startAgain ends an incarnation and starts the next under the same id; at times
// the former one's last heartbeat arrives late.
func (e *soakEngine) startAgain(late bool, down time.Duration) error {
	e.mu.Lock()
	former, beats := e.entry()
	e.mu.Unlock()
	e.crash()
	time.Sleep(down)
	err := e.start(true)
	if late {
		time.Sleep(soakHeartbeat / 4)
		e.registry.beat(former, beats)
	}
	return err
}

// Report implements enginehttp.StandIn.
func (e *soakEngine) Report() batch.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return batch.Report{StartedAt: e.born, Busy: e.busy, Sequence: e.sequence, Running: e.running, Versions: maps.Clone(e.versions)}
}

// Order implements enginehttp.StandIn: it changes the weights of a model.
func (e *soakEngine) Order(o batch.Order) enginehttp.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.ordered(e.listen, o.Holder, o.Token)
	switch {
	case e.life == 0 || o.Instance != e.id:
		return enginehttp.OrderMisdirected
	case e.versions[o.Model] == o.Version:
		return enginehttp.OrderAlreadyApplied
	case e.versions[o.Model] == 0 || e.record.named(o.Model) < o.Version:
		return enginehttp.OrderInvalid
	case e.busy || o.Sequence != e.sequence:
		return enginehttp.OrderConflict
	}
	e.busy, e.loading[o.Model] = true, true
	e.sequence++
	go e.load(e.life, o.Model, o.Version)
	return enginehttp.OrderAccepted
}

func (e *soakEngine) load(life int, model string, version uint64) {
	time.Sleep(soakLoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == life {
		e.busy, e.loading[model], e.versions[model] = false, false, version
	}
}

// admit takes a request in, or declines it.
func (e *soakEngine) admit(a enginehttp.ReceivedRequest, w *enginehttp.AnswerWriter) (id string, life int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.life == 0 || (a.Instance != "" && a.Instance != e.id):
		w.Decline(true)
		return "", 0, false
	case e.running >= soakSlots || e.loading[a.Model]:
		w.Decline(false)
		return "", 0, false
	}
	e.running++
	return e.id, e.life, true
}

// release gives the slot of a run back, if its incarnation still runs.
func (e *soakEngine) release(life int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == life {
		e.running--
	}
}

// version is the weights that make the next event; ok is false once the
// incarnation has ended.
func (e *soakEngine) version(life int, model string) (version uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model], e.life == life
}

// Run implements enginehttp.StandIn.
func (e *soakEngine) Run(ctx context.Context, a enginehttp.ReceivedRequest, w *enginehttp.AnswerWriter) {
	id, life, ok := e.admit(a, w)
	if !ok {
		return
	}
	defer e.release(life)
	e.record.began(e.service, a)
	if strings.HasPrefix(a.Target, prefixCrash) {
		e.crashUnder(a)
		w.Abort()
	}
	w.Accept(stampOf(id, a.ID))
	kind := kindOf(a.ID)
	switch {
	case kind == itemImpossible:
		w.Fail(true)
	case kind == itemFailing, kind == itemFailsOnce && e.record.failOnce(a.ID):
		w.Fail(false)
	case strings.HasPrefix(a.Target, prefixScore):
		e.score(ctx, a, w)
	case strings.HasPrefix(a.Target, prefixLook) || strings.HasPrefix(a.Target, prefixBook) || strings.HasPrefix(a.Target, prefixPeek):
		e.answer(ctx, a, w)
	default:
		e.stream(ctx, life, a, w)
	}
}

// answer answers as a whole, or breaks off once it has run the request.
func (e *soakEngine) answer(ctx context.Context, a enginehttp.ReceivedRequest, w *enginehttp.AnswerWriter) {
	if !sleep(ctx, workOf(a.ID)) || losesAnswer(a.ID) {
		w.Abort()
	}
	if err := w.WriteBody(answerOf(a.ID, a.Body)); err != nil {
		e.record.count("answers that nobody took")
	}
}

// score answers a reward call as its kind says.
func (e *soakEngine) score(ctx context.Context, a enginehttp.ReceivedRequest, w *enginehttp.AnswerWriter) {
	kind := rewardKindOf(a.ID)
	work := workOf(a.ID)
	if kind == rewardSlow {
		work = soakSlowReward
	}
	switch {
	case !sleep(ctx, work), kind == rewardLostOnce && e.record.failOnce(a.ID):
		w.Abort()
	case kind == rewardFailing, kind == rewardFailsOnce && e.record.failOnce(a.ID):
		e.record.rewardFails(a.ID)
		w.Fail(false)
		return
	}
	if err := w.WriteBody(answerOf(a.ID, a.Body)); err != nil {
		e.record.count("scores that nobody took")
	}
}

// stream makes the events of a text after the last that is known.
func (e *soakEngine) stream(ctx context.Context, life int, a enginehttp.ReceivedRequest, w *enginehttp.AnswerWriter) {
	for n := a.After + 1; n <= eventsOf(a.ID); n++ {
		if !sleep(ctx, soakEventTime) {
			w.Abort()
		}
		version, ok := e.version(life, a.Model)
		if !ok {
			w.Abort()
		}
		e.record.madeEvent(a.ID, n, version)
		if err := w.Event(n, version, eventOf(a.ID, n)); err != nil {
			e.record.count("events that nobody took")
			w.Abort()
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
