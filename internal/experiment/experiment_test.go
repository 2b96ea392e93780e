package experiment

import (
	"testing"
	"time"
)

func TestWorkloadsAreValid(t *testing.T) {
	names := WorkloadNames()
	if len(names) < 2 {
		t.Fatalf("workloads %v, want both deployments", names)
	}
	for _, name := range names {
		if _, err := LoadWorkload(name); err != nil {
			t.Error(err)
		}
	}
	if _, err := ParseWorkload([]byte("engines: 0\nzones: [a]\n")); err == nil {
		t.Error("a workload without engines was accepted")
	}
	if _, err := ParseWorkload([]byte("speed: 9\n")); err == nil {
		t.Error("an unknown field was accepted")
	}
}

func TestLowerBound(t *testing.T) {
	w := &Workload{Engines: 2, Slots: 2, TokenTime: 10 * time.Millisecond}
	// 4 slots and 8 samples of 100 tokens need two rounds of 1 s.
	lengths := []int{100, 100, 100, 100, 100, 100, 100, 100}
	if got := w.LowerBound(lengths, 8); got != 2*time.Second {
		t.Errorf("bound %v, want 2s", got)
	}
	// The straggler alone takes longer than the busy time of all slots.
	if got := w.LowerBound([]int{10, 10, 500}, 3); got != 5*time.Second {
		t.Errorf("bound %v, want 5s", got)
	}
	// Without the straggler, the two short samples determine the bound.
	if got := w.LowerBound([]int{10, 10, 500}, 2); got != 100*time.Millisecond {
		t.Errorf("bound %v, want 100ms", got)
	}
}
