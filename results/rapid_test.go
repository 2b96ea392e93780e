package results

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/api"
	"mulberryscale.example/wire"
)

// keyModel is the reference model's state of a key.
type keyModel struct {
	starts  int // how often the key was sent to the endpoint
	active  int // runs of the key that are on the endpoint
	done    bool
	fenced  bool // fenced with the answer "never ran"
	dropped bool // its result may be gone
}

// TestKeyRunsOnce runs random operations on a store and compares it with a model.
func TestKeyRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Options{AnswerRetention: 30 * time.Second})
		now := start
		model := map[string]*keyModel{"n1": {}, "n2": {}, "i1": {}, "i2": {}}
		keys := []string{"n1", "n2", "i1", "i2"}
		var queued, running []*Run
		var readers []*Reader
		key := func(t *rapid.T) string { return rapid.SampledFrom(keys).Draw(t, "key") }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				k := key(t)
				req := generation(k, time.Duration(rapid.IntRange(0, 20).Draw(t, "retention"))*time.Second)
				req.NonIdempotent = k[0] == 'n'
				r, refusal := s.Begin(now, req, nil)
				if refusal != nil {
					if refusal.NotRun == api.NotRunTrue && model[k].starts > 0 {
						t.Fatalf("%s ran but was refused as not run", k)
					}
					return
				}
				readers = append(readers, r)
				if !r.Attached() {
					queued = append(queued, r.Run())
				}
			},
			"start": func(t *rapid.T) {
				if len(queued) == 0 {
					return
				}
				run := queued[0]
				queued = queued[1:]
				k := model[run.key]
				if !run.Start() {
					return
				}
				k.starts++
				k.active++
				running = append(running, run)
				switch {
				case k.fenced:
					t.Fatalf("%s started after it was fenced", run.key)
				case run.nonIdempotent && k.starts > 1:
					t.Fatalf("%s started %d times", run.key, k.starts)
				case k.done && !k.dropped:
					t.Fatalf("%s started although its result is kept", run.key)
				}
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				run := running[0]
				running = running[1:]
				k := model[run.key]
				k.active--
				if rapid.Bool().Draw(t, "fails") {
					run.Fail(now, &api.Refusal{Code: api.CodeEndpointFailed, NotRun: api.NotRunFalse})
					return
				}
				run.FinishText(now, "stop")
				if run.State() == StateDone {
					k.done, k.dropped = true, run.retention == 0
				}
			},
			"leave": func(t *rapid.T) {
				if len(readers) > 0 {
					readers[0].Close(now)
					readers = readers[1:]
				}
			},
			"fence": func(t *rapid.T) {
				k := key(t)
				state, refusal := s.Fence(now, k)
				if refusal != nil {
					t.Fatal(refusal)
				}
				if (state == wire.FenceNeverRan) != (model[k].starts == 0) {
					t.Fatalf("fence of %s says %d, it started %d times", k, state, model[k].starts)
				}
				model[k].fenced = state == wire.FenceNeverRan
			},
			"forget": func(t *rapid.T) {
				k := key(t)
				s.Forget(now, []string{k})
				model[k].dropped = true
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second)
				s.Sweep(now)
				for _, k := range model {
					k.dropped = true
				}
			},
		})
	})
}
