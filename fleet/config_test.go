package fleet

import (
	"fmt"
	"testing"
)

// TestSplitKeepsItsSharesWithoutAService guards against requests that change their service though it is usable, when
// another service of the route is not, and against services that have no weight.
func TestSplitKeepsItsSharesWithoutAService(t *testing.T) {
	route := &Route{Backends: []Backend{{"a", 60}, {"b", 30}, {"c", 10}, {"d", 0}}}
	counts := map[string]int{}
	const requests = 10_000
	for i := range requests {
		id := fmt.Sprint("request-", i)
		usual := route.Backend(id)
		got, ok := route.BackendAmong(id, func(service string) bool { return service != "a" })
		if !ok || (usual != "a" && got != usual) {
			t.Fatalf("%s goes to %q instead of %q", id, got, usual)
		}
		counts[got]++
	}
	if counts["a"]+counts["d"] > 0 || counts["b"] < 2*counts["c"] {
		t.Errorf("shares without a: %v", counts)
	}
	if got, ok := route.BackendAmong("r", func(service string) bool { return service == "d" }); ok {
		t.Errorf("a service without weight is used: %q", got)
	}
}
