package batch

import (
	"context"
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
// Results and saved text have tables of their own, see results.go and progress.go.
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

// Ledger stores jobs, their items and their results. It is safe for concurrent use.
type Ledger struct {
	Store store.Store
	// RowBytes is the size limit of a row's value, ObjectBytes that of an object.
	RowBytes, ObjectBytes int
}

// Submit accepts a job: once it returns nil, the job and its items are stored. It
// is idempotent: a job that was accepted before is accepted again. After an error
// that wraps store.ErrRefused the job is not accepted and will not be by this call;
// any other error leaves the outcome unknown.
func (l *Ledger) Submit(ctx context.Context, job *Job, items []Item) error {
	data, err := codec.Marshal(items)
	if err != nil {
		return fmt.Errorf("%w: encode items: %v", store.ErrInvalid, err)
	}
	tx := store.Tx{If: []store.Condition{{Key: jobKey(job.ID)}}}
	if len(data) > maxInlineBytes {
		job.InObjects = true
		job.Chunks, err = l.putObjects(ctx, job.ID, data)
		if err != nil {
			return err
		}
	} else {
		chunks := splitBytes(data, l.rowLimit())
		job.Chunks = len(chunks)
		for i, chunk := range chunks {
			tx.Put = append(tx.Put, store.Row{Key: itemsKey(job.ID, i), Value: chunk})
		}
	}
	head, err := codec.Marshal(job)
	if err != nil {
		return fmt.Errorf("%w: encode a job: %v", store.ErrInvalid, err)
	}
	tx.Put = append(tx.Put, store.Row{Key: jobKey(job.ID), Value: head})
	return l.commitOnce(ctx, tx)
}

// commitOnce commits a transaction whose conditions can hold only once, and retries
// it while its outcome is unknown. A conflict means that it, or an equivalent one,
// was committed before.
func (l *Ledger) commitOnce(ctx context.Context, tx store.Tx) error {
	unknown := false // an earlier attempt may still be committed
	for {
		_, err := l.Store.Commit(ctx, tx)
		switch {
		case err == nil, errors.Is(err, store.ErrConflict):
			return nil
		case errors.Is(err, store.ErrInvalid):
			return err
		case errors.Is(err, store.ErrUnknown):
			unknown = true
		}
		if pause.Sleep(ctx, writeRetryPause) != nil {
			if unknown {
				return fmt.Errorf("%w: %v", store.ErrUnknown, err)
			}
			return err
		}
	}
}

func (l *Ledger) putObjects(ctx context.Context, id string, data []byte) (int, error) {
	chunks := splitBytes(data, l.ObjectBytes)
	for i, chunk := range chunks {
		for {
			err := l.Store.PutObject(ctx, objectName(id, i), chunk)
			if err == nil || errors.Is(err, store.ErrConflict) {
				break
			}
			// An object alone does not accept the job, so its outcome may stay unknown.
			if errors.Is(err, store.ErrInvalid) || pause.Sleep(ctx, writeRetryPause) != nil {
				return 0, fmt.Errorf("%w: %v", store.ErrRefused, err)
			}
		}
	}
	return len(chunks), nil
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
	var items []Item
	if err := codec.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("items of job %s: %w", job.ID, err)
	}
	if len(items) != job.Items {
		return nil, fmt.Errorf("items of job %s: %d instead of %d", job.ID, len(items), job.Items)
	}
	return items, nil
}

func (l *Ledger) objects(ctx context.Context, job *Job) ([]byte, error) {
	var data []byte
	for i := range job.Chunks {
		chunk, err := l.Store.GetObject(ctx, objectName(job.ID, i))
		if err != nil {
			return nil, err
		}
		data = append(data, chunk...)
	}
	return data, nil
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
	for i := range job.Chunks {
		if !job.InObjects {
			tx.Delete = append(tx.Delete, itemsKey(job.ID, i))
			continue
		}
		if err := l.Store.DeleteObject(ctx, objectName(job.ID, i)); err != nil {
			return err
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

func objectName(id string, i int) string { return fmt.Sprintf("items-%s-%03d", id, i) }

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
