package results

import "testing"

// TestByteCountMatchesHeap compares the bytes that the store counts with the heap
// that it takes. MaxBytes bounds the memory only if the count is accurate.
func TestByteCountMatchesHeap(t *testing.T) {
	const runs = 4096
	for name, fill := range map[string]func(testing.TB, *Store, int){
		"waiting": beginRuns, "running": startRuns, "finished": finishRuns, "calls": finishCalls,
	} {
		taken, counted := measure(t, runs, fill)
		if counted < taken*3/4 || counted > taken*3/2 {
			t.Errorf("%s: a run takes %d bytes of heap, the store counts %d", name, taken/runs, counted/runs)
		}
	}
}

// TestFinalRunReleasesMemory checks that a kept result references neither its
// request nor its state machine.
func TestFinalRunReleasesMemory(t *testing.T) {
	s := New(Options{})
	finishRuns(t, s, 1)
	for _, run := range s.runs {
		if run.onAbort != nil || run.machine != nil || run.changed != nil {
			t.Errorf("a final run still has its OnAbort function: %v, its machine: %v, its channel: %v",
				run.onAbort != nil, run.machine != nil, run.changed != nil)
		}
	}
}
