package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulberryscale.example/fleet"
)

func init() { cases["large-bodies"] = largeBodies }

const (
	frontMemoryMB = 284      // of a front machine, as on the sheet
	largeBody     = 16 << 20 // half of MaxBodyBytes
	usualBody     = 3600     // the largest request of the sheet
	largeClients  = 16       // clients of a zone, as in the site file
	keptClients   = 10       // clients with a kept connection
	lookupTime    = 190 * time.Millisecond
	lostBound     = 3 // of LOST, for kept connections
)

// largeBodies has the clients of a zone send requests within the operator's MaxBodyBytes at the same
// time, while other clients make lookups on kept connections.
func largeBodies(w *world, trouble bool) bool {
	const service, prefix = "call-desk", "/look/"
	size := largeBody
	if !trouble {
		size = usualBody
	}
	plan := func(e *engine, r run) outcome {
		return outcome{status: http.StatusOK, body: "found", takes: lookupTime}
	}
	for n := range 4 {
		w.engine(50+n, service, "", 6, plan)
	}
	w.configure(&fleet.Config{
		Version: 3,
		Routes: []fleet.Route{{
			Name: "respondent-lookup", Host: hostName, Prefix: prefix, Kind: fleet.KindSafe, Backends: []fleet.Backend{{Service: service, Weight: 1}},
			Timeout: 10 * time.Second, Objective: 150 * time.Millisecond, Priority: 2, MaxAttempts: 3,
		}},
		Services: []fleet.Service{{Name: service, MaxConns: 110}},
	})
	entries := []*machine{w.machine(10, "entry", ""), w.machine(11, "entry", "")}
	for _, e := range entries {
		e.start()
		e.watchMemory(frontMemoryMB)
	}
	for _, e := range entries {
		e.awaitReady()
	}
	time.Sleep(2 * time.Second)

	var kept keptLookups
	done := make(chan struct{})
	var lookups sync.WaitGroup
	for c := range keptClients {
		lookups.Go(func() { kept.run(w, entries[c%2], fmt.Sprintf("kept-%d", c), prefix, done) })
	}
	body := make([]byte, size)
	for round := range 4 {
		var wg sync.WaitGroup
		for c := range largeClients {
			wg.Go(func() {
				for try := range 2 { // the client's attempt and its retry at another node
					entry := entries[(round+try)%2]
					id := fmt.Sprintf("large-%d-%d-%d", round, c, try)
					ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
					status, _, _, err := w.call(ctx, entry, http.MethodPost, prefix+id, id, map[string]string{"X-Deadline-Ms": "8000"}, body)
					cancel()
					w.note("%s with %d bytes sent to %s: status %d, %v", id, size, entry.name, status, err)
					if status == http.StatusOK {
						return
					}
				}
			})
		}
		wg.Wait()
		time.Sleep(3 * time.Second)
	}
	close(done)
	lookups.Wait()
	for _, m := range entries {
		w.note("%s was killed %d times for its memory", m.name, m.kills)
	}
	w.note("%d lookups on kept connections were answered; %d were passed on to a sound engine and their connection ended without an answer, at most %d are allowed",
		kept.answered.Load(), kept.lost.Load(), lostBound)
	return kept.lost.Load() <= lostBound
}

// keptLookups are lookups on kept connections.
type keptLookups struct{ answered, lost atomic.Int64 }

// run makes lookups one after the other on one connection for as long as that lasts.
func (k *keptLookups) run(w *world, entry *machine, name, prefix string, done chan struct{}) {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d", name, n)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.settings.Clients+prefix+id, strings.NewReader("open sites"))
		must(err)
		req.Host, req.GetBody = hostName, nil // sent once
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", "5000")
		resp, err := transport.RoundTrip(req)
		status := 0
		if err == nil {
			status = resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		cancel()
		w.mu.Lock()
		passedOn := w.runs[id] > 0
		w.mu.Unlock()
		switch {
		case err == nil:
			k.answered.Add(1)
		case passedOn:
			k.lost.Add(1)
			w.note("%s was passed on by %s, and its connection ended: %v", id, entry.name, err)
		default:
			time.Sleep(100 * time.Millisecond) // the entry is down
		}
		if err == nil && status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
