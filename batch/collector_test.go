package batch

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
)

func TestJobsAreRemovedAfterTheirRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		l := newLedger(s)
		for i := range 3 {
			id := fmt.Sprint("j", i)
			must(t, l.Submit(t.Context(), someJob(id, 2), someItems(2)))
			must(t, l.Append(t.Context(), id, "w", []Result{{ID: "item-000", State: StateDone}}))
		}
		must(t, l.End(t.Context(), "j0"))
		must(t, l.End(t.Context(), "j1"))
		c := &Collector{Ledger: l, Retention: 2 * time.Minute, Now: s.Now, Log: observe.Discard()}
		go store.Follow(t.Context(), s, store.Source{Table: TableJobs}, NewDemand().Watcher(c, observe.Discard()))
		go c.Run(t.Context())
		time.Sleep(2 * time.Minute)
		results := func() []store.Row {
			return slices.Concat(s.Rows(resultsTable("j0")), s.Rows(resultsTable("j1")), s.Rows(resultsTable("j2")))
		}
		if n := len(results()); n != 3 {
			t.Fatalf("%d jobs with results left before the end of their retention", n)
		}
		time.Sleep(time.Minute)
		if rows := results(); len(rows) != 1 || rows[0].Part != "j2" {
			t.Fatalf("rows left: %v", rows)
		}
		time.Sleep(openRetention)
		if rows := s.Rows(TableJobs); len(rows) != 0 {
			t.Fatalf("rows left: %v", rows)
		}
	})
}
