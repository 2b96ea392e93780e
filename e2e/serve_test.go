package e2e

import (
	"bytes"
	"net/http"
	"testing"

	"mulberryscale.example/api"
)

// Every kind of request is served through both entries.
func TestEveryKindOfRequest(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for i, e := range f.entries {
		for _, stream := range []bool{false, true} {
			answer, err := lookup(t.Context(), e.url, lookupRequest(i, stream))
			if err != nil {
				t.Fatalf("lookup through %s, streamed %v: %v", e.id, stream, err)
			}
			if api.OldestVersion(answer.WeightVersions) != version {
				t.Errorf("answer of versions %v, want %d", answer.WeightVersions, version)
			}
		}
		name := "listing through " + e.id
		body, err := call(t.Context(), e.url, serviceCall{row: rowListings, method: http.MethodPost, name: name, body: "Patan"})
		if err != nil || !bytes.Contains(body, []byte("Patan")) || f.executions(name) != 1 {
			t.Errorf("service call through %s: %q, %v, run %d times", e.id, body, err, f.executions(name))
		}
	}
	step := f.startStep("1", samples("a", 96, 200))
	step.check()
	if step.result.Sessions != 1 {
		t.Errorf("an undisturbed step took %d sessions", step.result.Sessions)
	}
}
