package usage

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// TableCounts holds a row for each window and incarnation of an entry. Each availability zone has
// its own partition, since a partition of the store takes 150 transactions per second.
const TableCounts = "usage_counts"

// countsKey returns the key of the row with an entry's counts of a window.
func countsKey(zone string, window uint64, entry string) store.Key {
	return store.Key{Table: TableCounts, Part: zone, Name: windowName(window) + entry}
}

// windowName returns the prefix of the names of a window's rows. Names sort by window.
func windowName(window uint64) string { return fmt.Sprintf("%020d/", window) }

func windowOf(name string) (uint64, error) {
	digits, _, _ := strings.Cut(name, "/")
	return strconv.ParseUint(digits, 10, 64)
}

// zoneCounts is the usage of one window in one availability zone, and the rows of earlier windows.
type zoneCounts struct {
	counts    Counts
	staleRows []store.Key
}

// readZone reads the counts of all entries of a zone for a window, and the keys of the rows of
// earlier windows.
func readZone(ctx context.Context, rows store.Rows, zone string, window uint64) (zoneCounts, error) {
	s, err := store.ListAll(ctx, rows, store.Range{Table: TableCounts, Part: zone, To: windowName(window + 1)})
	if err != nil {
		return zoneCounts{}, err
	}
	c := zoneCounts{counts: Counts{}}
	for _, row := range s.Rows {
		rowWindow, err := windowOf(row.Name)
		if err != nil {
			return zoneCounts{}, fmt.Errorf("row %s of %s: %w", row.Name, TableCounts, err)
		}
		if rowWindow != window {
			c.staleRows = append(c.staleRows, row.Key)
			continue
		}
		var counts Counts
		if err := codec.Unmarshal(row.Value, &counts); err != nil {
			return zoneCounts{}, fmt.Errorf("row %s of %s: %w", row.Name, TableCounts, err)
		}
		for organisation, n := range counts {
			c.counts[organisation] += n
		}
	}
	return c, nil
}
