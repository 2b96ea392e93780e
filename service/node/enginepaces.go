package node

import (
	"context"
	"sync"
	"time"

	"mulberryscale.example/pace"
	"mulberryscale.example/store"
)

// emptyTablePause is the time between two reads of the table of paces while it has no rows. A
// deployment whose engines report no pace costs an entry one read in this time, and none
// while it accepts no jobs.
const emptyTablePause = 15 * time.Second

// writePace writes the pace of the engine beside this agent until ctx is cancelled.
func (a *Agent) writePace(ctx context.Context, wg *sync.WaitGroup) {
	writer := &pace.Writer{
		Rows: a.rows, Engine: a.settings.Engine, Read: a.worker.PaceReading, Agents: a.worker.Agents, Now: a.store.Now,
		Log: a.log, Counters: a.counters,
	}
	wg.Go(func() { writer.Run(ctx) })
}

// followPaces keeps a table of paces up to date until ctx is cancelled. It begins once the table is
// asked for a pace and the store has a row, or once another entry has stated paces in a job.
func followPaces(ctx context.Context, rows store.Rows, table *pace.Table) {
	awaitPaces(ctx, rows, table)
	if ctx.Err() == nil {
		store.Follow(ctx, rows, enginePacesSource(), table)
	}
}

// awaitPaces returns once the deployment is known to have paces, or ctx is cancelled.
func awaitPaces(ctx context.Context, rows store.Rows, table *pace.Table) {
	for !hasPaces(ctx, rows) {
		select {
		case <-ctx.Done():
			return
		case <-table.Reported():
			return
		case <-time.After(emptyTablePause):
		}
		select {
		case <-ctx.Done():
			return
		case <-table.Reported():
			return
		case <-table.Wanted():
		}
	}
}

// hasPaces reports whether the store has a row of an engine's pace.
func hasPaces(ctx context.Context, rows store.Rows) bool {
	s, err := rows.List(ctx, store.Range{Table: pace.TablePaces})
	return err == nil && len(s.Rows) > 0
}
