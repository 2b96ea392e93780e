package batch

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
	"mulberryscale.example/pace"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// without returns a value of a struct type that lacks the given fields.
func without(v any, fields ...string) any {
	from := reflect.ValueOf(v)
	var kept []reflect.StructField
	for i := range from.NumField() {
		if f := from.Type().Field(i); !slices.Contains(fields, f.Name) {
			kept = append(kept, f)
		}
	}
	to := reflect.New(reflect.StructOf(kept)).Elem()
	for i, f := range kept {
		to.Field(i).Set(from.FieldByName(f.Name))
	}
	return to.Interface()
}

// TestUnpacedMessagesAreUnchanged compares the encoding of rows and messages without paces with that
// of the types without the fields for paces.
func TestUnpacedMessagesAreUnchanged(t *testing.T) {
	job := *someJob("j", 8)
	job.Owners, job.Work = []string{"a", "b"}, 7
	status := *statusOf(time.Second, 2, 3)
	for _, pair := range [][2]any{
		{job, without(job, "Paces")},
		{status, without(status, "Pace")},
		{TakeRequest{Job: "j", Max: 3, Running: true}, without(TakeRequest{Job: "j", Max: 3, Running: true}, "Pace")},
	} {
		now, err := codec.Marshal(pair[0])
		must(t, err)
		before, err := codec.Marshal(pair[1])
		must(t, err)
		if !bytes.Equal(now, before) {
			t.Errorf("%T: %x, want %x", pair[0], now, before)
		}
	}
}

// TestUnpacedDecisionsAreUnchanged compares the decisions without paces with those of the rules for
// engines that report none.
func TestUnpacedDecisionsAreUnchanged(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		statuses := map[string]*Status{}
		for _, e := range []string{"a", "b", "c"} {
			statuses[e] = statusOf(time.Duration(r.IntN(200))*time.Millisecond, r.IntN(5), r.IntN(5))
		}
		w := NewWorker(WorkerConfig{View: fleet.NewView()})
		w.engine.eventInterval = 40 * time.Millisecond
		if r.IntN(2) == 0 { // an engine that reports its pace beside others that do not
			w.engine.speed.pace.Observe(time.Now(), 100)
		}
		wantEngine, wantRunning, n := busiestPeer("j", statuses, w.engine.eventInterval)
		engine, ask, ok := w.takeFrom(&workJob{job: someJob("j", 9)}, statuses, 4)
		if ok != (n > 0) || engine != wantEngine {
			t.Fatalf("asked %q, want %q", engine, wantEngine)
		}
		if want := (TakeRequest{Job: "j", Max: min(4, (n+1)/2), Running: wantRunning}); ok && *ask != want {
			t.Fatalf("asked for %+v, want %+v", *ask, want)
		}
	}
}

// TestUnpacedAssignmentIsUnchanged compares the owners of items without paces with those that get
// the least expected tokens, computed here.
func TestUnpacedAssignmentIsUnchanged(t *testing.T) {
	job, items := someJob("j", 60), someItems(60)
	job.Owners, job.Ready = []string{"a", "b", "c", "d"}, 3
	order := slices.Clone(job.Owners)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(rank(job.ID, a), rank(job.ID, b)) })
	load := map[string]int{"d": weightLoadCost}
	groups := groupItems(items)
	slices.SortStableFunc(groups, func(a, b itemGroup) int { return cmp.Or(cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.name, b.name)) })
	got := AssignItems(job, items)
	for _, g := range groups {
		least := slices.MinFunc(order, func(a, b string) int { return cmp.Compare(load[a], load[b]) })
		load[least] += g.tokens
		for _, i := range g.items {
			if job.Owners[got[i]] != least {
				t.Fatalf("item %d: owner %s, want %s", i, job.Owners[got[i]], least)
			}
		}
	}
}

// TestIntakeStatesKnownPacesOnly accepts jobs while no pace, one pace and the pace of another start
// of an engine are known.
func TestIntakeStatesKnownPacesOnly(t *testing.T) {
	table := pace.NewTable(observe.Discard())
	in := &Intake{View: fleet.NewView(), Paces: table}
	engines := []string{"a:80", "b:80"}
	if got := (&Intake{}).pacesOf(in.View.Snapshot(), engines, time.Minute); got != nil {
		t.Errorf("without a table: %v", got)
	}
	if got := in.pacesOf(in.View.Snapshot(), engines, time.Minute); got != nil {
		t.Errorf("no row: %v", got)
	}
	value, err := pace.Row{Pace: 170, At: time.Minute}.Encode()
	must(t, err)
	table.Apply(store.Snapshot{Rows: []store.Row{{Key: pace.Key("b:80"), Value: value}}})
	if got := in.pacesOf(in.View.Snapshot(), engines, time.Minute); !slices.Equal(got, []int{0, 170}) {
		t.Errorf("one row: %v", got)
	}
	if got := in.pacesOf(in.View.Snapshot(), engines, time.Hour); got != nil {
		t.Errorf("stale row: %v", got)
	}
	job, items := someJob("j", 40), someItems(40)
	job.Owners, job.Ready, job.Paces = engines, 2, []int{0, 170}
	var work [2]float64
	for i, o := range AssignItems(job, items) {
		work[o] += float64(items[i].expectedWork())
	}
	if ratio := work[0] / work[1]; ratio < 1.4 || ratio > 2.1 {
		t.Errorf("an engine of unknown pace gets %.2f times the work of one of pace 170", ratio)
	}
}

// TestAnyPacesGiveAnAssignment has jobs state any paces, also too few, too many and invalid ones, as
// from a faulty entry: each group must have one owner, and all agents must agree on it.
func TestAnyPacesGiveAnAssignment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job, items := someJob("j", 40), someItems(40)
		job.Owners = names("e", rapid.IntRange(1, 9).Draw(t, "owners"))
		job.Ready = rapid.IntRange(0, len(job.Owners)).Draw(t, "ready")
		job.Paces = rapid.SliceOfN(rapid.IntRange(-5, 200_000), 0, 12).Draw(t, "paces")
		owners := AssignItems(job, items)
		for i, o := range owners {
			if o < 0 || o >= len(job.Owners) || o != owners[i/4*4] {
				t.Fatalf("item %d has owner %d, its group %d", i, o, owners[i/4*4])
			}
		}
		if !slices.Equal(owners, AssignItems(job, items)) {
			t.Fatal("two agents computed different owners")
		}
	})
}
