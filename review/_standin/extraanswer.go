package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mulberryscale.example/fleet"
)

// extraAnswer sends requests of an unsafe route, at times more than two engines have room for, while
// one of the two sends a second copy of 3 in 100 of its answers. It returns whether a request ran
// twice, or was answered 429, 503, 408 or 421 and has run.
func extraAnswer(w *world) bool {
	const (
		service = "desk"
		// The disruption comes in spells, with a rest between two.
		spells    = 3
		spellTime = 5 * time.Second
		restTime  = 2 * time.Second
		// Groups of callers come at once, and others come one by one in between.
		groupInterval = 400 * time.Millisecond
		groupSize     = 76
		interval      = 20 * time.Millisecond
	)
	w.startStore()
	w.configure(routes(1, []fleet.Service{{Name: service, MaxConns: 96}}, fleet.Route{
		Name: "bookings", Host: host, Prefix: "/book/", Kind: fleet.KindUnsafe, Backends: []fleet.Backend{{Service: service, Weight: 1}},
		Timeout: 2 * time.Second, Objective: 150 * time.Millisecond, Priority: 2, MaxAttempts: 2,
	}))
	engines := []*plainEngine{
		{service: service, machine: 21, slots: 6, queue: 24, work: 25 * time.Millisecond, extraEvery: 34},
		{service: service, machine: 22, slots: 6, queue: 24, work: 25 * time.Millisecond},
	}
	for _, e := range engines {
		w.startPlainEngine(e)
	}
	w.startEntry("front-hall-a-1", 11)
	w.startEntry("front-hall-a-2", 12)
	w.awaitReady(11)
	w.awaitReady(12)
	var mu sync.Mutex
	answers := map[string]int{}
	var wg sync.WaitGroup
	send := func(n int) {
		id := fmt.Sprintf("%016x", rand.Uint64())
		entry := 11 + n%2
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			w.note("client: sends %s to machine %d", id, entry)
			a, err := w.call(ctx, entry, "POST", "/book/seats", id, map[string]string{"X-Deadline-Ms": "2000"}, []byte("two seats"))
			w.note("client: %s answered %d %q, error %v", id, a.status, a.body, err)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a.status
		})
	}
	traffic := func(d time.Duration) {
		began := time.Now()
		for group := time.Duration(0); time.Since(began) < d; {
			if time.Since(began) >= group*groupInterval {
				group++
				for n := range groupSize {
					send(n)
				}
			}
			send(rand.IntN(2))
			time.Sleep(interval)
		}
	}
	for spell := range spells {
		engines[0].setFaulty(trouble())
		w.note("spell %d begins", spell+1)
		traffic(spellTime)
		engines[0].setFaulty(false)
		w.note("spell %d ends", spell+1)
		traffic(restTime)
	}
	wg.Wait()
	time.Sleep(time.Second)
	broken, runs, total, extras := false, 0, 0, 0
	for id, status := range answers {
		n := 0
		for _, e := range engines {
			e.mu.Lock()
			n += e.runs[id]
			e.mu.Unlock()
		}
		runs += n
		if n > 1 {
			w.note("TWICE: %s of an unsafe route ran %d times, answered %d", id, n, status)
			broken = true
		}
		if n > 0 && (status == 429 || status == 503 || status == 408 || status == 421) {
			w.note("REFUSED: %s of an unsafe route was answered %d and has run", id, status)
			broken = true
		}
	}
	for _, e := range engines {
		total += e.answers
		extras += e.extras
		w.note("%s: %d answers, %d of them declines, %d second copies", e.id, e.answers, e.declined, e.extras)
	}
	w.note("%d requests, %d runs, %d answers of engines, %d second copies", len(answers), runs, total, extras)
	if runs == 0 {
		fail("no request ran")
	}
	return broken
}
