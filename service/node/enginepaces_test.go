package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/batch"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/pace"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// countingRows counts the reads of a store.
type countingRows struct {
	store.Rows
	reads atomic.Int64
}

func (c *countingRows) List(ctx context.Context, r store.Range) (store.Snapshot, error) {
	c.reads.Add(1)
	return c.Rows.List(ctx, r)
}

func (c *countingRows) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (store.Snapshot, error) {
	c.reads.Add(1)
	return c.Rows.Feed(ctx, table, after, wait)
}

// TestPacesAreReadOnlyWhereTheyAreReported guards against calls of entries in deployments whose
// engines report no pace, and has the first row arrive later.
func TestPacesAreReadOnlyWhereTheyAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		rows, table := &countingRows{Rows: s}, pace.NewTable(observe.Discard())
		go followPaces(t.Context(), rows, table)
		time.Sleep(time.Hour)
		if n := rows.reads.Load(); n != 1 {
			t.Errorf("%d reads while no job was accepted, want that of the start", n)
		}
		ask := func() int {
			now, _ := s.Now()
			return table.Pace("10.0.0.1:80", 0, now, 44)
		}
		for range 600 {
			ask()
			time.Sleep(time.Second)
		}
		if n := rows.reads.Load(); n > 42 {
			t.Errorf("%d reads of an empty table in ten minutes", n)
		}
		now, _ := s.Now()
		value, _ := pace.Row{Pace: 170, At: now}.Encode()
		s.Put(store.Row{Key: pace.Key("10.0.0.1:80"), Value: value})
		ask()
		time.Sleep(2 * emptyTablePause)
		if got := ask(); got != 170 {
			t.Errorf("pace %d", got)
		}
		before := rows.reads.Load()
		time.Sleep(time.Minute)
		if n := rows.reads.Load() - before; n > 6 {
			t.Errorf("%d reads a minute of a table that does not change", n)
		}
	})
}

// TestEntriesLearnOfPacesFromJobs has another entry state paces in a job: entries that have accepted
// none yet must know the paces at their first one.
func TestEntriesLearnOfPacesFromJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, table := rowstore.New(), pace.NewTable(observe.Discard())
		go followPaces(t.Context(), s, table)
		time.Sleep(time.Minute)
		demand := batch.NewDemand()
		demand.OnPaces = table.MarkReported
		watcher := demand.Watcher(&batch.Collector{Now: s.Now}, observe.Discard())
		accept := func(id string, paces []int) {
			t.Helper()
			value, err := codec.Marshal(batch.Job{ID: id, Model: "m", Work: 1, Paces: paces})
			if err != nil {
				t.Fatal(err)
			}
			watcher.Apply(store.Snapshot{Rows: []store.Row{{Key: store.Key{Table: batch.TableJobs, Name: id}, Value: value}}})
		}
		now, _ := s.Now()
		value, _ := pace.Row{Pace: 170, At: now}.Encode()
		s.Put(store.Row{Key: pace.Key("10.0.0.1:80"), Value: value})
		accept("without", nil)
		time.Sleep(2 * emptyTablePause)
		select {
		case <-table.Reported():
			t.Fatal("a job without paces counts as one with paces")
		default:
		}
		accept("with", []int{0, 170})
		time.Sleep(time.Second)
		now, _ = s.Now()
		if got := table.Pace("10.0.0.1:80", 0, now, 44); got != 170 {
			t.Errorf("pace %d at the first job", got)
		}
	})
}
