package flowcontrol

import (
	"testing"
	"time"
)

// TestGoodputUnderOverload guards against a queue in which all requests wait until they are late,
// and against sends that endpoints reject.
func TestGoodputUnderOverload(t *testing.T) {
	for _, load := range []float64{3, 10} {
		p := pattern{entries: 40, endpoints: 3, phases: []phase{{load, 5 * time.Second}}, seed: 1}
		r := simulate(t, p)
		carried := 3 * rigSlots / rigWork.Seconds() * 5
		goodput := float64(r.inTime[0]) / carried
		rejected := float64(r.declined) / float64(r.sends)
		t.Logf("%v times the capacity: %.3f of it within the objective, %.3f of sends rejected", load, goodput, rejected)
		if goodput < 0.9 || rejected > 0.05 {
			t.Errorf("%v times the capacity: %.3f of it within the objective, %.3f of sends rejected", load, goodput, rejected)
		}
	}
}
