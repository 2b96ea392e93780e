package rollout_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/internal/oracle"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/observe"
	"mulberryscale.example/retry"
	"mulberryscale.example/rollout"
	"mulberryscale.example/service/entry"
	"mulberryscale.example/trainer"
)

const (
	testRow   = "learner"
	testModel = "guide"
	testSlots = 4
	testTable = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
learner,trainer,guide,1,1,,,,4000,10m,%g,%s,,at_once,
`
)

// rig is a deployment of one entry and some engines, with a trainer client.
type rig struct {
	t         *testing.T
	d         *deployment.Deployment
	fabric    *deployment.Memory
	client    *trainer.Client
	received  map[string][]api.Sample // by sample id
	requested map[string]api.SampleRequest
}

// startRig starts a rig; it must be called in a bubble of testing/synctest.
func startRig(t *testing.T, engines int, waitShare float64, leftover string, policy rollout.Policy) *rig {
	r := &rig{t: t, fabric: deployment.NewMemory(), received: map[string][]api.Sample{}, requested: map[string]api.SampleRequest{}}
	opts := deployment.Options{
		Fabric: r.fabric, Table: fmt.Sprintf(testTable, waitShare, leftover), Log: observe.Discard(), Seed: 1,
		Entries: []deployment.EntrySpec{{ID: "entry-1", Zone: "patan"}},
		Entry:   func(c *entry.Config) { c.Policy = policy },
	}
	for i := range engines {
		opts.Engines = append(opts.Engines, deployment.EngineSpec{Zone: "patan", Options: engine.Options{
			ID: fmt.Sprintf("engine-%d", i), Slots: testSlots, Models: map[string]uint64{testModel: 1}, TokenTime: 10 * time.Millisecond,
		}})
	}
	d, err := deployment.Start(t.Context(), opts)
	if err != nil {
		t.Fatal(err)
	}
	r.d = d
	if err := d.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	r.client, err = trainer.New(trainer.Config{Row: testRow, Entries: d.EntryURLs(), HTTP: r.fabric.Client(), StalenessBound: 1})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *rig) close() {
	r.d.Close()
	r.fabric.Close()
}

// step runs a step of samples with these lengths in tokens.
func (r *rig) step(name string, lengths []int) *trainer.Result {
	var samples []api.SampleRequest
	for i, n := range lengths {
		s := api.SampleRequest{
			ID: fmt.Sprintf("%s-%d", name, i), Group: "g", Prompt: engine.PromptOfLength(n, fmt.Sprint(name, i)), MaxTokens: 4096,
		}
		samples = append(samples, s)
		r.requested[s.ID] = s
	}
	result, err := r.client.RunStep(r.t.Context(), trainer.Step{Name: name, Version: 1, Samples: samples}, func(s api.Sample) error {
		r.received[s.ID] = append(r.received[s.ID], s)
		return nil
	})
	if err != nil {
		r.t.Fatal(err)
	}
	return result
}

// check checks that each received sample came once and matches what the engines recorded.
func (r *rig) check() {
	r.t.Helper()
	var engines []*engine.Engine
	for _, a := range r.d.Agents {
		engines = append(engines, a.StandIn)
	}
	records := oracle.Collect(engines...)
	for id, got := range r.received {
		if len(got) != 1 {
			r.t.Errorf("sample %s was delivered %d times", id, len(got))
		}
		requested := r.requested[id]
		if err := records.CheckSample(&requested, &got[0]); err != nil {
			r.t.Errorf("sample %s: %v", id, err)
		}
	}
}

func (r *rig) retries(reason retry.Reason) int64 {
	return r.d.Entries[0].Counters.Retries(testRow, string(reason))
}

func lengths(n, length int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = length
	}
	return all
}

// TestSamplesMoveOffSlowEngine slows one of three engines down in mid-step: its samples move
// to the others, unless the policy has NoMoves, and the tokens generated twice stay within
// rollout.MoveBudget.
func TestSamplesMoveOffSlowEngine(t *testing.T) {
	for _, test := range []struct {
		name   string
		policy rollout.Policy
		want   bool
	}{{"moved", rollout.Policy{}, true}, {"kept", rollout.Policy{NoMoves: true}, false}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startRig(t, 3, 1, "carry", test.policy)
				defer r.close()
				slow := r.d.Agents[0].StandIn
				time.AfterFunc(time.Second, func() { slow.SlowBy(50) })
				r.step("1", lengths(3*testSlots, 200))
				r.check()
				if got := r.retries(retry.ReasonMove) > 0; got != test.want {
					t.Errorf("samples were moved: %v, want %v", got, test.want)
				}
				wasted := r.d.Entries[0].Counters.Value(observe.NameWastedTokens, testRow)
				if most := int64(rollout.MoveBudget * 200 * 3 * testSlots); wasted > most {
					t.Errorf("%d tokens were generated twice, at most %d allowed", wasted, most)
				}
			})
		})
	}
}

// TestLongSamplesAreParked checks that long samples are parked while others wait, and that all
// samples are still delivered.
func TestLongSamplesAreParked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRig(t, 2, 1, "carry", rollout.Policy{})
		defer r.close()
		// The long samples start when enough others have finished for a park limit to be known.
		all := slices.Concat(lengths(60, 40), lengths(8, 1500), lengths(100, 40))
		result := r.step("1", all)
		r.check()
		if len(r.received) != len(all) || result.Delivered != len(all) {
			t.Errorf("%d samples received, %d delivered, %d requested", len(r.received), result.Delivered, len(all))
		}
		if r.retries(retry.ReasonPark) == 0 {
			t.Error("no long sample was parked")
		}
	})
}

// TestCarriedSamplesAreDeliveredInNextStep: a step that waits for three quarters of its samples
// carries the longest over. They keep running and are delivered by the next step without a new run.
func TestCarriedSamplesAreDeliveredInNextStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRig(t, 2, 0.75, "carry", rollout.Policy{})
		defer r.close()
		first := r.step("1", append(lengths(4, 800), lengths(12, 20)...))
		if len(first.CarriedOver) != 4 || first.Delivered != 12 {
			t.Fatalf("%d carried over and %d delivered, want 4 and 12", len(first.CarriedOver), first.Delivered)
		}
		time.Sleep(20 * time.Second) // the carried samples keep running
		second := r.step("2", lengths(4, 20))
		time.Sleep(time.Second)
		r.check()
		if got := second.Delivered + len(second.CarriedOver); got != 8 {
			t.Errorf("%d delivered or carried, want 8", got)
		}
		for _, id := range first.CarriedOver {
			if runs := r.runs(id); runs != 1 {
				t.Errorf("carried sample %s took %d runs, want 1", id, runs)
			}
		}
	})
}

// runs returns how often a sample was run, on all engines together.
func (r *rig) runs(id string) int {
	n := 0
	for _, a := range r.d.Agents {
		for _, rec := range a.StandIn.Records() {
			if rec.Prompt == r.requested[id].Prompt {
				n++
			}
		}
	}
	return n
}

// TestLeftoverSamplesAreCancelled: on a row that cancels leftovers, the runs of samples that the
// step did not wait for are stopped on the engines.
func TestLeftoverSamplesAreCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startRig(t, 2, 0.75, "cancel", rollout.Policy{})
		defer r.close()
		first := r.step("1", append(lengths(4, 3000), lengths(12, 20)...))
		if len(first.Cancelled) != 4 {
			t.Fatalf("%d cancelled, want 4", len(first.Cancelled))
		}
		time.Sleep(5 * time.Second)
		for _, a := range r.d.Agents {
			status, err := a.StandIn.Status(context.Background())
			if err != nil || status.Running != 0 {
				t.Errorf("%d runs still active after the step (%v)", status.Running, err)
			}
		}
	})
}
