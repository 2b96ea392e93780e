package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"mulberryscale.example/fleet"
)

func init() { cases["streams-past-their-route-time"] = longStreams }

// longStreams sends streams that take longer than the time that the operator has just set for their
// route.
func longStreams(w *world, trouble bool) bool {
	const service, model, prefix, streams = "probe-models", "m0", "/chat/", 24
	const before, after = 20 * time.Second, 3 * time.Second // TimeoutMs of the two configurations
	const late = 500 * time.Millisecond
	plan := func(e *engine, r run) outcome { return outcome{status: http.StatusOK, events: 260} } // some 8 s
	for n := range 3 {
		w.engine(50+n, service, model, 16, plan)
	}
	config := func(version uint64, timeout time.Duration) *fleet.Config {
		return &fleet.Config{
			Version: version,
			Routes: []fleet.Route{{
				Name: "chat", Host: hostName, Prefix: prefix, Kind: fleet.KindStream, Backends: []fleet.Backend{{Service: service, Weight: 1}},
				Timeout: timeout, Objective: 400 * time.Millisecond, Priority: 1, MaxAttempts: 3, Resumable: true,
			}},
			Services: []fleet.Service{{Name: service, MaxConns: 140, Models: []string{model}}},
		}
	}
	w.configure(config(3, before))
	entries := []*machine{w.machine(10, "entry", ""), w.machine(11, "entry", "")}
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	timeout := before
	if trouble {
		timeout = after
		w.configure(config(9, after))
	}
	time.Sleep(5 * time.Second) // ConfigApplyMs, and StableMs
	var wg sync.WaitGroup
	var mu sync.Mutex
	lasted, unanswered := 0, 0
	for n := range streams {
		wg.Go(func() {
			id := fmt.Sprintf("stream-%d", n)
			took, end := w.readStream(entries[n%2], prefix+id, id)
			w.note("stream %s ended after %.2f s: %s", id, took.Seconds(), end)
			mu.Lock()
			defer mu.Unlock()
			if took > timeout {
				lasted++
			}
			if took > timeout+late {
				unanswered++
			}
		})
	}
	wg.Wait()
	w.note("%d of %d streams lasted longer than the TimeoutMs of %d; %d had no final answer %d ms after it", lasted, streams, timeout.Milliseconds(), unanswered, late.Milliseconds())
	for n := range streams {
		if id := fmt.Sprintf("stream-%d", n); w.runs[id] > 1 {
			w.note("%s was run %d times", id, w.runs[id])
		}
	}
	return !(unanswered >= 8 && 4*unanswered > lasted)
}

// readStream reads a stream to its end and returns how long that took.
func (w *world) readStream(entry *machine, target, id string) (took time.Duration, end string) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.settings.Clients+target, strings.NewReader("hello"))
	must(err)
	req.Host, req.GetBody = hostName, nil
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "20000")
	req.Header.Set("X-Model", "m0")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return time.Since(began), err.Error()
	}
	defer resp.Body.Close()
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	if lines.Err() != nil {
		return time.Since(began), fmt.Sprintf("status %d, %d events, then %v", resp.StatusCode, events, lines.Err())
	}
	return time.Since(began), fmt.Sprintf("status %d, %d events, complete", resp.StatusCode, events)
}
