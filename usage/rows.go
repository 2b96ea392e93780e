package usage

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// TableCounts holds a row for each window and start of an entry, in a part for
// each availability zone: a part of the store takes 150 transactions a second.
const TableCounts = "usage_counts"

// countsKey is the row of an entry's counts of a window.
func countsKey(zone string, window uint64, entry string) store.Key {
	return store.Key{Table: TableCounts, Part: zone, Name: windowName(window) + entry}
}

// windowName begins the names of a window's rows. Names of earlier windows come first.
func windowName(window uint64) string { return fmt.Sprintf("%020d/", window) }

func windowOf(name string) (uint64, error) {
	digits, _, _ := strings.Cut(name, "/")
	return strconv.ParseUint(digits, 10, 64)
}

// counted are the rows of windows up to one, of one availability zone.
type counted struct {
	counts Counts // of that window
	before []store.Key
}

// readZone reads what a zone's entries counted in a window, and which rows of
// earlier windows are still there.
func readZone(ctx context.Context, rows store.Rows, zone string, window uint64) (counted, error) {
	s, err := store.ListAll(ctx, rows, store.Range{Table: TableCounts, Part: zone, To: windowName(window + 1)})
	if err != nil {
		return counted{}, err
	}
	c := counted{counts: Counts{}}
	for _, row := range s.Rows {
		of, err := windowOf(row.Name)
		if err != nil {
			return counted{}, fmt.Errorf("row %s of %s: %w", row.Name, TableCounts, err)
		}
		if of != window {
			c.before = append(c.before, row.Key)
			continue
		}
		var counts Counts
		if err := codec.Unmarshal(row.Value, &counts); err != nil {
			return counted{}, fmt.Errorf("row %s of %s: %w", row.Name, TableCounts, err)
		}
		for organisation, n := range counts {
			c.counts[organisation] += n
		}
	}
	return c, nil
}
