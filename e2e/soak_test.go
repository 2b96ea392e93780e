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
// loopback addresses, injects faults from outside in an order that a seed
// determines, and checks what callers and engines see. To run it by hand:
//
//	go test ./e2e -run 'TestSoak$' -soak.first 100 -soak.seeds 50 -soak.logs DIR
var (
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakSeeds = flag.Int("soak.seeds", 3, "number of seeds of the soak")
	soakLogs  = flag.String("soak.logs", "", "directory for the logs of seeds that failed")
	soakTime  = flag.Duration("soak.time", 8*time.Second, "how long a seed's faults go on")
)

// soakCases are seeds that failed in the past, each with the cause and the number of
// fault kinds that it drew from.
var soakCases = []struct {
	seed  uint64
	kinds int
	cause string
}{
	// The program handled signals only after it had read its settings.
	{15, 18, "SIGTERM within milliseconds of the start"},
	{16, 18, "SIGHUP within milliseconds of the start ended the process"},
	{18, 18, "SIGTERM within milliseconds of the start"},
	{43, 18, "SIGTERM within milliseconds of the start"},
	{45, 18, "SIGTERM within milliseconds of the start"},
	{6018, 23, "a duty call arrived seconds after its sender had given it up"},
	{6044, 23, "entries read requests seconds after they were sent"},
	// The soak took the refusal of a repeated send for one of the first send.
	{207, 23, "net/http sent a request of the crowd twice"},
}

// TestSoak runs seeds; those that failed in the past are always among them.
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

// soakWorldSlots limits how many deployments run at a time.
var soakWorldSlots = make(chan struct{}, maxDeployments)

// soak runs one seed.
func soak(t *testing.T, seed uint64, kinds int) {
	soakWorldSlots <- struct{}{}
	defer func() { <-soakWorldSlots }()
	var copies *answerCopies
	if copiesAnswers(seed, kinds) {
		copies = &answerCopies{}
	}
	w := startSoakWith(t, seed, soakVariant{crowded: crowded(seed, kinds), copies: copies, split: splitsRoutes(seed, kinds)})
	if copies != nil {
		copies.on.Store(true)
	}
	w.largeJobs = kinds == len(soakFaults) && !w.crowded
	if w.largeJobs {
		w.store.rows.SlowObjects(soakObjectTime)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { w.client(fmt.Sprintf("caller-%d", i)).sendRequests(ctx) })
	}
	callers.Go(func() { w.client("rereader").reread(ctx) })
	callers.Go(func() { w.client("stranger").sendUnknownKeys(ctx) })
	for _, model := range soakModels {
		callers.Go(func() { (&soakTrainer{soakClient: w.client("trainer-" + model), model: model}).run(ctx) })
	}
	if w.crowded {
		callers.Go(func() { w.sendCrowd(ctx) })
	}
	w.injectFaults(kinds)
	if copies != nil {
		copies.on.Store(false)
		t.Logf("%d answers sent again", copies.copied.Load())
	}
	cancel()
	callers.Wait()
	w.checkRecovery()
	w.checkKeyRotation()
	w.checkUsageReports()
	if kinds == len(soakFaults) {
		w.checkCrashingRequest("soak")
		w.checkItemsAfterCrashes("soak")
		if w.split {
			w.checkJobWithoutItsAgent("soak")
		}
		w.checkStopBesideLongRequests()
	}
	w.checkSecrets()
	for _, p := range w.record.problems {
		t.Error(p)
	}
	t.Logf("seed %d:%s", seed, w.record.summary())
}

// checkRecovery checks, after all faults are repaired, that every entry serves and that
// every accepted job can be read to its end at every entry.
func (w *soakWorld) checkRecovery() {
	for _, m := range append(w.entries, w.agents...) {
		if !m.process.running() {
			w.record.problem("%s has ended by itself: %s", m.name, m.process.exitReport())
			m.process.start()
		}
	}
	c := w.client("settler")
	for _, e := range w.entries {
		eventually(w.t, e.name+" is ready again", func() error { return ready(e.ip) })
		eventually(w.t, e.name+" serves", func() error {
			c.next++
			id := fmt.Sprintf("%s-%d", c.name, c.next)
			if !c.forward(w.t.Context(), e.clientAddr, id, http.MethodGet, prefixLook+id, false) {
				return fmt.Errorf("%s not served", id)
			}
			return nil
		})
	}
	for _, j := range w.record.acceptedJobs() {
		for _, e := range w.entries {
			eventually(w.t, fmt.Sprintf("job %s is read to its end at %s", j.id, e.name), func() error { return c.readAll(w.t.Context(), e.clientAddr, j) })
		}
	}
	w.record.checkRefused()
}
