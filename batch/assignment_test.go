package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "mulberryscale.example/internal/rapidseed" // the same draws in each run
)

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s%03d", prefix, i)
	}
	return list
}

func demandOf(work map[string]int) *Demand {
	d := NewDemand()
	for model, w := range work {
		d.Add(&Job{ID: "job of " + model, Model: model, Work: w})
	}
	return d
}

func TestEachEngineServesOneModelAndEachModelHasOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := names("m", rapid.IntRange(1, 5).Draw(t, "models"))
		engines := names("e", rapid.IntRange(len(models), 40).Draw(t, "engines"))
		work := map[string]int{}
		for _, m := range models {
			work[m] = rapid.IntRange(0, 100_000).Draw(t, m)
		}
		assignments := AssignEngines(engines, models, demandOf(work))
		var assigned []string
		for _, m := range models {
			all := assignments[m].All()
			if len(all) == 0 {
				t.Fatalf("model %s has no engine", m)
			}
			if d := len(assignments[m].Halves[0]) - len(assignments[m].Halves[1]); d < 0 || d > 1 {
				t.Fatalf("halves of %d and %d", len(assignments[m].Halves[0]), len(assignments[m].Halves[1]))
			}
			assigned = append(assigned, all...)
		}
		if slices.Sort(assigned); !slices.Equal(assigned, engines) {
			t.Fatalf("assigned %v of %v", assigned, engines)
		}
	})
}

// referenceAssignment computes the same as AssignEngines in a simpler way: in round-robin
// order each model takes the free engine that it ranks highest.
func referenceAssignment(engines, models []string, demand *Demand) map[string]Assignment {
	assigned, quotas, free := map[string][]string{}, quotas(len(engines), models, demand), slices.Clone(engines)
	for i := 0; len(free) > 0; i++ {
		m := models[i%len(models)]
		if quotas[m] == 0 {
			continue
		}
		quotas[m]--
		at := highestRanked(m, free)
		assigned[m] = append(assigned[m], free[at])
		free = slices.Delete(free, at, at+1)
	}
	assignments := map[string]Assignment{}
	for _, m := range models {
		var d Assignment
		for left, middle := assigned[m], (len(assigned[m])+1)/2; len(left) > 0; {
			at := highestRanked("half of "+m, left)
			half := 0
			if len(d.Halves[0]) == middle {
				half = 1
			}
			d.Halves[half] = append(d.Halves[half], left[at])
			left = slices.Delete(left, at, at+1)
		}
		assignments[m] = d
	}
	return assignments
}

func TestAssignmentTakesHighestRanksRoundRobin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := names("m", rapid.IntRange(1, 5).Draw(t, "models"))
		engines := names("e", rapid.IntRange(len(models), 60).Draw(t, "engines"))
		work := map[string]int{}
		for _, m := range models {
			work[m] = rapid.IntRange(0, 100_000).Draw(t, m)
		}
		got, want := AssignEngines(engines, models, demandOf(work)), referenceAssignment(engines, models, demandOf(work))
		for _, m := range models {
			if !slices.Equal(got[m].Halves[0], want[m].Halves[0]) || !slices.Equal(got[m].Halves[1], want[m].Halves[1]) {
				t.Fatalf("%s: got %v, want %v", m, got[m], want[m])
			}
		}
	})
}

// TestAssignmentOfAnAddressListedTwice has an engine that was restarted at its address
// while its former incarnation is still listed.
func TestAssignmentOfAnAddressListedTwice(t *testing.T) {
	engines, models := names("e", 5), []string{"a", "b"}
	want := AssignEngines(engines, models, NewDemand())
	got := AssignEngines(append(engines, engines[2], engines[4]), models, NewDemand())
	for _, m := range models {
		if !slices.Equal(got[m].All(), want[m].All()) {
			t.Errorf("%s: got %v, want %v", m, got[m], want[m])
		}
	}
}

// BenchmarkAssignEngines measures one assignment by the number of engines.
func BenchmarkAssignEngines(b *testing.B) {
	for _, n := range []int{12, 100, 400, 10_000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			engines, demand := names("e", n), NewDemand()
			for b.Loop() {
				AssignEngines(engines, []string{"a", "b", "c"}, demand)
			}
		})
	}
}

func TestAssignmentFollowsDemand(t *testing.T) {
	assignments := AssignEngines(names("e", 12), []string{"a", "b", "c"}, demandOf(map[string]int{"a": 900, "b": 1800, "c": 1800}))
	if a, b := len(assignments["a"].All()), len(assignments["b"].All()); a != 2 || b != 5 {
		t.Fatalf("a has %d, b %d", a, b)
	}
	equal := AssignEngines(names("e", 12), []string{"a", "b", "c"}, NewDemand())
	if n := len(equal["a"].All()); n != 4 {
		t.Fatalf("without known jobs a has %d", n)
	}
}

func TestLossOfAnEngineMovesFewOthers(t *testing.T) {
	engines, models := names("e", 30), names("m", 3)
	before := AssignEngines(engines, models, NewDemand())
	for i := range engines {
		after := AssignEngines(slices.Delete(slices.Clone(engines), i, i+1), models, NewDemand())
		moved := 0
		for _, m := range models {
			for _, e := range after[m].All() {
				if !before[m].Has(e) {
					moved++
				}
			}
		}
		if moved > 6 {
			t.Errorf("without %s %d engines change their model", engines[i], moved)
		}
	}
}

// The load below: three trainers take steps of 208 items whose lengths vary by nine tenths of
// their mean, so that the work of a step varies by a twelfth, and 41 engines are assigned anew
// after each of 60 steps.

// countMoves counts over the steps the engines that change models, and those that change
// halves of the same model; split splits the engines of a model into halves.
func countMoves(jobs int, split func(model string, engines []string) Assignment) (models, halves int) {
	engines, names := names("e", 41), []string{"a", "b", "c"}
	mean := map[string]float64{"a": 150_000, "b": 330_000, "c": 310_000}
	rng := rand.New(rand.NewPCG(7, 7))
	var before map[string]Assignment
	work := map[string][]int{}
	for range 60 {
		average := map[string]int{}
		for _, m := range names {
			work[m] = append(work[m], int(mean[m]*(1+0.083*rng.NormFloat64())))
			last := work[m][max(0, len(work[m])-jobs):]
			sum := 0
			for _, w := range last {
				sum += w
			}
			average[m] = sum / len(last)
		}
		assignments := AssignEngines(engines, names, demandOf(average))
		for _, m := range names {
			assignments[m] = split(m, slices.Concat(assignments[m].Halves[0], assignments[m].Halves[1]))
		}
		for _, m := range names {
			for _, e := range assignments[m].All() {
				switch {
				case before == nil:
				case !before[m].Has(e):
					models++
				case before[m].LoadsAtOnce(e, 2) != assignments[m].LoadsAtOnce(e, 2):
					halves++
				}
			}
		}
		before = assignments
	}
	return models, halves
}

// alternatingHalves splits engines into halves in the order in which they were assigned.
func alternatingHalves(_ string, engines []string) Assignment {
	var d Assignment
	for i, e := range engines {
		d.Halves[i%2] = append(d.Halves[i%2], e)
	}
	return d
}

// TestHalvesAreStable checks that few engines change halves as demand varies. Those that
// do load a version that they would have skipped.
func TestHalvesAreStable(t *testing.T) {
	models, halves := countMoves(demandWindow, splitHalves)
	_, before := countMoves(demandWindow, alternatingHalves)
	t.Logf("%d changes of the model, %d of the half; %d with alternating halves", models, halves, before)
	if halves > models || before < 2*halves {
		t.Errorf("%d changes of the half beside %d of the model; %d with alternating halves", halves, models, before)
	}
}

func TestFewerEnginesThanModelsServeAll(t *testing.T) {
	assignments := AssignEngines(names("e", 2), names("m", 3), NewDemand())
	for m, d := range assignments {
		if len(d.All()) != 2 {
			t.Errorf("model %s has %v", m, d)
		}
	}
	if one := AssignEngines(names("e", 1), names("m", 1), NewDemand())["m000"]; one.Alternates() {
		t.Error("a single engine cannot alternate")
	}
}

func TestHalvesLoadVersionsAlternately(t *testing.T) {
	d := AssignEngines(names("e", 4), []string{"m"}, NewDemand())["m"]
	for _, e := range d.All() {
		if d.LoadsAtOnce(e, 4) == d.LoadsAtOnce(e, 5) {
			t.Errorf("%s loads both or neither of two consecutive versions", e)
		}
	}
}

func TestAssignItemsKeepsGroupsTogetherAndBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := names("e", rapid.IntRange(1, 9).Draw(t, "owners"))
		items := someItems(rapid.IntRange(1, 200).Draw(t, "items"))
		job := &Job{ID: rapid.String().Draw(t, "id"), Owners: owners, Ready: len(owners)}
		owner := AssignItems(job, items)
		byGroup := map[string]int{}
		load := make([]int, len(owners))
		largest := 0
		for _, g := range groupItems(items) {
			largest = max(largest, g.tokens)
		}
		for i, o := range owner {
			if g, ok := byGroup[items[i].Group]; ok && g != o {
				t.Fatalf("group %s at %d and %d", items[i].Group, g, o)
			}
			byGroup[items[i].Group] = o
			load[o] += items[i].expectedWork()
		}
		if slices.Max(load)-slices.Min(load) > largest {
			t.Fatalf("loads %v, the largest group has %d", load, largest)
		}
	})
}

func TestAssignItemsGivesLoadingOwnersLess(t *testing.T) {
	job := &Job{ID: "j", Owners: names("e", 2), Ready: 1}
	for _, o := range AssignItems(job, someItems(40)) {
		if o != 0 {
			t.Fatal("a small job does not go to the engine that is ready alone")
		}
	}
	if got := AssignItems(&Job{ID: "j"}, someItems(2)); got[0] != noOwner {
		t.Fatalf("without owners: %v", got)
	}
}
