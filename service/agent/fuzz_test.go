package agent

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// pendingRun is a request with its stream, which the entry may close early.
type pendingRun struct {
	key    string
	s      transport.Stream
	ch     chan answer
	closed bool
	// engineRuns is how many runs of the key the engine had recorded when the stream ended.
	engineRuns int
}

// fuzzer drives one agent with random requests and faults.
type fuzzer struct {
	*rig
	p       *publisher
	pending []*pendingRun
	// fenced are the keys that never ran according to the replies to their fences.
	fenced map[string]bool
	n      int
}

// bubbleTB hides the test's Deadline method, which must not be called in a synctest
// bubble.
type bubbleTB struct{ testing.TB }

// TestAgentFuzz drives an agent with random requests and faults, and compares its replies
// with the records of the stand-in engine.
func TestAgentFuzz(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(rt *rapid.T) {
			f := &fuzzer{p: &publisher{}, fenced: make(map[string]bool)}
			f.rig = newRig(t, engine.Options{Slots: 2, LoadTime: 300 * time.Millisecond}, func(c *Config) {
				c.Targets, c.Fencer, c.TargetInterval = f.p, countingFencer{}, time.Second
			})
			defer func() {
				f.engine.Thaw()
				f.close()
				time.Sleep(time.Second) // until the engine's loads have finished
			}()
			f.run(rt)
			f.engine.Thaw()
			for _, a := range f.pending {
				f.check(rt, a, <-a.ch)
			}
		})
	})
}

func (f *fuzzer) run(rt *rapid.T) {
	version := uint64(3)
	key := func(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key") }
	rt.Repeat(map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			f.n++
			req := generation(fmt.Sprintf("%s-%d", key(t), f.n))
			k, _, _ := strings.Cut(req.RunID, "-")
			req.Key, req.Generate.Prompt = "row/"+k, "prompt of "+k
			req.Budget = time.Duration(rapid.IntRange(1, 4000).Draw(t, "budget")) * time.Millisecond
			req.Retention = time.Duration(rapid.IntRange(0, 2).Draw(t, "linger")) * time.Second
			req.MinVersion = version - uint64(rapid.IntRange(0, 1).Draw(t, "behind"))
			a := &pendingRun{key: k, s: f.open(wire.Request{Run: req}), ch: make(chan answer, 1)}
			go func() {
				got := read(a.s)
				a.engineRuns = len(f.records(k))
				a.ch <- got
			}()
			f.pending = append(f.pending, a)
		},
		"leave": func(t *rapid.T) {
			if len(f.pending) > 0 {
				a := rapid.SampledFrom(f.pending).Draw(t, "asked")
				a.closed = true
				a.s.Close()
			}
		},
		"fence": func(t *rapid.T) {
			k := key(t)
			a := f.call(wire.Request{Fence: &wire.Fence{Key: "row/" + k}})
			if a.final.Fenced.State == wire.FenceNeverRan {
				f.fenced[k] = true
			}
		},
		"forget": func(t *rapid.T) {
			f.call(wire.Request{Forget: &wire.Forget{Keys: []string{"row/" + key(t)}}})
		},
		"publish": func(*rapid.T) { version++; f.p.publish(version) },
		"faults": func(t *rapid.T) {
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				f.engine.CutNextStream(8)
			case 1:
				f.engine.FailNextLoads(1)
			case 2:
				f.engine.LoseNextLoadReplies(1)
			case 3:
				f.engine.Crash()
			case 4:
				f.engine.Freeze()
			case 5:
				f.engine.Thaw()
			}
		},
		"pass": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			synctest.Wait()
			for k := range f.fenced {
				if len(f.records(k)) > 0 {
					t.Fatalf("the fence said that %s never ran, but the engine has a run of it", k)
				}
			}
			if rep := f.agent.Report(); rep.Running > 2 {
				t.Fatalf("an engine with two slots is reported as %+v", rep)
			}
		},
	})
}

// records returns the engine's records of a key's runs.
func (f *fuzzer) records(key string) []engine.Record {
	var found []engine.Record
	for _, rec := range f.engine.Records() {
		if rec.Prompt == "prompt of "+key {
			found = append(found, rec)
		}
	}
	return found
}

// check compares a received answer with the engine's records.
func (f *fuzzer) check(t *rapid.T, a *pendingRun, got answer) {
	switch {
	case got.final.Done != nil:
		rec := f.record(got.final.Done.RunID)
		if rec.Prompt != "prompt of "+a.key || got.final.Done.Text != rec.Text || fmt.Sprint(got.final.Done.Spans) != fmt.Sprint(rec.Spans) {
			t.Fatalf("%s got %+v, the engine made %+v", a.key, got.final.Done, rec)
		}
	case got.final.Refusal == nil:
		if !a.closed {
			t.Fatalf("%s got no final reply: %v", a.key, got.err)
		}
	case got.final.Refusal.NotRun == api.NotRunTrue && a.engineRuns > 0:
		t.Fatalf("%s ran %d times, but was refused as not run: %v", a.key, a.engineRuns, got.final.Refusal)
	}
}
