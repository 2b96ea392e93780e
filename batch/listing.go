package batch

import (
	"cmp"
	"fmt"
	"slices"

	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// Listing is the list of a job's results in the order in which the store took
// them. All readers compute the same list: the rows of one transaction are one
// batch, batches follow each other by the store's version, and of two results
// of one item the first stands. It is not safe for concurrent use.
type Listing struct {
	Results []Result
	// Version is the store's version up to which the list is whole.
	Version uint64

	listed map[string]bool // by item id
}

// NewListing returns an empty list.
func NewListing() *Listing { return &Listing{listed: map[string]bool{}} }

// Listed reports whether an item has a result.
func (l *Listing) Listed(itemID string) bool { return l.listed[itemID] }

// Load takes all rows of a job's part; rows newer than the snapshot's version
// are left to the feed, since others of the same age may be missing.
func (l *Listing) Load(s store.Snapshot) error {
	rows := slices.DeleteFunc(slices.Clone(s.Rows), func(r store.Row) bool { return r.Version > s.Version })
	return l.apply(rows, s.Version)
}

// Apply takes rows of the feed up to a version; rows that are known are passed over.
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

// addBatch takes the rows of one transaction.
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
