package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/platform/duties"
	"mulberryscale.example/platform/metastore/standin"
	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/scaling"
)

// TestAgentsOrderEndpoints runs two agents that order endpoints of one service in two
// availability zones, with load in one of the zones.
func TestAgentsOrderEndpoints(t *testing.T) {
	rows := httptest.NewServer(standin.New(rowstore.New()))
	t.Cleanup(rows.Close)
	var mu sync.Mutex
	ordered := map[scaling.Target]int{}
	var problems []string
	highest := map[scaling.Target]uint64{}
	platform := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		call, err := duties.Decode(r)
		mu.Lock()
		defer mu.Unlock()
		if err != nil || call.Order == nil {
			problems = append(problems, fmt.Sprint(call, err))
			return
		}
		p := call.Order.Target
		if call.Fence.Token <= highest[p] {
			problems = append(problems, fmt.Sprintf("token %d after %d", call.Fence.Token, highest[p]))
		}
		highest[p] = call.Fence.Token
		ordered[p] = call.Order.Endpoints
	}))
	t.Cleanup(platform.Close)

	config := &fleet.Config{Version: 1, Services: []fleet.Service{
		{Name: "desk", Autoscale: &fleet.Autoscale{Min: 1, Max: 4, Boot: time.Minute}}, {Name: "other"},
	}}
	config.Index()
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for i := range 2 {
		a, err := NewAgent(&nodefile.Settings{
			Node: fmt.Sprint("side-", i), IP: fmt.Sprint("10.0.0.", i+1), Zone: "y", Zones: []string{"y", "z"}, OrderEndpoints: true,
			Store: strings.TrimPrefix(rows.URL, "http://"), Duties: strings.TrimPrefix(platform.URL, "http://"), Lease: time.Second, RowBytes: 4096,
		}, Options{LogLevel: "error"})
		if err != nil {
			t.Fatal(err)
		}
		a.view.SetConfig(config)
		var list []fleet.Instance
		for n, zone := range []string{"y", "z", "z"} {
			list = append(list, fleet.Instance{ID: fmt.Sprint("d", n), Service: "desk", Zone: zone, Addr: fmt.Sprintf("10.0.1.%d:80", n), Slots: 6})
		}
		for n := range 2 {
			list = append(list, fleet.Instance{
				ID: fmt.Sprint("e", n), Service: "engines", Zone: "y", Addr: fmt.Sprintf("10.0.0.%d:80", n+1), Slots: 6, Versions: map[string]uint64{"m": 1},
			})
		}
		a.view.UpdateInstances(list, nil)
		a.orderEndpoints(ctx, &wg)
		if i == 0 {
			meter := scaling.NewMeter()
			for range 12 {
				meterSends(meter)(list[1])
			}
			a.reportLoad(ctx, &wg, meter, nil)
		}
	}
	busy := scaling.Target{Service: "desk", Zone: "z"}
	for range 300 {
		mu.Lock()
		n := ordered[busy]
		mu.Unlock()
		if n > 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(problems) > 0 || ordered[busy] != 3 || len(ordered) != 1 {
		t.Errorf("ordered %v, want 3 endpoints for 12 requests in one zone; %v", ordered, problems)
	}
}
