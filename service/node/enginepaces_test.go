package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/pace"
	"mulberryscale.example/store"
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
