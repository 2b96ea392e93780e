package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/oracle"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/plain"
)

// awaitReady waits until every process is ready and every entry receives every agent's status.
func (f *fleet) awaitReady() {
	f.t.Helper()
	for _, n := range append(append([]*node{}, f.agents...), f.entries...) {
		eventually(f.t, n.id+" ready", func() error { return f.ready(n) })
	}
	for _, e := range f.entries {
		eventually(f.t, e.id+" receives the agents' status", func() error { return f.hasAgentStatus(e) })
	}
}

// warmUp waits until the entry routes to each kind of endpoint.
func (f *fleet) warmUp(e *node) {
	f.t.Helper()
	eventually(f.t, e.id+" routes lookups", func() error {
		_, err := lookup(f.t.Context(), e.url, lookupRequest(0, false))
		return err
	})
	eventually(f.t, e.id+" routes service calls", func() error {
		_, err := call(f.t.Context(), e.url, serviceCall{row: rowListings, method: http.MethodGet, name: "warm-up"})
		return err
	})
}

func (f *fleet) ready(n *node) error {
	if !n.running() {
		f.t.Fatalf("%s has exited", n.id)
	}
	resp, err := direct.Get("http://" + n.admin + api.PathReady)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}

// hasAgentStatus returns nil if the entry has a recent status of every running agent, and
// not one of an earlier incarnation.
func (f *fleet) hasAgentStatus(e *node) error {
	statuses, err := statusOf(e)
	if err != nil {
		return err
	}
	for _, a := range f.agents {
		s, ok := statuses[a.id]
		if a.running() && (!ok || s.SeenSeconds < 0 || s.SeenSeconds > 2 || s.TableVersion == 0 || s.Draining) {
			return fmt.Errorf("%s has status of %s: %+v", e.id, a.id, s)
		}
	}
	return nil
}

// statusOf reads the process statuses from an entry's operators' listener, by process id.
func statusOf(e *node) (map[string]api.ProcessStatus, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.admin+api.PathStatus, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+adminToken)
	var list []api.ProcessStatus
	if err := getJSON(req, &list); err != nil {
		return nil, err
	}
	byID := map[string]api.ProcessStatus{}
	for _, s := range list {
		byID[s.ID] = s
	}
	return byID, nil
}

func getJSON(req *http.Request, v any) error {
	resp, err := direct.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %s", req.URL, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// fetch reads JSON from a stand-in.
func fetch[T any](t *testing.T, url string) T {
	t.Helper()
	var v T
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := getJSON(req, &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// engineRecords returns the records of all engines by run id.
func (f *fleet) engineRecords() oracle.Records {
	f.t.Helper()
	all := oracle.Records{}
	for _, url := range f.engineURLs {
		for _, r := range fetch[[]engine.Record](f.t, url+"/records") {
			all[r.RunID] = r
		}
	}
	return all
}

// executions counts the service's executions of a request by its name.
func (f *fleet) executions(name string) int {
	f.t.Helper()
	n := 0
	for _, r := range fetch[[]plain.Record](f.t, f.serviceURL+"/records") {
		if r.Request == name {
			n++
		}
	}
	return n
}

// counters are the parts of /debug/vars that the tests read.
type counters struct {
	Refusals map[string]map[string]int64 `json:"refusals"` // by row and reason
	Retries  map[string]map[string]int64 `json:"retries"`
}

func (f *fleet) counters(n *node) counters {
	f.t.Helper()
	return fetch[counters](f.t, "http://"+n.admin+"/debug/vars")
}

// retries returns the number of retries of a row at an entry, for all reasons.
func (f *fleet) retries(n *node, row string) int64 {
	f.t.Helper()
	var sum int64
	for _, count := range f.counters(n).Retries[row] {
		sum += count
	}
	return sum
}

// entryURLs returns the entries' base URLs for callers.
func (f *fleet) entryURLs() []string {
	var urls []string
	for _, e := range f.entries {
		urls = append(urls, e.url)
	}
	return urls
}
