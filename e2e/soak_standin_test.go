package e2e

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestSoakEngineStartsAgainAfterAnEarlyCrash crashes an engine right after its start, before its
// server has begun to serve: the address must be free at the next start.
func TestSoakEngineStartsAgainAfterAnEarlyCrash(t *testing.T) {
	w := &soakWorld{t: t, store: newSoakStore(), record: newRecord(), stop: make(chan struct{})}
	w.registry = &registry{store: w.store, rng: rand.New(rand.NewPCG(1, 1)), lastHeartbeat: map[string]time.Time{}}
	defer close(w.stop)
	e := &soakEngine{service: serviceDesk, zone: soakZones[0], listen: freeAddr(t), registry: w.registry, record: w.record}
	for i := range 300 {
		if err := e.start(false); err != nil {
			t.Fatalf("start %d: %v", i, err)
		}
		e.crash()
	}
}
