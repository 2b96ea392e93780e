package forward

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/quarantine"
)

// TestLoadWithContentThatCrashesEndpoints simulates a minute of the load of crashrig_test.go. At
// most two endpoints crash before the content is quarantined and one in its trial after half a
// minute, and every other request is served at its first or second attempt.
func TestLoadWithContentThatCrashesEndpoints(t *testing.T) {
	for seed := range uint64(5) {
		without := simulateCrashes(t, seed, false, false)
		with := simulateCrashes(t, seed, true, false)
		t.Logf("seed %d: %d crashes and %d of %d other requests unserved without the quarantine, %d and %d with it",
			seed, without.crashes, without.unserved, without.others, with.crashes, with.unserved)
		if with.crashes > quarantine.CrashLimit+1 || with.unserved > 0 {
			t.Errorf("seed %d: %d endpoints crashed, %d of %d other requests unserved", seed, with.crashes, with.unserved, with.others)
		}
	}
}

// TestCrashesUnderAGate guards against a budget for second sends that leaves requests unserved at
// ordinary load: with gates, crashes of endpoints cost as little as without.
func TestCrashesUnderAGate(t *testing.T) {
	for seed := range uint64(5) {
		with := simulateCrashes(t, seed, true, true)
		t.Logf("seed %d: %d crashes, %d of %d other requests unserved", seed, with.crashes, with.unserved, with.others)
		if with.crashes > quarantine.CrashLimit+1 || with.unserved > 0 {
			t.Errorf("seed %d: %d endpoints crashed, %d of %d other requests unserved", seed, with.crashes, with.unserved, with.others)
		}
	}
}

type crashResult struct{ crashes, others, unserved int }

// simulateCrashes runs a minute of the load with seven entries and three endpoints.
func simulateCrashes(t *testing.T, seed uint64, quarantined, gated bool) (p crashResult) {
	synctest.Test(t, func(t *testing.T) {
		const entries, length = 7, time.Minute
		r := newCrashRig(t, entries, 3, quarantined)
		if gated {
			r.withGates()
		}
		rng := rand.New(rand.NewPCG(seed, 0))
		began := time.Now()
		var all sync.WaitGroup
		all.Go(func() {
			own := rand.New(rand.NewPCG(seed, 1))
			for n := 0; time.Since(began) < length; n++ {
				_ = r.askWithRetry(own, fmt.Sprint("crash-", n), crashTarget) // may fail
				time.Sleep(2*time.Second + time.Duration(own.Int64N(int64(2*time.Second))))
			}
		})
		var mu sync.Mutex
		for n := 0; time.Since(began) < length; n++ {
			own := rand.New(rand.NewPCG(seed, uint64(n+2)))
			all.Go(func() {
				err := r.askWithRetry(own, fmt.Sprint("other-", n), fmt.Sprint("/p/", n))
				mu.Lock()
				defer mu.Unlock()
				p.others++
				if err != nil {
					p.unserved++
				}
			})
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / 6))
		}
		all.Wait()
		p.crashes = r.crashCount()
		time.Sleep(time.Minute) // the rig's timers
	})
	return p
}

// askWithRetry asks at one entry and, after a failure, at another a fifth of a second later.
func (r *crashRig) askWithRetry(rng *rand.Rand, id, target string) error {
	order := rng.Perm(len(r.entries))
	err := r.ask(order[0], id+"-1", target)
	if err == nil {
		return nil
	}
	time.Sleep(200 * time.Millisecond)
	return r.ask(order[1], id+"-2", target)
}
