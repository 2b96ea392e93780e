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
//	batch_results_NN  part job ID: the results, one transaction for each batch of them
//	batch_done        part job ID: the item ids of each such batch, in the same transaction
//
// Results are sharded over tables by job, since a feed covers an entire table: the
// reader of a job receives few results of other jobs. Agents that only need to know
// which items are done read batch_done, which is a hundredth of the size.
const (
	tableDone     = "batch_done"
	resultsPrefix = "batch_results_"
	// resultTables is the number of tables that results are sharded over. The store
	// takes 100 tables from all its clients together; six trainers have a dozen open
	// jobs.
	resultTables = 48
)

const (
	// maxAppendBytes bounds the results in one append: the store limits a transaction to 1 MB,
	// in an encoding that needs four bytes for three.
	maxAppendBytes = 512 << 10
	// maxResultOverhead is more than the encoding of a result needs beyond its texts.
	maxResultOverhead = 32
	// maxVersionBytes is the size of the largest encoded version.
	maxVersionBytes = 9
)

// storedBytes bounds the size of a result in the store, where its ID stands twice.
func (r *Result) storedBytes() int {
	return len(r.Output) + 2*len(r.ID) + len(r.Group) + len(r.Score) + maxVersionBytes*len(r.Versions) + maxResultOverhead
}

// Append adds a batch of results to a job's list. The name identifies the batch: it
// is unique to the batch and the same in each retry, so that the batch is appended
// only once.
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
	for i, chunk := range splitBytes(data, l.rowLimit()) {
		key := store.Key{Table: resultsTable(jobID), Part: jobID, Name: fmt.Sprintf("%s/%03d", name, i)}
		tx.If = append(tx.If, store.Condition{Key: key})
		tx.Put = append(tx.Put, store.Row{Key: key, Value: chunk})
	}
	for i, chunk := range splitBytes(done, l.rowLimit()) {
		key := store.Key{Table: tableDone, Part: jobID, Name: fmt.Sprintf("%s/%03d", name, i)}
		tx.Put = append(tx.Put, store.Row{Key: key, Value: chunk})
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

// Done returns the ids of the items of a job that have a result.
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

// Results reads all results of a job so far; Listing.Version is the version up to which
// they are complete.
func (l *Ledger) Results(ctx context.Context, jobID string) (*Listing, error) {
	s, err := store.ListAll(ctx, l.Store, store.Range{Table: resultsTable(jobID), Part: jobID})
	if err != nil {
		return nil, err
	}
	listing := NewListing()
	return listing, listing.Load(s)
}

// resultsTable returns the table that holds a job's results.
func resultsTable(jobID string) string {
	return fmt.Sprintf("%s%02d", resultsPrefix, xxhash.Sum64String(jobID)%resultTables)
}
