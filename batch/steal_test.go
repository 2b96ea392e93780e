package batch

import (
	"testing"
	"time"

	"mulberryscale.example/fleet"
)

// TestShortSlowPeriodsDoNotMoveItems has engines of two speeds that are also slow for periods of up
// to a second. Without reported paces running items were moved back and forth; it compares both.
func TestShortSlowPeriodsDoNotMoveItems(t *testing.T) {
	paces := []int{70, 70, 70, 70, 170, 170}
	var took [2]time.Duration
	var aborted [2]float64
	for i, reported := range []bool{false, true} {
		bubble(t, func(t *testing.T) {
			rig := newPacedRig(t, paces, reported, true)
			if reported {
				rig.knownPaces = paces
			}
			rig.runSteps(1, 0.9) // until the engines are known
			took[i], aborted[i] = rig.runSteps(5, 0.9)
		})
	}
	t.Logf("without paces: step %v, aborted %.3f; with paces: %v, %.3f", took[0], aborted[0], took[1], aborted[1])
	if aborted[1] > 0.05 {
		t.Errorf("%.3f of the runs were aborted, want at most 0.05", aborted[1])
	}
	if float64(took[1]) > 1.1*float64(took[0]) {
		t.Errorf("a step took %v, %v without paces", took[1], took[0])
	}
}

// pacedStatus returns the status of an agent whose engine reports its pace.
func pacedStatus(pace int, left time.Duration, waiting, running int) *Status {
	s := statusOf(50*time.Millisecond, waiting, running)
	job := s.Jobs["j"]
	job.Left = left
	s.Pace, s.Jobs["j"] = pace, job
	return s
}

// TestRunningItemsAreTakenFromTheLastEngineOnly guards against moves that do not end a step
// sooner: running items of an engine that is slower but not the last one stay there.
func TestRunningItemsAreTakenFromTheLastEngineOnly(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		statuses map[string]*Status
		left     time.Duration // of the asking engine
		engine   string
		running  bool
		horizon  time.Duration
		second   string // the agent that is asked if the first one releases nothing
	}{
		"slower and last":         {map[string]*Status{"slow": pacedStatus(170, 5*second, 0, 4), "fast": pacedStatus(70, 3*second, 0, 4)}, 0, "slow", true, 3 * second, ""},
		"slower but done sooner":  {map[string]*Status{"slow": pacedStatus(170, 2*second, 0, 4), "fast": pacedStatus(70, 3*second, 0, 4)}, 0, "", false, 0, ""},
		"last but not slower":     {map[string]*Status{"slow": pacedStatus(80, 5*second, 0, 4), "fast": pacedStatus(70, 3*second, 0, 4)}, 0, "", false, 0, ""},
		"own items end later":     {map[string]*Status{"slow": pacedStatus(170, 2*second, 0, 4)}, 4 * second, "", false, 0, ""},
		"nearly done":             {map[string]*Status{"slow": pacedStatus(170, second/2, 0, 4)}, 0, "", false, 0, ""},
		"waiting on the last":     {map[string]*Status{"a": pacedStatus(70, 5*second, 1, 4), "b": pacedStatus(70, 3*second, 3, 4)}, 0, "a", false, 3 * second, "b"},
		"waiting on another one":  {map[string]*Status{"a": pacedStatus(70, 5*second, 0, 4), "b": pacedStatus(70, 3*second, 3, 4)}, 0, "b", false, 3 * second, ""},
		"time left is not known":  {map[string]*Status{"new": pacedStatus(170, 0, 2, 4)}, 0, "new", false, 0, ""},
		"waiting behind the last": {map[string]*Status{"a": pacedStatus(170, 5*second, 0, 4), "b": pacedStatus(70, 3*second, 3, 4)}, 0, "a", true, 3 * second, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			takes := pacedTakes(c.statuses, TakeRequest{Job: "j", Max: 4, Pace: 70}, c.left)
			if c.engine == "" {
				if len(takes) > 0 {
					t.Errorf("got %+v, want none", takes)
				}
				return
			}
			want := TakeRequest{Job: "j", Max: 4, Pace: 70, Running: c.running, Horizon: c.horizon}
			if len(takes) == 0 || takes[0].engine != c.engine || takes[0].ask != want {
				t.Fatalf("got %+v, want first %s: %+v", takes, c.engine, want)
			}
			if second := c.second; second != "" && (len(takes) != 2 || takes[1].engine != second || takes[1].ask.Running) {
				t.Errorf("got %+v, want then %s", takes, second)
			}
		})
	}
}

// TestMovedItemsNeedALargerGain guards against items that go back and forth between engines whose
// paces vary.
func TestMovedItemsNeedALargerGain(t *testing.T) {
	w := &Worker{engine: newEngineState()}
	s := &w.engine.speed
	s.pace.Observe(time.Now(), 170)
	for range minSpeedRuns {
		s.recordRun(time.Now(), 100, 100, 1700*time.Millisecond) // 10 ms for each token at the usual pace
	}
	for _, c := range []struct {
		work, moves, pace int
		want              bool
	}{{100, 0, 70, false}, {150, 0, 70, true}, {150, 1, 70, false}, {450, 1, 70, true}, {450, 2, 70, false}, {450, 0, 150, false}} {
		task := &task{item: &Item{ExpectedTokens: c.work}, moves: c.moves}
		end := s.duration(s.remainingWork(task), 170)
		if got := w.worthMoving(task, c.pace, end); got != c.want {
			t.Errorf("work %d, moved %d times, to pace %d: got %v", c.work, c.moves, c.pace, got)
		}
	}
}

// TestAgentsThatHaveJustStartedMoveByPace guards against moves by the interval between events in the
// time between the first report of a pace and the first estimates.
func TestAgentsThatHaveJustStartedMoveByPace(t *testing.T) {
	w := NewWorker(WorkerConfig{View: fleet.NewView()})
	w.engine.eventInterval = 10 * time.Millisecond
	w.engine.speed.pace.Observe(time.Now(), 70)
	statuses := map[string]*Status{"slow now": pacedStatus(70, 0, 0, 4)} // 50 ms between events
	if takes := w.takesOf(&workJob{job: someJob("j", 9)}, statuses, 4); len(takes) > 0 {
		t.Errorf("asked for %+v", takes)
	}
}
