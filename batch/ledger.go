package batch

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"time"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// Tables of the store.
//
//	batch_jobs     name ID: the Job; name ID/end: the client has ended the job
//	batch_items    name ID/000…: the items, CBOR, split into rows
//
// Items that are too large for rows are stored in objects, see upload.go. Results and saved text have tables of their own, see results.go and progress.go.
//
// Jobs and their items share one part, so that one transaction can accept a job completely.
const (
	TableJobs  = "batch_jobs"
	tableItems = "batch_items"

	endSuffix = "/end"
)

const (
	// maxInlineBytes is the largest encoding of a job's items that is stored in rows;
	// larger ones are stored in objects. The store limits a transaction to 1 MB, in an
	// encoding that needs four bytes for three.
	maxInlineBytes = 640 << 10
	// rowFillShare is the share of RowBytes that a row's value may use, which keeps it
	// below the store's limit.
	rowFillShare = 0.9
	// writeRetryPause is the pause before a write whose outcome is unknown is retried.
	writeRetryPause = 100 * time.Millisecond
)

// errCorrupt means that the stored items are not those of the accepted job.
var errCorrupt = errors.New("batch: stored items corrupt")

// Ledger stores jobs, their items and their results. It is safe for concurrent use.
type Ledger struct {
	Store store.Store
	// RowBytes is the size limit of a row's value, ObjectBytes that of an object.
	RowBytes, ObjectBytes int
}

// Submit accepts a job: once it returns nil, the job and its items are stored. It
// is idempotent: a job that was accepted before is accepted again. After an error
// that wraps store.ErrRefused the job is not accepted and will not be by this call;
// after ErrTooLarge it never is. Any other error leaves the outcome unknown.
func (l *Ledger) Submit(ctx context.Context, job *Job, items []Item) error {
	data, err := codec.Marshal(items)
	if errors.Is(err, codec.ErrTooLarge) {
		return fmt.Errorf("%w: %d items: %v", ErrTooLarge, len(items), err)
	}
	if err != nil {
		return fmt.Errorf("%w: encode items: %v", store.ErrInvalid, err)
	}
	sum := sha256.Sum256(data)
	job.ItemsSum = sum[:]
	if len(data) > maxInlineBytes {
		return l.submitObjects(ctx, job, data)
	}
	return l.submitRows(ctx, job, data)
}

// submitRows accepts a job whose items are stored in rows, in the same transaction.
func (l *Ledger) submitRows(ctx context.Context, job *Job, data []byte) error {
	tx := store.Tx{If: []store.Condition{{Key: jobKey(job.ID)}}}
	chunks := splitBytes(data, l.rowLimit())
	job.Chunks = len(chunks)
	for i, chunk := range chunks {
		tx.Put = append(tx.Put, store.Row{Key: itemsKey(job.ID, i), Value: chunk})
	}
	head, err := codec.Marshal(job)
	if err != nil {
		return fmt.Errorf("%w: encode a job: %v", store.ErrInvalid, err)
	}
	tx.Put = append(tx.Put, store.Row{Key: jobKey(job.ID), Value: head})
	return l.commitOnce(ctx, tx)
}

// commitOnce commits a transaction whose conditions can hold only once. A conflict means
// that it, or an equivalent one, was committed before.
func (l *Ledger) commitOnce(ctx context.Context, tx store.Tx) error {
	_, err := l.commit(ctx, tx)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// commit commits a transaction and retries it while it is refused or its outcome is unknown.
// After store.ErrConflict, an earlier attempt of it may have been committed.
func (l *Ledger) commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	unknown := false // an earlier attempt may still be committed
	for {
		s, err := l.Store.Commit(ctx, tx)
		switch {
		case err == nil, errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrInvalid):
			return s, err
		case errors.Is(err, store.ErrUnknown):
			unknown = true
		}
		if pause.Sleep(ctx, writeRetryPause) != nil {
			if unknown {
				err = fmt.Errorf("%w: %v", store.ErrUnknown, err)
			}
			return store.Snapshot{}, err
		}
	}
}

// Job reads a job; found is false if it does not exist, ended is true if its client
// has ended it.
func (l *Ledger) Job(ctx context.Context, id string) (job *Job, ended, found bool, err error) {
	if !validJobID(id) {
		return nil, false, false, nil // such an id is never accepted
	}
	s, err := l.Store.List(ctx, store.Range{Table: TableJobs, From: id, To: id + endSuffix + "\x00"})
	if err != nil {
		return nil, false, false, err
	}
	for _, row := range s.Rows {
		switch row.Name {
		case id:
			if job, err = DecodeJob(row.Value); err != nil {
				return nil, false, false, err
			}
		case id + endSuffix:
			ended = true
		}
	}
	return job, ended, job != nil, nil
}

// Items reads the items of a job.
func (l *Ledger) Items(ctx context.Context, job *Job) ([]Item, error) {
	var data []byte
	var err error
	if job.InObjects {
		data, err = l.objects(ctx, job)
	} else {
		data, err = l.itemRows(ctx, job)
	}
	if err != nil {
		return nil, err
	}
	if err := job.checkSum(data); err != nil {
		return nil, err
	}
	var items []Item
	if err := codec.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("items of job %s: %w", job.ID, err)
	}
	if len(items) != job.Items {
		return nil, fmt.Errorf("items of job %s: %d instead of %d", job.ID, len(items), job.Items)
	}
	return items, nil
}

// checkSum returns an error if data are not the encoded items that were accepted. Jobs of
// earlier versions have no digest.
func (j *Job) checkSum(data []byte) error {
	sum := sha256.Sum256(data)
	if len(j.ItemsSum) == 0 || bytes.Equal(sum[:], j.ItemsSum) {
		return nil
	}
	return fmt.Errorf("items of job %s: %w: %d bytes with the digest %x instead of %x", j.ID, errCorrupt, len(data), sum, j.ItemsSum)
}

func (l *Ledger) itemRows(ctx context.Context, job *Job) ([]byte, error) {
	s, err := store.ListAll(ctx, l.Store, store.Range{
		Table: tableItems, From: job.ID + "/", To: job.ID + "/~",
	})
	if err != nil {
		return nil, err
	}
	if len(s.Rows) != job.Chunks {
		return nil, fmt.Errorf("items of job %s: %d rows instead of %d", job.ID, len(s.Rows), job.Chunks)
	}
	var data []byte
	for _, row := range s.Rows {
		data = append(data, row.Value...)
	}
	return data, nil
}

// End records that the client has ended a job. It is idempotent.
func (l *Ledger) End(ctx context.Context, id string) error {
	key := jobKey(id + endSuffix)
	return l.commitOnce(ctx, store.Tx{
		If:  []store.Condition{{Key: key}},
		Put: []store.Row{{Key: key, Value: []byte{}}},
	})
}

// Remove deletes a job, its items, its results and its saved text.
func (l *Ledger) Remove(ctx context.Context, job *Job) error {
	tx := store.Tx{Delete: []store.Key{jobKey(job.ID), jobKey(job.ID + endSuffix)}}
	if job.InObjects {
		if err := l.removeObjects(ctx, job); err != nil {
			return err
		}
	} else {
		for i := range job.Chunks {
			tx.Delete = append(tx.Delete, itemsKey(job.ID, i))
		}
	}
	for _, table := range []string{resultsTable(job.ID), tableDone, tableProgress} {
		if err := l.removePart(ctx, table, job.ID); err != nil {
			return err
		}
	}
	_, err := l.Store.Commit(ctx, tx)
	return err
}

// maxDeletes is the number of entries that one transaction of the store may have.
const maxDeletes = 100

// removePart deletes all rows of a job in a table.
func (l *Ledger) removePart(ctx context.Context, table, jobID string) error {
	for {
		s, err := l.Store.List(ctx, store.Range{Table: table, Part: jobID})
		if err != nil || len(s.Rows) == 0 {
			return err
		}
		tx := store.Tx{}
		for _, row := range s.Rows[:min(len(s.Rows), maxDeletes)] {
			tx.Delete = append(tx.Delete, row.Key)
		}
		if _, err := l.Store.Commit(ctx, tx); err != nil {
			return err
		}
	}
}

// DecodeJob decodes the value of a job's row in TableJobs.
func DecodeJob(value []byte) (*Job, error) {
	job := &Job{}
	if err := codec.Unmarshal(value, job); err != nil {
		return nil, fmt.Errorf("decode a job: %w", err)
	}
	return job, nil
}

// ParseJobRowName returns the id of the job that a row of TableJobs belongs to; end
// is true for the row that records the end of the job.
func ParseJobRowName(name string) (id string, end bool) {
	id, end = strings.CutSuffix(name, endSuffix)
	return id, end
}

func jobKey(name string) store.Key { return store.Key{Table: TableJobs, Name: name} }

func itemsKey(id string, i int) store.Key {
	return store.Key{Table: tableItems, Name: fmt.Sprintf("%s/%03d", id, i)}
}

func (l *Ledger) rowLimit() int { return int(rowFillShare * float64(l.RowBytes)) }

// splitBytes splits data into chunks of at most limit bytes; empty data gives one empty chunk.
func splitBytes(data []byte, limit int) [][]byte {
	var chunks [][]byte
	for len(data) > limit {
		chunks = append(chunks, data[:limit])
		data = data[limit:]
	}
	return append(chunks, data)
}
