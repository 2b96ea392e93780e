package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"mulberryscale.example/batch"
	"mulberryscale.example/fleet"
	"mulberryscale.example/platform/enginehttp"
)

// modelEngine stands in for a model engine: it answers each item with a stream of events.
type modelEngine struct {
	w           *world
	id, service string
	machine     int
	slots       int
	model       string
	events      int
	gap         time.Duration

	mu        sync.Mutex
	running   int
	version   uint64
	sequence  uint64
	startedAt int64
	runs      map[string]int
	done      map[string]int
}

// startModelEngine starts an engine on a machine and registers it.
func (w *world) startModelEngine(e *modelEngine) {
	e.w, e.id, e.version = w, fmt.Sprintf("i-%s-%d", e.service, e.machine), 1
	e.runs, e.done, e.startedAt = map[string]int{}, map[string]int{}, time.Now().UnixMilli()
	w.serve(w.addr(e.machine, portEngine), w.counted(e, enginehttp.Handler(e)))
	stop := make(chan struct{})
	w.onClose(func() { close(stop) })
	w.register(fleet.Instance{
		ID: e.id, Service: e.service, Addr: w.addr(e.machine, portEngine), Zone: "hall-a", Slots: e.slots, StartedAt: e.startedAt,
		Versions: map[string]uint64{e.model: 1},
	}, stop)
}

// counted passes requests on to the engine's handler; a scenario may look at their headers there.
func (w *world) counted(e *modelEngine, next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.onItem != nil && strings.HasPrefix(r.URL.Path, "/pufi791/") {
			w.onItem(e, r)
		}
		next.ServeHTTP(rw, r)
	})
}

// Report implements enginehttp.StandIn.
func (e *modelEngine) Report() batch.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return batch.Report{StartedAt: e.startedAt, Sequence: e.sequence, Running: e.running, Versions: maps.Clone(map[string]uint64{e.model: e.version})}
}

// Order implements enginehttp.StandIn.
func (e *modelEngine) Order(o batch.Order) enginehttp.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Instance != e.id:
		return enginehttp.OrderMisdirected
	case e.version >= o.Version:
		return enginehttp.OrderAlreadyApplied
	case o.Sequence != e.sequence:
		return enginehttp.OrderConflict
	}
	e.sequence++
	e.version = o.Version
	return enginehttp.OrderAccepted
}

// Run implements enginehttp.StandIn.
func (e *modelEngine) Run(ctx context.Context, a enginehttp.ReceivedRequest, aw *enginehttp.AnswerWriter) {
	e.mu.Lock()
	misdirected := a.Instance != "" && a.Instance != e.id
	if misdirected || e.running >= e.slots {
		e.mu.Unlock()
		aw.Decline(misdirected)
		return
	}
	e.running++
	e.runs[a.ID]++
	version := e.version
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.w.note("%s: runs item %s after event %d", e.id, a.ID, a.After)
	aw.Accept(e.id + "." + a.ID)
	for n := a.After + 1; n <= e.events; n++ {
		select {
		case <-ctx.Done():
			aw.Abort()
		case <-time.After(e.gap):
		}
		if aw.Event(n, version, fmt.Sprintf("event %d of %s", n, a.ID)) != nil {
			aw.Abort()
		}
	}
	e.mu.Lock()
	e.done[a.ID]++
	e.mu.Unlock()
}
