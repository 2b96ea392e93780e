package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mulberryscale.example/fleet"
)

func TestOrganisationPriorityOverridesRoutePriority(t *testing.T) {
	config := &fleet.Config{Organisations: []fleet.Organisation{{Name: "guthi", Priority: 2}, {Name: "first", Priority: 0}}}
	config.Index()
	for organisation, want := range map[string]int{"guthi": 2, "first": 0, "": 5, "unknown": 5} {
		s := &Submission{Organisation: organisation, Route: &fleet.Route{Priority: 5}}
		if got := s.priority(config); got != want {
			t.Errorf("%q has priority %d, want %d", organisation, got, want)
		}
	}
	if got := (&Submission{Route: &fleet.Route{Priority: 5}}).priority(nil); got != 5 {
		t.Errorf("without a configuration: %d", got)
	}
}

// TestRanksUnderOverload lets three organisations of different priorities submit a job
// each second, together three times the capacity of one engine. Each gets an equal
// share; the highest priority waits least.
func TestRanksUnderOverload(t *testing.T) {
	const priorities, seconds = 3, 240
	var waiting []*task
	done := map[string]int{}
	waited := map[string]time.Duration{}
	for second := range seconds {
		now := time.Duration(second) * time.Second
		for priority := range priorities {
			job := &Job{ID: fmt.Sprint(priority, "/", second), Organisation: fmt.Sprint("o", priority), Priority: priority, Accepted: now}
			waiting = append(waiting, &task{j: &workJob{job: job}, item: &Item{ID: job.ID}})
		}
		slices.SortFunc(waiting, compareTasks)
		next := waiting[0] // the engine runs one item a second
		waiting = waiting[1:]
		done[next.j.job.Organisation]++
		waited[next.j.job.Organisation] += now - next.j.job.Accepted
	}
	sum, squares := 0.0, 0.0
	for _, n := range done {
		sum += float64(n)
		squares += float64(n) * float64(n)
	}
	if jain := sum * sum / (priorities * squares); len(done) < priorities || jain < 0.95 {
		t.Errorf("shares %v: Jain's index %.3f", done, jain)
	}
	mean := func(o string) time.Duration { return waited[o] / time.Duration(done[o]) }
	if lead := mean("o2") - mean("o0"); lead < priorityStep {
		t.Errorf("the highest priority waits %s less than the lowest", lead)
	}
}
