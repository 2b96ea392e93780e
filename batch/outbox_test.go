package batch

import (
	"fmt"
	"testing"

	"mulberryscale.example/internal/standin/rowstore"
)

// Guards against results that are never listed, since many without text are appended in a
// transaction that the store doesn't take.
func TestAppendsOfManyResultsFitIntoTransactions(t *testing.T) {
	const items = 40_000 // given up at the same time
	l := newLedger(rowstore.New())
	l.RowBytes = 64 << 10
	o := newOutbox(&Worker{WorkerConfig: WorkerConfig{Node: "n"}}, nil)
	for i := range items {
		id := fmt.Sprintf("%016x", i)
		o.pending = append(o.pending, pendingResult{i, Result{ID: id, State: StateFailed, Group: "g" + id}})
	}
	for results, name := o.next(); len(results) > 0; results, name = o.next() {
		var batch []Result
		for _, r := range results {
			batch = append(batch, r.result)
		}
		if err := l.Append(t.Context(), "j", name, batch); err != nil {
			t.Fatalf("%d results: %v", len(batch), err)
		}
	}
	if listing, err := l.Results(t.Context(), "j"); err != nil || len(listing.Results) != items {
		t.Fatalf("%d of %d results listed, %v", len(listing.Results), items, err)
	}
}
