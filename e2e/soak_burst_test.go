package e2e

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Items are owed until they are done, whatever happens to the engines that run them. Once, items under which three
// engines had crashed were sent to no engine any more.

const (
	// burstWaves is how often the engines crash under the same items, burstDowntime how long they are down.
	burstWaves    = 5
	burstDowntime = 150 * time.Millisecond
	// minBurstEvents is the least number of events of an item, so that it is not done before the last wave.
	minBurstEvents = 28
)

// crashModelEngines crashes a number of model engines at the same moment and starts them again, but for those that
// another fault holds.
func (w *soakWorld) crashModelEngines(rng *rand.Rand, count int) {
	var crashed []*soakInstance
	for _, i := range rng.Perm(len(w.agents))[:count] {
		if a := w.agents[i]; a.engine.faultLock.TryLock() {
			defer a.engine.faultLock.Unlock()
			a.link.stopListening()
			a.engine.crash()
			crashed = append(crashed, a)
		}
	}
	time.Sleep(burstDowntime)
	for _, a := range crashed {
		w.startEngineAgain(a.engine)
		if err := a.link.listenAgain(); err != nil {
			w.record.problem("link of %s: %v", a.name, err)
		}
	}
}

// crashInBursts crashes up to all model engines several times in a row.
func (w *soakWorld) crashInBursts(rng *rand.Rand) {
	for range 3 + rng.IntN(burstWaves) {
		w.crashModelEngines(rng, 1+rng.IntN(len(w.agents)))
		sleepBetween(rng, 100, 500)
	}
}

// burstGroups returns groups of long items.
func burstGroups(name string) [][]string {
	var ids []string
	for n := 0; len(ids) < soakGroups*soakGroupItems; n++ {
		if id := fmt.Sprintf("burst-%s-%d", name, n); eventCountOf(id) >= minBurstEvents {
			ids = append(ids, id)
		}
	}
	return slices.Collect(slices.Chunk(ids, soakGroupItems))
}

// runningItems returns the number of runs at all model engines.
func (w *soakWorld) runningItems() (n int) {
	for _, a := range w.agents {
		a.engine.mu.Lock()
		n += a.engine.running
		a.engine.mu.Unlock()
	}
	return n
}

// checkItemsAfterCrashes crashes all model engines several times while they run the items of a job, and checks that all
// items are done once the engines are back.
func (w *soakWorld) checkItemsAfterCrashes(name string) {
	t := &soakTrainer{soakClient: w.client("crash-trainer-" + name), model: soakModels[0]}
	j := &soakJob{id: "job-burst-" + name, organisation: t.organisation, minVersion: 1}
	groups := burstGroups(name)
	body := t.encodeJob(j, 0, groups)
	w.record.addJob(j)
	if !t.submit(w.t.Context(), j, body, groups) {
		w.record.problem("job %s: not accepted", j.id)
		return
	}
	rng := rand.New(rand.NewPCG(w.seed, 3))
	for range burstWaves {
		eventually(w.t, "items run", func() error {
			if n := w.runningItems(); n < len(groups) {
				return fmt.Errorf("%d items run", n)
			}
			return nil
		})
		w.crashModelEngines(rng, len(w.agents))
		w.record.count("waves of crashes")
	}
	eventually(w.t, "all items are done after the crashes", func() error { return t.readAll(w.t.Context(), t.entry(), j) })
	t.endJob(j)
}

// TestItemsUnderWhichEnginesCrashedAreDone guards against items that no engine gets any more because several engines
// have crashed under them, without any other fault.
func TestItemsUnderWhichEnginesCrashedAreDone(t *testing.T) {
	w := startSoak(t, 1)
	w.checkItemsAfterCrashes("calm")
	for _, p := range w.record.problems {
		t.Error(p)
	}
	t.Log(w.record.summary())
}
