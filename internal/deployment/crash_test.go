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

// The class of fault is the same as of forwarded requests and of items: what a run
// does to its endpoint was put down to the endpoint alone, so a prompt that ends
// engines went on to engine after engine, for each call and each sample anew.

const crashTable = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
lookups,service,guide,1,,,,,100,20s,,,,at_once,
learner,trainer,guide,1,1,,,,4000,10m,1,cancel,,at_once,
`

const (
	crashEngines = 3
	crashPrompt  = "the prompt that ends engines"
	crashDown    = 2 * time.Second
	// allowedLookupEnds and allowedSampleEnds are the ends after which a prompt is
	// known, of calls and of samples; entries have told each other before the next call.
	allowedLookupEnds = 2
	allowedSampleEnds = 3
)

// crashRig is a deployment whose engines end under a prompt.
type crashRig struct {
	t      *testing.T
	d      *Deployment
	fabric *Memory
}

func startCrashRig(t *testing.T, entries int) *crashRig {
	fabric := NewMemory()
	opts := Options{Fabric: fabric, Table: crashTable, Log: observe.Discard(), Seed: 1}
	for i := range entries {
		opts.Entries = append(opts.Entries, EntrySpec{Zone: "patan", ID: fmt.Sprint("entry-", i)})
	}
	for i := range crashEngines {
		opts.Engines = append(opts.Engines, EngineSpec{Zone: "patan", Options: engine.Options{
			ID: fmt.Sprint("engine-", i), Slots: 4, Models: map[string]uint64{"guide": 1}, TokenTime: 5 * time.Millisecond,
		}})
	}
	d, err := Start(t.Context(), opts)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range d.Agents {
		a.StandIn.CrashOnPrompt(crashPrompt, crashDown)
	}
	if err := d.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return &crashRig{t: t, d: d, fabric: fabric}
}

func (r *crashRig) close() {
	r.d.Close()
	r.fabric.Close()
}

func (r *crashRig) ends() (n int) {
	for _, a := range r.d.Agents {
		n += a.StandIn.PromptCrashes()
	}
	return n
}

// ask makes a lookup at an entry and returns its status and body.
func (r *crashRig) ask(entry int, prompt string) (int, string) {
	r.t.Helper()
	body := fmt.Sprintf(`{"model":"lookups","prompt":%q,"max_tokens":8}`, prompt)
	resp, err := r.fabric.Client().Post(r.d.EntryURLs()[entry]+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

func TestLookupThatEndsEnginesIsKeptAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 3
		r := startCrashRig(t, entries)
		defer r.close()
		for i := range 6 {
			if status, _ := r.ask(i%entries, crashPrompt); status == http.StatusOK {
				t.Fatal("served")
			}
			time.Sleep(2 * crashDown)
		}
		if n := r.ends(); n > allowedLookupEnds {
			t.Errorf("%d engines ended", n)
		}
		for i := range entries {
			if status, text := r.ask(i, crashPrompt); status != http.StatusServiceUnavailable || !strings.Contains(text, `"code":"held"`) {
				t.Errorf("entry %d: %d %s", i, status, text)
			}
			if status, text := r.ask(i, "another prompt"); status != http.StatusOK {
				t.Errorf("entry %d, another prompt: %d %s", i, status, text)
			}
		}
	})
}

func TestSampleThatEndsEnginesIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startCrashRig(t, 1)
		defer r.close()
		client, err := trainer.New(trainer.Config{Row: "learner", Entries: r.d.EntryURLs(), HTTP: r.fabric.Client(), StalenessBound: 1})
		if err != nil {
			t.Fatal(err)
		}
		samples := []api.SampleRequest{{ID: "fatal", Group: "g", Prompt: crashPrompt, MaxTokens: 64}}
		for i := range 12 {
			samples = append(samples, api.SampleRequest{
				ID: fmt.Sprint("s-", i), Group: "g", Prompt: engine.PromptOfLength(40, fmt.Sprint(i)), MaxTokens: 4096,
			})
		}
		received := map[string]int{}
		_, err = client.RunStep(t.Context(), trainer.Step{Name: "1", Version: 1, Samples: samples}, func(s api.Sample) error {
			received[s.ID]++
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		if n := r.ends(); n > allowedSampleEnds {
			t.Errorf("%d engines ended", n)
		}
		if len(received) != 12 || received["fatal"] > 0 {
			t.Errorf("received %v", received)
		}
	})
}
