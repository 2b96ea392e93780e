package entry_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/observe"
)

const swapTable = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
visitors,service,guide,4,,,,,400,30s,,,,at_once,
`

// startSwapping starts an entry and two engines whose weight loads take the given time.
func startSwapping(t *testing.T, fabric *deployment.Memory, load time.Duration) *deployment.Deployment {
	t.Helper()
	opts := deployment.Options{
		Fabric: fabric, Table: swapTable, Log: observe.Discard(), Seed: 1,
		Entries: []deployment.EntrySpec{{Zone: "patan", ID: "entry-1"}},
	}
	for _, id := range []string{"engine-1", "engine-2"} {
		opts.Engines = append(opts.Engines, deployment.EngineSpec{Zone: "patan", Options: engine.Options{
			ID: id, Models: map[string]uint64{"guide": 1}, LoadTime: load,
		}})
	}
	d, err := deployment.Start(t.Context(), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	if err := d.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return d
}

// lookup makes one short call and returns the response and its body.
func lookup(t *testing.T, d *deployment.Deployment, client *http.Client) (*http.Response, string) {
	body, err := json.Marshal(api.CompletionRequest{Model: "visitors", Prompt: "what is open in Patan", MaxTokens: 4})
	if err != nil {
		t.Error(err)
		return nil, ""
	}
	resp, err := client.Post(d.EntryURLs()[0]+api.PathCompletions, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Error(err)
		return nil, ""
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp, string(answer)
}

// TestLookupsWaitForASwapOfAllEngines makes lookups while all engines of the row load new
// weights at the same time: the lookups must wait for the load instead of being refused.
func TestLookupsWaitForASwapOfAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := deployment.NewMemory()
		defer fabric.Close()
		d := startSwapping(t, fabric, 2*time.Second)
		if err := d.Weights.Publish("guide", 2, nil); err != nil {
			t.Fatal(err)
		}
		var calls sync.WaitGroup
		for range 600 {
			calls.Go(func() {
				if resp, answer := lookup(t, d, fabric.Client()); resp != nil && resp.StatusCode != http.StatusOK {
					t.Errorf("got %s: %s", resp.Status, answer)
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
		calls.Wait()
	})
}

// TestLookupsDoNotWaitForeverForASwap uses loads that take longer than a lookup waits: it
// must be refused as not run, long before its deadline and with a Retry-After.
func TestLookupsDoNotWaitForeverForASwap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := deployment.NewMemory()
		defer fabric.Close()
		const load = 10 * time.Minute
		d := startSwapping(t, fabric, load)
		defer time.Sleep(load) // until the loads are complete
		if err := d.Weights.Publish("guide", 2, nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute) // until both engines are loading
		began := time.Now()
		resp, answer := lookup(t, d, fabric.Client())
		if resp == nil {
			return
		}
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("got %s with Retry-After %q: %s", resp.Status, resp.Header.Get("Retry-After"), answer)
		}
		if took := time.Since(began); took > 15*time.Second {
			t.Errorf("refused after %s", took)
		}
	})
}
