package quarantine

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"mulberryscale.example/store"
)

// Record is what stands in the store about one content.
type Record struct {
	Fingerprint Fingerprint
	// Endpoints are the ids of those that ended under it.
	Endpoints []string
	// Trials is how often it was tried out since.
	Trials int
	// Since is how long ago the last end or trial was.
	Since time.Duration
	// State is the one on requests, Wait how long a held one stays held.
	State State
	Wait  time.Duration
}

// String implements fmt.Stringer.
func (v State) String() string {
	switch v {
	case Clear:
		return "clear"
	case Suspect:
		return "suspect"
	case Quarantined:
		return "held"
	case TrialDue:
		return "trial due"
	}
	return fmt.Sprint(int(v))
}

// List reads what all processes have seen, in order of the contents' names.
func List(ctx context.Context, rows store.Rows) ([]Record, error) {
	s, err := store.ListAll(ctx, rows, store.Range{Table: Table})
	if err != nil {
		return nil, err
	}
	b := newBook()
	for _, row := range s.Rows {
		e, err := decode(row)
		if err != nil {
			return nil, err
		}
		b.note(e)
	}
	var list []Record
	for _, subject := range slices.Sorted(maps.Keys(b.subjects)) {
		h := b.subjects[subject]
		c := Record{Fingerprint: subject, Trials: len(h.trials), Since: s.Now - h.last()}
		for of := range h.ends {
			c.Endpoints = append(c.Endpoints, of.ID)
		}
		slices.Sort(c.Endpoints)
		c.State, c.Wait = h.judge(RequestLimit, s.Now)
		list = append(list, c)
	}
	return list, nil
}

// afterSlash follows a slash in the order of bytes.
const afterSlash = "0"

// Release removes all that is held against a content, and reports whether there was
// anything.
func Release(ctx context.Context, rows store.Rows, subject Fingerprint) (bool, error) {
	prefix := string(subject) + "/"
	s, err := store.ListAll(ctx, rows, store.Range{Table: Table, From: prefix, To: string(subject) + afterSlash})
	if err != nil || len(s.Rows) == 0 {
		return false, err
	}
	var tx store.Tx
	for _, row := range s.Rows[:min(len(s.Rows), maxEntries)] {
		tx.Delete = append(tx.Delete, row.Key)
	}
	_, err = rows.Commit(ctx, tx)
	return err == nil, err
}
