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

// Capacity and timing of the soak's engines.
const (
	soakSlots          = 6
	soakEventInterval  = 15 * time.Millisecond
	soakWeightLoadTime = 300 * time.Millisecond
	soakHeartbeat      = 400 * time.Millisecond
	// soakSlowRewardTime is the run time of a slow reward call, twice its route's objective.
	soakSlowRewardTime = 600 * time.Millisecond
	soakDrainTime      = 2 * time.Second // how long a draining engine still serves
)

// soakEngine is an engine of the soak: an enginehttp.StandIn that records the
// requests and orders that it receives.
type soakEngine struct {
	service, zone string
	listen, addr  string // the address it listens on, and the one it registers
	models        []string
	registry      *registry
	record        *record
	copies        *answerCopies
	faultLock     sync.Mutex // held by the fault that stops and restarts the engine

	mu          sync.Mutex
	starts      int
	incarnation int // number of the start that is running; 0 if stopped
	id          string
	startedAt   int64 // Unix milliseconds
	server      *http.Server
	listener    net.Listener
	draining    bool
	versions    map[string]uint64
	loading     map[string]bool
	busy        bool
	sequence    uint64
	running     int
	stop        chan struct{}
	heartbeats  uint64
}

// slots returns the number of requests that the engine runs at a time.
func (e *soakEngine) slots() int {
	if e.service == serviceHall {
		return hallSlots
	}
	return soakSlots
}

// start starts an incarnation, with the previous one's id if sameID is set and a new id
// otherwise.
func (e *soakEngine) start(sameID bool) error {
	l, err := net.Listen("tcp", e.listen)
	if err != nil {
		return err
	}
	if e.copies != nil {
		l = &copyingListener{Listener: l, copies: e.copies}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.incarnation, e.startedAt = e.starts, time.Now().UnixMilli()
	if !sameID {
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
	e.server, e.listener = &http.Server{Handler: enginehttp.Handler(e)}, l
	e.stop = make(chan struct{})
	go e.server.Serve(l) // returns after Close
	go e.sendHeartbeats(e.incarnation, e.stop)
	return nil
}

// crash stops an incarnation without notice; its registration expires. It does nothing if none
// runs.
func (e *soakEngine) crash() {
	e.mu.Lock()
	stop, running := e.stop, e.incarnation != 0
	e.incarnation = 0 // aborts the runs in progress
	e.mu.Unlock()
	if !running {
		return
	}
	e.closeServer()
	close(stop)
}

// closeServer closes the server and frees its address. The listener is closed by itself, since
// the server does not know it before it has begun to serve.
func (e *soakEngine) closeServer() {
	e.mu.Lock()
	server, listener := e.server, e.listener
	e.mu.Unlock()
	listener.Close()
	server.Close()
}

// shutDown drains an incarnation, deregisters it and stops it.
func (e *soakEngine) shutDown() {
	e.mu.Lock()
	e.draining = true
	stop, id, incarnation := e.stop, e.id, e.incarnation
	e.mu.Unlock()
	e.register(incarnation)
	time.Sleep(soakDrainTime + soakDrainTime/2)
	close(stop)
	e.registry.remove(id)
	e.mu.Lock()
	e.incarnation = 0
	e.mu.Unlock()
	e.closeServer()
}

func (e *soakEngine) sendHeartbeats(incarnation int, stop chan struct{}) {
	for {
		e.register(incarnation)
		select {
		case <-stop:
			return
		case <-time.After(soakHeartbeat):
		}
	}
}

// register writes the engine's registration, unless the incarnation was replaced.
func (e *soakEngine) register(incarnation int) {
	e.mu.Lock()
	if e.incarnation != incarnation {
		e.mu.Unlock()
		return
	}
	i, heartbeats := e.nextRegistration()
	e.mu.Unlock()
	e.registry.heartbeat(i, heartbeats)
}

// nextRegistration returns the engine's next registration and heartbeat count. e.mu is held.
func (e *soakEngine) nextRegistration() (i fleetview.Instance, heartbeats uint64) {
	e.heartbeats++
	return fleetview.Instance{
		ID: e.id, StartedAt: e.startedAt, Service: e.service, Addr: e.addr, Zone: e.zone, Slots: e.slots(), Draining: e.draining,
		Versions: maps.Clone(e.versions),
	}, e.heartbeats
}

// restartSameID crashes an incarnation and starts the next one with the same id. With
// lateHeartbeat the previous incarnation's last heartbeat arrives after the restart.
func (e *soakEngine) restartSameID(lateHeartbeat bool, downtime time.Duration) error {
	e.mu.Lock()
	previous, heartbeats := e.nextRegistration()
	e.mu.Unlock()
	e.crash()
	time.Sleep(downtime)
	err := e.start(true)
	if lateHeartbeat {
		time.Sleep(soakHeartbeat / 4)
		e.registry.heartbeat(previous, heartbeats)
	}
	return err
}

// Report implements enginehttp.StandIn.
func (e *soakEngine) Report() batch.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return batch.Report{StartedAt: e.startedAt, Busy: e.busy, Sequence: e.sequence, Running: e.running, Versions: maps.Clone(e.versions)}
}

// Order implements enginehttp.StandIn: it starts to load another weight version of a model.
func (e *soakEngine) Order(o batch.Order) enginehttp.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.checkOrder(e.listen, o.Holder, o.Token)
	switch {
	case e.incarnation == 0 || o.Instance != e.id:
		return enginehttp.OrderMisdirected
	case e.versions[o.Model] == o.Version:
		return enginehttp.OrderAlreadyApplied
	case e.versions[o.Model] == 0 || e.record.namedVersion(o.Model) < o.Version:
		return enginehttp.OrderInvalid
	case e.busy || o.Sequence != e.sequence:
		return enginehttp.OrderConflict
	}
	e.busy, e.loading[o.Model] = true, true
	e.sequence++
	go e.loadWeights(e.incarnation, o.Model, o.Version)
	return enginehttp.OrderAccepted
}

func (e *soakEngine) loadWeights(incarnation int, model string, version uint64) {
	time.Sleep(soakWeightLoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == incarnation {
		e.busy, e.loading[model], e.versions[model] = false, false, version
	}
}

// admit takes a slot for a request, or declines the request.
func (e *soakEngine) admit(a enginehttp.ReceivedRequest, w *enginehttp.AnswerWriter) (id string, incarnation int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.incarnation == 0 || (a.Instance != "" && a.Instance != e.id):
		w.Decline(true)
		return "", 0, false
	case e.running >= e.slots() || e.loading[a.Model]:
		w.Decline(false)
		return "", 0, false
	}
	e.running++
	return e.id, e.incarnation, true
}

// release frees the slot of a run, if its incarnation still runs.
func (e *soakEngine) release(incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == incarnation {
		e.running--
	}
}

// version returns the weight version that produces the next event; ok is false once the
// incarnation has crashed or was shut down.
func (e *soakEngine) version(incarnation int, model string) (version uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model], e.incarnation == incarnation
}

// Run implements enginehttp.StandIn.
func (e *soakEngine) Run(ctx context.Context, a enginehttp.ReceivedRequest, w *enginehttp.AnswerWriter) {
	id, incarnation, ok := e.admit(a, w)
	if !ok {
		return
	}
	defer e.release(incarnation)
	e.record.runStarted(e.service, a)
	if strings.HasPrefix(a.Target, prefixCrash) {
		e.crashOn(a)
		w.Abort()
	}
	w.Accept(signatureOf(id, a.ID))
	kind := kindOf(a.ID)
	switch {
	case kind == itemImpossible:
		w.Fail(true)
	case kind == itemAlwaysFails, kind == itemFailsOnce && e.record.firstFailure(a.ID):
		w.Fail(false)
	case strings.HasPrefix(a.Target, prefixScore):
		e.score(ctx, a, w)
	case strings.HasPrefix(a.Target, prefixLook) || strings.HasPrefix(a.Target, prefixBook) || strings.HasPrefix(a.Target, prefixPeek) ||
		strings.HasPrefix(a.Target, prefixErrand) || strings.HasPrefix(a.Target, prefixCrowd):
		e.answer(ctx, a, w)
	default:
		e.streamEvents(ctx, incarnation, a, w)
	}
}

// answer runs a request and writes its body, or aborts the response after the run.
func (e *soakEngine) answer(ctx context.Context, a enginehttp.ReceivedRequest, w *enginehttp.AnswerWriter) {
	if !sleep(ctx, durationOf(a.ID)) || abortsAnswer(a.ID) {
		w.Abort()
	}
	if err := w.WriteBody(answerOf(a.ID, a.Body)); err != nil {
		e.record.count("answers not received")
	}
}

// score answers a reward call according to its kind.
func (e *soakEngine) score(ctx context.Context, a enginehttp.ReceivedRequest, w *enginehttp.AnswerWriter) {
	kind := rewardKindOf(a.ID)
	work := durationOf(a.ID)
	if kind == rewardSlow {
		work = soakSlowRewardTime
	}
	switch {
	case !sleep(ctx, work), kind == rewardAbortsOnce && e.record.firstFailure(a.ID):
		w.Abort()
	case kind == rewardAlwaysFails, kind == rewardFailsOnce && e.record.firstFailure(a.ID):
		e.record.rewardFailed(a.ID)
		w.Fail(false)
		return
	}
	if err := w.WriteBody(answerOf(a.ID, a.Body)); err != nil {
		e.record.count("scores not received")
	}
}

// streamEvents produces the events of a text after the last one that the caller has.
func (e *soakEngine) streamEvents(ctx context.Context, incarnation int, a enginehttp.ReceivedRequest, w *enginehttp.AnswerWriter) {
	for n := a.After + 1; n <= eventCountOf(a.ID); n++ {
		if !sleep(ctx, soakEventInterval) {
			w.Abort()
		}
		version, ok := e.version(incarnation, a.Model)
		if !ok {
			w.Abort()
		}
		e.record.eventProduced(a.ID, n, version)
		if err := w.Event(n, version, eventOf(a.ID, n)); err != nil {
			e.record.count("events not received")
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
