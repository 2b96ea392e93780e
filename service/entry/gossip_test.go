package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/observe"
)

const (
	limitPerSecond = 40
	limitTable     = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
lookups,service,guide,1,,40,,,1000,30s,,,,at_once,
`
)

// countAnswered calls an entry at the given rate for some seconds and returns the number
// of calls that were answered with status 200.
func countAnswered(d *deployment.Deployment, client *http.Client, entry int, perSecond int, seconds int) int {
	n := 0
	url := d.EntryURLs()[entry] + api.PathCompletions
	for i := range perSecond * seconds {
		body := strings.NewReader(fmt.Sprintf(`{"model":"lookups","prompt":"square %d","max_tokens":1}`, i))
		resp, err := client.Post(url, "application/json", body)
		if err == nil && resp.StatusCode == http.StatusOK {
			n++
		}
		if err == nil {
			resp.Body.Close()
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	return n
}

// TestLimitOverAllEntries calls four entries far above a row's limit, one of them more
// than the others, and checks that together they admit what the limit allows and that
// the busy entry gets a larger share of it.
func TestLimitOverAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := deployment.NewMemory()
		defer fabric.Close()
		opts := deployment.Options{Fabric: fabric, Table: limitTable, Log: observe.Discard(), Seed: 1}
		for i := range 4 {
			opts.Entries = append(opts.Entries, deployment.EntrySpec{Zone: "patan", ID: fmt.Sprintf("entry-%d", i)})
		}
		opts.Engines = []deployment.EngineSpec{{Zone: "patan", Options: engine.Options{
			ID: "engine-1", Slots: 64, TokenTime: time.Millisecond, Models: map[string]uint64{"guide": 1},
		}}}
		d, err := deployment.Start(t.Context(), opts)
		if err != nil {
			t.Fatal(err)
		}
		defer d.Close()
		if err := d.AwaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
		const seconds = 20
		rates := []int{80, 20, 20, 20}
		measure := func() []int {
			counts := make([]int, len(rates))
			var callers sync.WaitGroup
			for i, rate := range rates {
				callers.Go(func() { counts[i] = countAnswered(d, fabric.Client(), i, rate, seconds) })
			}
			callers.Wait()
			return counts
		}
		measure() // until the shares have converged
		counts := measure()
		total := counts[0] + counts[1] + counts[2] + counts[3]
		ratio := float64(total) / (limitPerSecond * seconds)
		t.Logf("admitted %v, %.3f of the limit", counts, ratio)
		if ratio < 0.8 || ratio > 1.1 {
			t.Errorf("all entries together admitted %.3f of the limit, want 0.8 to 1.1", ratio)
		}
		if counts[0] < 2*counts[1] {
			t.Errorf("the entry with four times the demand admitted %d, another one %d", counts[0], counts[1])
		}
	})
}
