package results

import "testing"

// TestCountIsTrue compares what the store counts with what it takes: the bound
// on its bytes is worth no more than the count.
func TestCountIsTrue(t *testing.T) {
	const runs = 4096
	for name, fill := range map[string]func(testing.TB, *Store, int){
		"waiting": beginRuns, "running": startRuns, "ended": endRuns, "calls": endCalls,
	} {
		taken, counted := measure(t, runs, fill)
		if counted < taken*3/4 || counted > taken*3/2 {
			t.Errorf("%s: a run takes %d bytes, the store counts %d", name, taken/runs, counted/runs)
		}
	}
}

// TestEndedRunLetsGo checks that a kept result holds neither its request nor
// its chart's machine.
func TestEndedRunLetsGo(t *testing.T) {
	s := New(Options{})
	endRuns(t, s, 1)
	for _, run := range s.runs {
		if run.onEnd != nil || run.machine != nil || run.changed != nil {
			t.Errorf("an ended run holds its owner %v, its machine %v, its channel %v",
				run.onEnd != nil, run.machine != nil, run.changed != nil)
		}
	}
}
