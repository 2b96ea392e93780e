package e2e

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// The soak runs the programs of the users' platform as separate processes on
// loopback addresses, disturbs them from outside in an order that a seed
// draws, and checks what callers and engines see. By hand:
//
//	go test ./e2e -run 'TestSoak$' -soak.first 100 -soak.seeds 50 -soak.logs DIR
var (
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakSeeds = flag.Int("soak.seeds", 2, "number of seeds of the soak")
	soakLogs  = flag.String("soak.logs", "", "directory for the logs of seeds that failed")
	soakTime  = flag.Duration("soak.time", 8*time.Second, "how long a seed's faults go on")
)

// soakCases are seeds that failed once, each with its cause and the number of
// kinds of faults that it drew from.
var soakCases = []struct {
	seed  uint64
	kinds int
	cause string
}{
	// The program heard signals only once its settings were read.
	{15, 18, "SIGTERM within milliseconds of the start"},
	{16, 18, "SIGHUP within milliseconds of the start ended the process"},
	{18, 18, "SIGTERM within milliseconds of the start"},
	{43, 18, "SIGTERM within milliseconds of the start"},
	{45, 18, "SIGTERM within milliseconds of the start"},
}

// TestSoak plays seeds; those that failed once are always among them.
func TestSoak(t *testing.T) {
	for _, c := range soakCases {
		t.Run(fmt.Sprintf("case-%d", c.seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("failed once: %s", c.cause)
			soak(t, c.seed, c.kinds)
		})
	}
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { t.Parallel(); soak(t, seed, len(soakFaults)) })
	}
}

// soakSlot bounds how many deployments run at a time.
var soakSlot = make(chan struct{}, atOnce)

// soak plays one seed.
func soak(t *testing.T, seed uint64, kinds int) {
	soakSlot <- struct{}{}
	defer func() { <-soakSlot }()
	w := startSoak(t, seed)
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { w.client(fmt.Sprintf("caller-%d", i)).look(ctx) })
	}
	callers.Go(func() { w.client("rereader").reread(ctx) })
	callers.Go(func() { w.client("stranger").strange(ctx) })
	for _, model := range soakModels {
		callers.Go(func() { (&soakTrainer{soakClient: w.client("trainer-" + model), model: model}).run(ctx) })
	}
	w.disturb(kinds)
	cancel()
	callers.Wait()
	w.settle()
	w.settleKeys()
	w.settleUsage()
	if kinds == len(soakFaults) {
		w.settleCrashing("soak")
	}
	w.checkSecrets()
	for _, p := range w.record.problems {
		t.Error(p)
	}
	t.Logf("seed %d:%s", seed, w.record.summary())
}

// settle checks, once all is whole again, that everything is served and that
// every accepted job can be read to its end at every entry.
func (w *soakWorld) settle() {
	for _, m := range append(w.entries, w.agents...) {
		if !m.process.running() {
			w.record.problem("%s has ended by itself: %s", m.name, m.process.end())
			m.process.start()
		}
	}
	c := w.client("settler")
	for _, e := range w.entries {
		eventually(w.t, e.name+" is ready again", func() error { return ready(e.ip) })
		eventually(w.t, e.name+" serves", func() error {
			c.next++
			id := fmt.Sprintf("%s-%d", c.name, c.next)
			if !c.forward(w.t.Context(), e.front, id, http.MethodGet, prefixLook+id, false) {
				return fmt.Errorf("%s not served", id)
			}
			return nil
		})
	}
	for _, j := range w.record.acceptedJobs() {
		for _, e := range w.entries {
			eventually(w.t, fmt.Sprintf("job %s is read to its end at %s", j.id, e.name), func() error { return c.readAll(w.t.Context(), e.front, j) })
		}
	}
	w.record.checkRefused()
}
