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

// The load answered: steps of groups with heavy tails. A trainer waits for three of
// four groups of two; most items are listed early, the last wanted ones seconds
// later. It asks twice a second, or at once after an answer that took longer, and
// acts on what it has read when it would ask again.

// stepRig has a job of four groups of two, three of which are wanted.
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

func TestAnswersWaitForTheWantedGroups(t *testing.T) {
	const callers = time.Second
	for name, c := range map[string]struct {
		listed  []string      // when the call comes
		next    string        // listed 0.7 s after it
		due     time.Duration // after the job's acceptance
		wait    time.Duration
		took    time.Duration
		results int
	}{
		"the last wanted result comes":        {[]string{"a1", "a2", "b1", "b2", "c1", "d1"}, "c2", time.Minute, callers, 700 * time.Millisecond, 7},
		"another one comes":                   {[]string{"a1", "a2", "b1", "b2", "c1", "d1"}, "e1", time.Minute, callers, callers - answerMargin, 7},
		"the wanted groups are whole":         {[]string{"a1", "a2", "b1", "b2", "c1", "c2"}, "d1", time.Minute, callers, tailGatherTime, 6},
		"the results are due":                 {[]string{"a1", "a2", "b1", "b2", "c1", "d1"}, "c2", 600 * time.Millisecond, callers, 600 * time.Millisecond, 6},
		"the results are overdue":             {[]string{"a1", "a2", "b1", "b2", "c1", "d1"}, "c2", time.Nanosecond, callers, tailGatherTime, 6},
		"the caller allows no waiting":        {[]string{"a1", "a2", "b1", "b2", "c1", "d1"}, "c2", time.Minute, 0, 0, 6},
		"less than three quarters are listed": {[]string{"a1", "a2", "b1"}, "c2", time.Minute, callers, 0, 3},
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
					t.Errorf("%d results after %s, %v; want %d after %s", len(page.Results), took, err, c.results, c.took)
				}
				time.Sleep(2 * time.Second) // the feed's call is over
			})
		})
	}
}

// trainer asks as trainers do for so many groups of two, and returns when it acts on them.
func trainer(t *testing.T, r *Reader, wanted int) {
	const period, way = 500 * time.Millisecond, 20 * time.Millisecond
	read := 0
	listed := map[string]int{}
	for {
		asked := time.Now()
		page, err := r.Read(t.Context(), "j", read, 1<<20, time.Second)
		must(t, err)
		read += len(page.Results)
		whole := 0
		for _, x := range page.Results {
			listed[x.Group]++
		}
		for _, n := range listed {
			whole += n / 2
		}
		time.Sleep(max(way, period-time.Since(asked)))
		if whole >= wanted {
			return
		}
	}
}

// TestTrainersActSooner plays the ends of steps: of 20 groups of two all but the
// last items are listed; those come one after the other, 0.3 s apart in the mean.
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
				ended := make(chan time.Time, 1)
				go func() {
					time.Sleep(time.Second)
					for g := groups - tail; g < wanted; g++ {
						time.Sleep(time.Duration(300 * rng.ExpFloat64() * float64(time.Millisecond)))
						appendResults(t, l, name(g, 2))
					}
					ended <- time.Now()
				}()
				trainer(t, r, wanted)
				sum += time.Since(<-ended)
				time.Sleep(2 * time.Second)
			})
		}
		return sum / steps
	}
	kept, answeredEachPeriod := mean(2), mean(0)
	t.Logf("trainers act %s after the last wanted result, %s where answers are not kept", kept, answeredEachPeriod)
	if won := answeredEachPeriod - kept; won < 100*time.Millisecond {
		t.Errorf("trainers act %s after the last wanted result instead of %s", kept, answeredEachPeriod)
	}
}
