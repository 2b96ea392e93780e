package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/observe"
)

const stallTable = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
training,trainer,guide,1,1,,,,4000,1h,1,carry,,at_once,
`

// stallTime is how long the trainer or caller does not read. The step's deadline is an hour.
const stallTime = 2 * time.Minute

// startStalled starts an entry and an engine for a reader that stalls.
func startStalled(t *testing.T, fabric *deployment.Memory) *deployment.Deployment {
	t.Helper()
	d, err := deployment.Start(t.Context(), deployment.Options{
		Fabric: fabric, Table: stallTable, Log: observe.Discard(), Seed: 1,
		Engines: []deployment.EngineSpec{{Zone: "patan", Options: engine.Options{
			ID: "engine-1", Models: map[string]uint64{"guide": 1},
		}}},
		Entries: []deployment.EntrySpec{{Zone: "patan", ID: "entry-1"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	if err := d.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return d
}

// TestStalledTrainerLosesItsSession starts a step and does not read the response: the
// entry must close the session long before the step's deadline.
func TestStalledTrainerLosesItsSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := deployment.NewMemory()
		defer fabric.Close()
		d := startStalled(t, fabric)
		resp := startStep(t, d.EntryURLs()[0], fabric.Client())
		defer resp.Body.Close()
		time.Sleep(stallTime)
		if n := d.Entries[0].Counters.Refusals("training", api.CodeCancelled); n != 1 {
			t.Errorf("%d sessions cancelled after %s without a read, want 1", n, stallTime)
		}
	})
}

// TestStalledCallerLosesItsStream starts a streamed completion and does not read it: the
// entry must cancel it, so that it does not delay a drain.
func TestStalledCallerLosesItsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := deployment.NewMemory()
		defer fabric.Close()
		d := startStalled(t, fabric)
		body, err := json.Marshal(api.CompletionRequest{
			Model: "training", Prompt: engine.PromptOfLength(4000, "what is open"), MaxTokens: 4000, Stream: true,
		})
		if err != nil {
			t.Fatal(err)
		}
		resp, err := fabric.Client().Post(d.EntryURLs()[0]+api.PathCompletions, "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		time.Sleep(stallTime)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := d.Entries[0].Entry.Drain(ctx); err != nil {
			t.Errorf("drain after %s without a read: %v", stallTime, err)
		}
	})
}

// startStep starts a step with more samples than the pipe between client and entry holds.
func startStep(t *testing.T, url string, client *http.Client) *http.Response {
	t.Helper()
	req := api.StepRequest{Session: 1, Version: 1}
	for i := range 64 {
		req.Samples = append(req.Samples, api.SampleRequest{
			ID: fmt.Sprintf("s-%d", i), Group: "g", Prompt: "what is open in Patan", MaxTokens: 64,
		})
	}
	body, err := json.Marshal(req)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Post(url+"/v1/trainers/training/steps/1", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("the step was answered with %s", resp.Status)
	}
	return resp
}
