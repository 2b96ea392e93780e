package batch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/store"
)

func newLedger(s store.Store) *Ledger { return &Ledger{Store: s, RowBytes: 4096, ObjectBytes: 1 << 20} }

func someItems(n int) []Item {
	items := make([]Item, n)
	for i := range items {
		items[i] = Item{
			ID: fmt.Sprintf("item-%03d", i), Path: "/p/1", Body: []byte(strings.Repeat("b", 100)),
			Tokens: 100, Group: fmt.Sprintf("g%d", i/4), ExpectedTokens: 10 + i,
		}
	}
	return items
}

func someJob(id string, items int) *Job {
	return &Job{ID: id, Service: "svc", Items: items, MaxAttempts: 3, ItemTTL: 40 * time.Second}
}

// Each write of a job (submit, end, append) takes effect exactly once for each outcome
// of the store's commit.
func TestWritesTakeEffectOnceForEachCommitOutcome(t *testing.T) {
	type write struct {
		name string
		do   func(ctx context.Context, l *Ledger) error
		done func(t *testing.T, s *rowstore.Store) bool
	}
	writes := []write{
		{"submit", func(ctx context.Context, l *Ledger) error { return l.Submit(ctx, someJob("j", 8), someItems(8)) },
			func(t *testing.T, s *rowstore.Store) bool {
				return len(s.Rows(TableJobs)) == 1 && len(s.Rows(tableItems)) > 0
			}},
		{"end", func(ctx context.Context, l *Ledger) error { return l.End(ctx, "j") },
			func(t *testing.T, s *rowstore.Store) bool { return len(s.Rows(TableJobs)) == 1 }},
		{"append", func(ctx context.Context, l *Ledger) error {
			return l.Append(ctx, "j", "w-1", []Result{{ID: "a", State: StateDone}})
		}, func(t *testing.T, s *rowstore.Store) bool { return len(s.Rows(resultsTable("j"))) == 1 }},
	}
	outcomes := map[string]rowstore.Outcome{
		"done": rowstore.Done, "refused": rowstore.Refused, "lost": rowstore.ReplyLost, "dropped": rowstore.RequestLost, "late": rowstore.Late,
	}
	for _, w := range writes {
		for name, outcome := range outcomes {
			t.Run(w.name+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := rowstore.New()
					s.QueueOutcomes(outcome)
					if err := w.do(t.Context(), newLedger(s)); err != nil {
						t.Fatalf("got %v", err)
					}
					time.Sleep(2 * rowstore.LateBy)
					if !w.done(t, s) {
						t.Fatalf("not stored exactly once: %v", s.Rows(TableJobs))
					}
					if n := s.Commits(); n != 1 {
						t.Fatalf("%d transactions took effect", n)
					}
				})
			})
		}
	}
}

// ErrRefused promises that the job never runs, so Submit may return it only if no
// attempt can still be committed.
func TestSubmitReturnsErrRefusedOnlyIfNoCommitIsPossible(t *testing.T) {
	const many = 50 // more attempts than fit into the deadline
	for name, outcome := range map[string]rowstore.Outcome{
		"refused": rowstore.Refused, "dropped": rowstore.RequestLost, "late": rowstore.Late, "late, then refused": rowstore.Late,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := rowstore.New()
				s.QueueOutcomes(outcome)
				next := outcome
				if name == "late, then refused" {
					next = rowstore.Refused
				}
				s.QueueOutcomes(slices.Repeat([]rowstore.Outcome{next}, many)...)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := newLedger(s).Submit(ctx, someJob("j", 4), someItems(4))
				if refused := errors.Is(err, store.ErrRefused); refused != (outcome == rowstore.Refused) {
					t.Fatalf("got %v", err)
				}
				if outcome != rowstore.Refused && !errors.Is(err, store.ErrUnknown) {
					t.Fatalf("got %v", err)
				}
			})
		})
	}
}

func TestSubmittedTwiceIsAcceptedOnce(t *testing.T) {
	s := rowstore.New()
	l := newLedger(s)
	for range 2 {
		if err := l.Submit(t.Context(), someJob("j", 4), someItems(4)); err != nil {
			t.Fatal(err)
		}
	}
	if s.Commits() != 1 {
		t.Fatalf("%d transactions", s.Commits())
	}
}

func TestItemsAreReadBackCompletely(t *testing.T) {
	for _, n := range []int{1, 20, 3000} { // one row, several rows, objects
		l := newLedger(rowstore.New())
		l.ObjectBytes = 200 << 10
		items := someItems(n)
		for i := range items {
			items[i].Body = []byte(strings.Repeat("x", 300))
		}
		job := someJob("j", n)
		if err := l.Submit(t.Context(), job, items); err != nil {
			t.Fatal(err)
		}
		read, ended, found, err := l.Job(t.Context(), "j")
		if err != nil || ended || !found {
			t.Fatalf("got %v %v %v", ended, found, err)
		}
		back, err := l.Items(t.Context(), read)
		if err != nil {
			t.Fatal(err)
		}
		if len(back) != n || back[n-1].ID != items[n-1].ID || string(back[0].Body) != string(items[0].Body) {
			t.Fatalf("%d items came back as %d", n, len(back))
		}
		if (n == 3000) != read.InObjects {
			t.Fatalf("%d items in objects: %v", n, read.InObjects)
		}
	}
}

// Guards against a job whose results can't be listed since an engine's text is no valid UTF-8.
func TestResultsOfAnyBytesAreListed(t *testing.T) {
	l := newLedger(rowstore.New())
	must(t, l.Append(t.Context(), "j", "w", []Result{{ID: "a", State: StateDone, Output: "a\xff"}, {ID: "b", State: StateDone}}))
	listing, err := l.Results(t.Context(), "j")
	if err != nil || len(listing.Results) != 2 || listing.Results[0].Output != "a\xff" {
		t.Fatalf("got %v, %v", listing.Results, err)
	}
}

func TestRemoveDeletesAllRows(t *testing.T) {
	s := rowstore.New()
	l := newLedger(s)
	job := someJob("j", 4)
	must(t, l.Submit(t.Context(), job, someItems(4)))
	must(t, l.Append(t.Context(), "j", "w", []Result{{ID: "a", State: StateDone}}))
	must(t, l.saveProgress(t.Context(), "j", "w", []segment{{Events: []string{"e"}}}))
	must(t, l.End(t.Context(), "j"))
	must(t, l.Remove(t.Context(), job))
	for _, table := range []string{TableJobs, tableItems, resultsTable("j"), tableDone, tableProgress} {
		if rows := s.Rows(table); len(rows) > 0 {
			t.Errorf("%s: %d rows left", table, len(rows))
		}
	}
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// All readers compute the same list, whenever they start to read and even if an item
// is appended twice.
func TestReadersAgreeOnPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rowstore.New()
		l := newLedger(s)
		l.RowBytes = 64 // several rows a batch
		early := NewListing()
		batches := rapid.IntRange(1, 12).Draw(t, "batches")
		for b := range batches {
			n := rapid.IntRange(1, 4).Draw(t, "n")
			var results []Result
			for range n {
				id := rapid.IntRange(0, 9).Draw(t, "item")
				results = append(results, Result{ID: fmt.Sprint(id), State: StateDone, Output: strings.Repeat("o", id*9) + fmt.Sprint(b)})
			}
			if err := l.Append(context.Background(), "j", fmt.Sprintf("w%d", rapid.IntRange(0, 99).Draw(t, "writer")*100+b), results); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "feed") {
				feed, err := s.Feed(context.Background(), resultsTable("j"), early.Version, 0)
				if err != nil {
					t.Fatal(err)
				}
				if err := early.Apply(feed.Rows, feed.Version); err != nil {
					t.Fatal(err)
				}
			}
		}
		late, err := l.Results(context.Background(), "j")
		if err != nil {
			t.Fatal(err)
		}
		for i, r := range early.Results {
			if late.Results[i].ID != r.ID || late.Results[i].Output != r.Output {
				t.Fatalf("position %d: %v for one reader, %v for another", i, r, late.Results[i])
			}
		}
		seen := map[string]bool{}
		for _, r := range late.Results {
			if seen[r.ID] {
				t.Fatalf("item %s is listed twice", r.ID)
			}
			seen[r.ID] = true
		}
	})
}
