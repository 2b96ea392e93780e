package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"mulberryscale.example/fleet"
)

func init() { cases["late-copy-of-a-failure"] = lateCopy }

const (
	itemAttempts = 3 // MaxAttempts of the route, as in the site file
	lateItems    = 180
	lateSlots    = 8
)

// lateCopy has one engine of three send one of its answers a second time, late. The answer is the
// 500 to an item that fails twice and succeeds at its third run.
func lateCopy(w *world, trouble bool) bool {
	const service, model, prefix = "probe-models", "m0", "/probe/"
	spoilt := false // set by the one run that is on its way then
	plan := func(e *engine, r run) outcome {
		if !strings.HasPrefix(r.id, "frail-") {
			return outcome{status: http.StatusOK, events: 5}
		}
		if w.endingsOf(r.id, http.StatusInternalServerError) >= itemAttempts-1 {
			return outcome{status: http.StatusOK, events: 5}
		}
		o := outcome{status: http.StatusInternalServerError, takes: 20 * time.Millisecond}
		if trouble && !spoilt {
			spoilt, o.copyLater = true, true
		}
		return o
	}
	for n := range 3 {
		w.engine(50+n, service, model, lateSlots, plan)
	}
	w.configure(&fleet.Config{
		Version: 3,
		Routes: []fleet.Route{{
			Name: "probe-rollout", Host: hostName, Prefix: prefix, Kind: fleet.KindBatch, Backends: []fleet.Backend{{Service: service, Weight: 1}},
			Timeout: 10 * time.Second, Objective: 400 * time.Millisecond, Priority: 1, MaxAttempts: itemAttempts,
			ItemTTL: 40 * time.Second, RunTarget: 7500 * time.Millisecond,
		}},
		Services: []fleet.Service{{Name: service, MaxConns: 140, Models: []string{model}}},
	})
	entry := w.machine(10, "entry", "")
	entry.start()
	for n := range 3 {
		w.machine(50+n, "agent", service).start()
	}
	entry.awaitReady()
	time.Sleep(2 * time.Second)

	j := &job{id: "7c41e09b52d6a3f8", prefix: prefix, Step: 1, Model: model, MinVersion: 1, GroupCount: lateItems / 4}
	frail := "frail-0"
	for n := range lateItems {
		id := fmt.Sprintf("item-%d", n)
		x := newItem(prefix, id, model, fmt.Sprintf("g%d", n/4))
		if n == 0 {
			x = newItem(prefix, frail, model, "g0")
			x.Tokens = 480 // a longer item starts first
		}
		j.Requests = append(j.Requests, x)
	}
	w.submit(j, entry)
	found := w.read(j, 45*time.Second, func(found map[string]result) bool { return len(found) == lateItems }, entry)
	answers := map[string]int{}
	w.mu.Lock()
	for _, e := range w.endings {
		answers[e.engine]++
	}
	w.mu.Unlock()
	w.note("answers by engine, of which one engine has sent %d a second time: %v", spoiltCount(spoilt), answers)
	failures := w.endingsOf(frail, http.StatusInternalServerError)
	w.note("%d of %d items are listed; %s is listed as %q; engines answered it %d times with 500, and MaxAttempts is %d",
		len(found), lateItems, frail, found[frail].State, failures, itemAttempts)
	return !(found[frail].State == "crashed" && failures < itemAttempts)
}

func spoiltCount(spoilt bool) int {
	if spoilt {
		return 1
	}
	return 0
}
