package batch

import (
	"cmp"
	"fmt"
	"slices"

	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// Listing is the list of a job's results in the order in which the store committed
// them. All readers compute the same list: the rows of one transaction are one
// batch, batches are ordered by the store's version, and of several results of an
// item only the first is listed. It is not safe for concurrent use.
type Listing struct {
	Results []Result
	// Version is the store's version up to which the list is complete.
	Version uint64

	listed map[string]bool // by item id
}

// NewListing returns an empty list.
func NewListing() *Listing { return &Listing{listed: map[string]bool{}} }

// Listed reports whether an item has a result.
func (l *Listing) Listed(itemID string) bool { return l.listed[itemID] }

// Load adds all rows of a job's part. It skips rows newer than the snapshot's
// version, since other rows of that age may be missing; the feed brings them.
func (l *Listing) Load(s store.Snapshot) error {
	rows := slices.DeleteFunc(slices.Clone(s.Rows), func(r store.Row) bool { return r.Version > s.Version })
	return l.apply(rows, s.Version)
}

// Apply adds rows of the feed up to a version; rows that are known already are skipped.
func (l *Listing) Apply(rows []store.Row, version uint64) error { return l.apply(rows, version) }

func (l *Listing) apply(rows []store.Row, version uint64) error {
	rows = slices.DeleteFunc(slices.Clone(rows), func(r store.Row) bool { return r.Deleted || r.Version <= l.Version })
	slices.SortFunc(rows, func(a, b store.Row) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	for len(rows) > 0 {
		n := 1
		for n < len(rows) && rows[n].Version == rows[0].Version {
			n++
		}
		if err := l.addBatch(rows[:n]); err != nil {
			return err
		}
		rows = rows[n:]
	}
	l.Version = max(l.Version, version)
	return nil
}

// addBatch adds the results in the rows of one transaction.
func (l *Listing) addBatch(rows []store.Row) error {
	var data []byte
	for _, row := range rows {
		data = append(data, row.Value...)
	}
	var batch []Result
	if err := codec.Unmarshal(data, &batch); err != nil {
		return fmt.Errorf("results %s of job %s: %w", rows[0].Name, rows[0].Part, err)
	}
	for _, r := range batch {
		if l.listed[r.ID] {
			continue
		}
		l.listed[r.ID] = true
		l.Results = append(l.Results, r)
	}
	return nil
}
