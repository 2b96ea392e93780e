package main

import (
	"fmt"
	"net/http"
	"time"

	"mulberryscale.example/fleet"
)

func init() { cases["split-route-loses-its-small-pool"] = splitRoute }

const (
	stepDeadline = 12 * time.Second // of the trainer, as on the sheet
	idleBound    = 5 * time.Second  // of LOST, for an item that is at no engine in steady state
	stableTime   = 3 * time.Second  // StableMs
	itemTTL      = 40 * time.Second
)

// splitRoute splits a trainer's route over a pool of five engines and a new pool of one, and loses
// that one for good while a step runs.
func splitRoute(w *world, trouble bool) bool {
	const oldPool, newPool, model, prefix = "probe-models", "probe-models-new", "m0", "/probe/"
	const oldEngines, items, groupSize, events, slots = 5, 24, 4, 40, 6
	plan := func(e *engine, r run) outcome { return outcome{status: http.StatusOK, events: events} }
	var old []*engine
	for n := range oldEngines {
		old = append(old, w.engine(50+n, oldPool, model, slots, plan))
	}
	small := w.engine(60, newPool, model, slots, plan)
	route := fleet.Route{
		Name: "probe-rollout", Host: hostName, Prefix: prefix, Kind: fleet.KindBatch,
		Backends: []fleet.Backend{{Service: oldPool, Weight: 90}, {Service: newPool, Weight: 10}},
		Timeout:  10 * time.Second, Objective: 400 * time.Millisecond, Priority: 1, MaxAttempts: itemAttempts,
		ItemTTL: itemTTL, RunTarget: 7500 * time.Millisecond,
	}
	w.configure(&fleet.Config{
		Version: 3, Routes: []fleet.Route{route},
		Services: []fleet.Service{{Name: oldPool, MaxConns: 140, Models: []string{model}}, {Name: newPool, MaxConns: 140, Models: []string{model}}},
	})
	entry := w.machine(10, "entry", "")
	entry.start()
	for n := range oldEngines {
		w.machine(50+n, "agent", oldPool).start()
	}
	w.machine(60, "agent", newPool).start()
	entry.awaitReady()
	time.Sleep(2 * time.Second)

	// One job in ten goes to the small pool: this is one.
	j := &job{prefix: prefix, Step: 1, Model: model, MinVersion: 1, GroupCount: items / groupSize}
	for n := 0; j.id == "" || route.Backend(j.id) != newPool; n++ {
		j.id = fmt.Sprintf("7c41e09b52d6%04x", n)
	}
	for n := range items {
		j.Requests = append(j.Requests, newItem(prefix, fmt.Sprintf("item-%d", n), model, fmt.Sprintf("g%d", n/groupSize)))
	}
	w.submit(j, entry)
	accepted := time.Now()
	calm := accepted.Sub(w.began) // from when on the state is steady
	if trouble {
		time.AfterFunc(time.Second, small.crash)
		calm += time.Second + stableTime
	}
	all := func(found map[string]result) bool { return len(found) == items }
	found := w.read(j, time.Until(accepted.Add(stepDeadline)), all, entry)
	stopped := time.Since(w.began)
	w.note("the trainer has read %d of %d items %.1f s after the 202", len(found), items, time.Since(accepted).Seconds())
	lost := 0
	for _, x := range j.Requests {
		if idle, unfinished := w.idleSince(x.Id, calm, stopped); unfinished && idle >= idleBound {
			w.note("%s, which no engine has finished or failed, has been at no engine for %.1f s of steady state", x.Id, idle.Seconds())
			lost++
		}
	}
	for _, e := range old {
		e.mu.Lock()
		w.note("engine %s of the pool %s runs %d requests in %d slots", e.id, e.service, e.running, e.slots)
		e.mu.Unlock()
	}
	if lost > 0 && trouble {
		rest := w.read(j, time.Until(accepted.Add(itemTTL+6*time.Second)), all, entry)
		w.note("%.1f s after the 202, %d further items are listed", time.Since(accepted).Seconds(), len(rest)-len(found))
	}
	return lost == 0
}

// idleSince returns for how long an item has been at no engine since the state is steady, and whether no
// engine has finished or failed it. Times count from the beginning of the world.
func (w *world) idleSince(id string, calm, now time.Duration) (idle time.Duration, unfinished bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, ended := calm, 0
	for _, e := range w.endings {
		if e.id != id {
			continue
		}
		if e.status != 0 {
			return 0, false
		}
		last = max(last, e.at)
		ended++
	}
	if ended < w.runs[id] {
		return 0, true // an engine works on it
	}
	return now - last, true
}
