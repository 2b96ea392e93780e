package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
)

// The load of these tests: training steps whose items have heavy-tailed lengths. A
// trainer waits for three of four groups of two; most items are listed early, the last
// wanted ones seconds later. It polls twice a second, or at once after a response that
// took longer, and acts on what it has read at the time of its next poll.

// stepRig returns a reader and the ledger of a job of four groups of two, three of
// which are wanted.
func stepRig(t *testing.T, runTarget time.Duration) (*Reader, *Ledger) {
	s := rowstore.New()
	job := someJob("j", 8)
	job.WantedGroups, job.GroupItems, job.RunTarget = 3, 2, runTarget
	must(t, newLedger(s).Submit(t.Context(), job, someItems(8)))
	return NewReader(newLedger(s), s.Now, observe.Discard()), newLedger(s)
}

func appendResults(t *testing.T, l *Ledger, ids ...string) {
	var results []Result
	for _, id := range ids {
		results = append(results, Result{ID: id, State: StateDone, Output: "x", Group: id[:1]})
	}
	must(t, l.Append(t.Context(), "j", "w-"+ids[0], results))
}

func TestReadWaitsForTheRequestedGroups(t *testing.T) {
	const callerWait = time.Second
	for name, c := range map[string]struct {
		listed  []string      // at the time of the call
		next    string        // listed 0.7 s after it
		due     time.Duration // after the job's acceptance
		wait    time.Duration
		took    time.Duration
		results int
	}{
		"the last wanted result comes":        {[]string{"a1", "a2", "b1", "b2", "c1", "d1"}, "c2", time.Minute, callerWait, 700 * time.Millisecond, 7},
		"another one comes":                   {[]string{"a1", "a2", "b1", "b2", "c1", "d1"}, "e1", time.Minute, callerWait, callerWait - answerMargin, 7},
		"the wanted groups are complete":      {[]string{"a1", "a2", "b1", "b2", "c1", "c2"}, "d1", time.Minute, callerWait, tailGatherTime, 6},
		"the results are due":                 {[]string{"a1", "a2", "b1", "b2", "c1", "d1"}, "c2", 600 * time.Millisecond, callerWait, 600 * time.Millisecond, 6},
		"the results are overdue":             {[]string{"a1", "a2", "b1", "b2", "c1", "d1"}, "c2", time.Nanosecond, callerWait, tailGatherTime, 6},
		"the caller allows no waiting":        {[]string{"a1", "a2", "b1", "b2", "c1", "d1"}, "c2", time.Minute, 0, 0, 6},
		"less than three quarters are listed": {[]string{"a1", "a2", "b1"}, "c2", time.Minute, callerWait, 0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, l := stepRig(t, c.due)
				appendResults(t, l, c.listed...)
				began := time.Now()
				go func() {
					time.Sleep(700 * time.Millisecond)
					appendResults(t, l, c.next)
				}()
				page, err := r.Read(t.Context(), "j", 0, 1<<20, c.wait)
				if took := time.Since(began); err != nil || took != c.took || len(page.Results) != c.results {
					t.Errorf("%d results after %s, error %v; want %d after %s", len(page.Results), took, err, c.results, c.took)
				}
				time.Sleep(2 * time.Second) // until the feed call returns
			})
		})
	}
}

// trainer polls as trainers do until the wanted number of groups of two is complete,
// and returns when it acts on them.
func trainer(t *testing.T, r *Reader, wanted int) {
	const period, roundTrip = 500 * time.Millisecond, 20 * time.Millisecond
	read := 0
	listed := map[string]int{}
	for {
		began := time.Now()
		page, err := r.Read(t.Context(), "j", read, 1<<20, time.Second)
		must(t, err)
		read += len(page.Results)
		complete := 0
		for _, x := range page.Results {
			listed[x.Group]++
		}
		for _, n := range listed {
			complete += n / 2
		}
		time.Sleep(max(roundTrip, period-time.Since(began)))
		if complete >= wanted {
			return
		}
	}
}

// TestTrainersActSooner simulates the last part of steps: of 20 groups of two all but
// the last items are listed; those follow one by one, 0.3 s apart on average. It guards
// against responses that return before the wanted groups are complete.
func TestTrainersActSooner(t *testing.T) {
	const groups, wanted, tail = 20, 18, 8
	mean := func(groupItems int) time.Duration {
		var sum time.Duration
		const steps = 200
		rng := rand.New(rand.NewPCG(1, 2))
		for range steps {
			synctest.Test(t, func(t *testing.T) {
				s := rowstore.New()
				job := someJob("j", 2*groups)
				job.WantedGroups, job.GroupItems, job.RunTarget = wanted, groupItems, time.Minute
				must(t, newLedger(s).Submit(t.Context(), job, someItems(2*groups)))
				r, l := NewReader(newLedger(s), s.Now, observe.Discard()), newLedger(s)
				name := func(g, i int) string { return fmt.Sprintf("%c%d", 'a'+g, i) }
				for g := range groups {
					appendResults(t, l, name(g, 1))
					if g < groups-tail {
						appendResults(t, l, name(g, 2))
					}
				}
				lastWanted := make(chan time.Time, 1)
				go func() {
					time.Sleep(time.Second)
					for g := groups - tail; g < wanted; g++ {
						time.Sleep(time.Duration(300 * rng.ExpFloat64() * float64(time.Millisecond)))
						appendResults(t, l, name(g, 2))
					}
					lastWanted <- time.Now()
				}()
				trainer(t, r, wanted)
				sum += time.Since(<-lastWanted)
				time.Sleep(2 * time.Second)
			})
		}
		return sum / steps
	}
	waiting, eachPeriod := mean(2), mean(0)
	t.Logf("trainers act %s after the last wanted result, %s if calls do not wait for it", waiting, eachPeriod)
	if gain := eachPeriod - waiting; gain < 100*time.Millisecond {
		t.Errorf("trainers act %s after the last wanted result instead of %s", waiting, eachPeriod)
	}
}
