package deployment

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/observe"
	"mulberryscale.example/trainer"
)

// Lookups: a prompt that crashed one engine after another. The crash was attributed to the engine alone, so each
// call with the prompt was retried on the next engine. Forwarded requests had the same fault.
//
// Samples: one under which three engines had crashed was refused for good, though it was sound. Work that is
// handed in for later is owed, however many engines have crashed under it.

const crashTable = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
lookups,service,guide,1,,,,,100,20s,,,,at_once,
learner,trainer,guide,1,1,,,,4000,10m,1,cancel,,at_once,
`

const (
	crashEngines  = 3
	crashSlots    = 4
	soundSamples  = 12
	crashPrompt   = "the prompt that crashes engines"
	crashDowntime = 2 * time.Second
	// maxLookupCrashes is the number of crashes after which a prompt is quarantined. Entries exchange
	// their records before the next call.
	maxLookupCrashes = 2
	// stepLimit is how long a step may take beside the downtimes of its engines.
	stepLimit = 30 * time.Second
)

// crashFixture is a deployment whose engines crash when they run crashPrompt, each the given number of times; 0
// means always.
type crashFixture struct {
	t      *testing.T
	d      *Deployment
	fabric *Memory
}

func startCrashFixture(t *testing.T, entries, engines, slots int, downtime time.Duration, times int) *crashFixture {
	fabric := NewMemory()
	opts := Options{Fabric: fabric, Table: crashTable, Log: observe.Discard(), Seed: 1}
	for i := range entries {
		opts.Entries = append(opts.Entries, EntrySpec{Zone: "patan", ID: fmt.Sprint("entry-", i)})
	}
	for i := range engines {
		opts.Engines = append(opts.Engines, EngineSpec{Zone: "patan", Options: engine.Options{
			ID: fmt.Sprint("engine-", i), Slots: slots, Models: map[string]uint64{"guide": 1}, TokenTime: 5 * time.Millisecond,
		}})
	}
	d, err := Start(t.Context(), opts)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range d.Agents {
		a.StandIn.CrashOnPrompt(crashPrompt, downtime, times)
	}
	if err := d.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return &crashFixture{t: t, d: d, fabric: fabric}
}

func (f *crashFixture) close() {
	f.d.Close()
	f.fabric.Close()
}

// crashes returns the number of crashes of all engines.
func (f *crashFixture) crashes() (n int) {
	for _, a := range f.d.Agents {
		n += a.StandIn.PromptCrashes()
	}
	return n
}

// lookup makes a lookup at an entry and returns its status and body.
func (f *crashFixture) lookup(entry int, prompt string) (int, string) {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":"lookups","prompt":%q,"max_tokens":8}`, prompt)
	resp, err := f.fabric.Client().Post(f.d.EntryURLs()[entry]+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

func TestLookupThatCrashesEnginesIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 3
		f := startCrashFixture(t, entries, crashEngines, crashSlots, crashDowntime, 0)
		defer f.close()
		for i := range 6 {
			if status, _ := f.lookup(i%entries, crashPrompt); status == http.StatusOK {
				t.Fatal("a prompt that crashes engines got an answer")
			}
			time.Sleep(2 * crashDowntime)
		}
		if n := f.crashes(); n > maxLookupCrashes {
			t.Errorf("%d engines crashed", n)
		}
		for i := range entries {
			if status, text := f.lookup(i, crashPrompt); status != http.StatusServiceUnavailable || !strings.Contains(text, `"code":"held"`) {
				t.Errorf("entry %d: %d %s", i, status, text)
			}
			if status, text := f.lookup(i, "another prompt"); status != http.StatusOK {
				t.Errorf("entry %d, another prompt: %d %s", i, status, text)
			}
		}
	})
}

// TestSampleUnderWhichEnginesCrashedIsReceived guards against a sample that is refused because engines have
// crashed under it.
func TestSampleUnderWhichEnginesCrashedIsReceived(t *testing.T) {
	for _, times := range []int{1, 2, 4} {
		synctest.Test(t, func(t *testing.T) { checkAllReceived(t, crashEngines, crashSlots, 40, crashDowntime, times) })
	}
}

// TestSamplesBesideEachCrashAreReceived guards against samples that are refused, or wait for each other, because
// they ran on one engine with a slot for each sample at each of its crashes. Backoffs have jitter, so that only some
// rounds have samples that were there at several crashes.
func TestSamplesBesideEachCrashAreReceived(t *testing.T) {
	const rounds = 15
	for range rounds {
		synctest.Test(t, func(t *testing.T) { checkAllReceived(t, 1, soundSamples+1, 200, time.Millisecond, 6) })
	}
}

// checkAllReceived checks that a step gets all its samples, which are length tokens long, if each engine crashes
// a number of times when it starts to run one of them.
func checkAllReceived(t *testing.T, engines, slots, length int, downtime time.Duration, times int) {
	f := startCrashFixture(t, 1, engines, slots, downtime, times)
	defer f.close()
	client, err := trainer.New(trainer.Config{Row: "learner", Entries: f.d.EntryURLs(), HTTP: f.fabric.Client(), StalenessBound: 1})
	if err != nil {
		t.Fatal(err)
	}
	samples := []api.SampleRequest{{ID: "unlucky", Group: "g", Prompt: crashPrompt, MaxTokens: 64}}
	for i := range soundSamples {
		samples = append(samples, api.SampleRequest{
			ID: fmt.Sprint("s-", i), Group: "g", Prompt: engine.PromptOfLength(length, fmt.Sprint(i)), MaxTokens: 4096,
		})
	}
	received := map[string]int{}
	began := time.Now()
	_, err = client.RunStep(t.Context(), trainer.Step{Name: "1", Version: 1, Samples: samples}, func(s api.Sample) error {
		received[s.ID]++
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(received) != len(samples) {
		t.Errorf("%d crashes: received %d of %d samples, %d times the one under which engines crashed", f.crashes(), len(received), len(samples), received["unlucky"])
	}
	if took := time.Since(began); took > stepLimit+time.Duration(f.crashes())*downtime {
		t.Errorf("%d crashes: the step took %v", f.crashes(), took)
	}
}
