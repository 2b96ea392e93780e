package batch

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// Tables of the results.
//
//	batch_results_NN  part job ID: what was appended, one transaction a batch of results
//	batch_done        part job ID: the ids of the items of each such batch, in the same transaction
//
// Results are spread over tables by their jobs, since a feed is of a whole table:
// whoever reads a job hears of few others. Who only wants to know which items are
// done reads batch_done, a hundredth of the texts.
const (
	tableDone     = "batch_done"
	resultsPrefix = "batch_results_"
	// resultTables is the number of tables that results are spread over. The store
	// takes 100 tables of everybody together; six trainers have a dozen open jobs.
	resultTables = 48
)

// maxAppendBytes bounds one append: the store takes 1 MB a transaction, in an
// encoding that needs four bytes for three.
const maxAppendBytes = 512 << 10

// Append adds results to a job's list. The name must be new for each batch and
// the same for each repetition of one, so that a batch is appended once.
func (l *Ledger) Append(ctx context.Context, jobID, name string, results []Result) error {
	data, err := codec.Marshal(results)
	if err != nil {
		return fmt.Errorf("%w: encode results: %v", store.ErrInvalid, err)
	}
	done, err := codec.Marshal(idsOf(results))
	if err != nil {
		return fmt.Errorf("%w: encode ids: %v", store.ErrInvalid, err)
	}
	tx := store.Tx{}
	for i, piece := range splitBytes(data, l.rowLimit()) {
		key := store.Key{Table: resultsTable(jobID), Part: jobID, Name: fmt.Sprintf("%s/%03d", name, i)}
		tx.If = append(tx.If, store.Condition{Key: key})
		tx.Put = append(tx.Put, store.Row{Key: key, Value: piece})
	}
	for i, piece := range splitBytes(done, l.rowLimit()) {
		key := store.Key{Table: tableDone, Part: jobID, Name: fmt.Sprintf("%s/%03d", name, i)}
		tx.Put = append(tx.Put, store.Row{Key: key, Value: piece})
	}
	return l.commitOnce(ctx, tx)
}

func idsOf(results []Result) []string {
	ids := make([]string, len(results))
	for i := range results {
		ids[i] = results[i].ID
	}
	return ids
}

// Done reads the ids of the items of a job that have a result.
func (l *Ledger) Done(ctx context.Context, jobID string) (map[string]bool, error) {
	s, err := store.ListAll(ctx, l.Store, store.Range{Table: tableDone, Part: jobID})
	if err != nil {
		return nil, err
	}
	done := map[string]bool{}
	for _, data := range joinRows(s.Rows) {
		var ids []string
		if err := codec.Unmarshal(data, &ids); err != nil {
			return nil, fmt.Errorf("done items of job %s: %w", jobID, err)
		}
		for _, id := range ids {
			done[id] = true
		}
	}
	return done, nil
}

// Results reads all results of a job so far, and the version up to which they are whole.
func (l *Ledger) Results(ctx context.Context, jobID string) (*Listing, error) {
	s, err := store.ListAll(ctx, l.Store, store.Range{Table: resultsTable(jobID), Part: jobID})
	if err != nil {
		return nil, err
	}
	listing := NewListing()
	return listing, listing.Load(s)
}

// resultsTable is the table of a job's results.
func resultsTable(jobID string) string {
	return fmt.Sprintf("%s%02d", resultsPrefix, xxhash.Sum64String(jobID)%resultTables)
}
