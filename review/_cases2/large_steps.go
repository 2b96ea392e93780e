package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"mulberryscale.example/fleet"
)

func init() { cases["large-steps"] = largeSteps }

const (
	sideMemoryMB  = 216             // of a side machine, as on the sheet
	stepInterval  = 4 * time.Second // "a batch job each 4 s"
	stepItems     = 1024
	endsOfFault   = 3 // ends of a process by itself that make a fault
	hostsOfFault  = 2 // machines on which they make one
	largeItem     = 10000
	usualItem     = 600 // bytes of an item's body on the sheet
	stepsTime     = 90 * time.Second
	stepTrainers  = 4
	stepGroupSize = 8
)

// largeSteps has four trainers take steps of 1,024 samples. Each ends its job before it asks for the
// next step.
func largeSteps(w *world, trouble bool) bool {
	const service, model, prefix = "probe-models", "m0", "/probe/"
	w.brief = true
	size := largeItem
	if !trouble {
		size = usualItem
	}
	plan := func(e *engine, r run) outcome { return outcome{status: http.StatusOK, events: 2} }
	for n := range 4 {
		w.engine(50+n, service, model, 16, plan)
	}
	w.configure(&fleet.Config{
		Version: 3,
		Routes: []fleet.Route{{
			Name: "probe-rollout", Host: hostName, Prefix: prefix, Kind: fleet.KindBatch, Backends: []fleet.Backend{{Service: service, Weight: 1}},
			Timeout: 10 * time.Second, Objective: 400 * time.Millisecond, Priority: 1, MaxAttempts: itemAttempts,
			ItemTTL: itemTTL, RunTarget: 7500 * time.Millisecond,
		}},
		Services: []fleet.Service{{Name: service, MaxConns: 140, Models: []string{model}}},
	})
	entries := []*machine{w.machine(10, "entry", ""), w.machine(11, "entry", "")}
	for _, e := range entries {
		e.start()
		e.watchMemory(frontMemoryMB)
	}
	var agents []*machine
	for n := range 4 {
		a := w.machine(50+n, "agent", service)
		agents = append(agents, a)
		a.start()
		a.watchMemory(sideMemoryMB)
	}
	for _, e := range entries {
		e.awaitReady()
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(stepsTime)
	var trainers sync.WaitGroup
	for t := range stepTrainers {
		trainers.Go(func() {
			for step := 0; time.Now().Before(end); step++ {
				began := time.Now()
				w.largeStep(t, step, size, model, prefix, entries)
				time.Sleep(time.Until(began.Add(stepInterval)))
			}
		})
	}
	trainers.Wait()
	machines := 0
	for _, m := range append(entries, agents...) {
		w.note("%s was killed %d times for its memory", m.name, m.kills)
		if m.kills >= endsOfFault {
			machines++
		}
	}
	return machines < hostsOfFault
}

// largeStep takes one step: it submits a job, reads it until nine tenths of it are done, and ends it.
func (w *world) largeStep(trainer, step, size int, model, prefix string, entries []*machine) {
	j := &job{id: fmt.Sprintf("%d-step-%d", trainer, step), prefix: prefix, Step: step, Model: model, MinVersion: 1, GroupCount: stepItems / stepGroupSize}
	for n := range stepItems {
		x := newItem(prefix, fmt.Sprintf("%s-item-%d", j.id, n), model, fmt.Sprintf("g%d", n/stepGroupSize))
		x.Body = make([]byte, size)
		for i := range x.Body {
			x.Body[i] = byte(rand.Uint32())
		}
		j.Requests = append(j.Requests, x)
	}
	w.submit(j, entries[trainer%2], entries[(trainer+1)%2])
	found := w.read(j, stepDeadline, func(found map[string]result) bool { return len(found) >= stepItems*9/10 }, entries[trainer%2], entries[(trainer+1)%2])
	runs := 0
	w.mu.Lock()
	for _, x := range j.Requests {
		runs += w.runs[x.Id]
	}
	w.mu.Unlock()
	w.note("step %s ends with %d of %d items listed; they were run %d times", j.id, len(found), stepItems, runs)
	w.end(j, entries[trainer%2])
}
