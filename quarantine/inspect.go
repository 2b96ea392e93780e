package quarantine

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/store"
)

// Record is what the store holds about one content.
type Record struct {
	Fingerprint Fingerprint
	// Endpoints are the ids of the endpoints that crashed while they ran it.
	Endpoints []string
	// Trials is the number of trials made.
	Trials int
	// Since is the time since the last crash or trial.
	Since time.Duration
	// State is the state, Wait how long a quarantined content stays
	// so.
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

// List reads the events of all processes and returns the contents in order of their fingerprints.
func List(ctx context.Context, rows store.Rows) ([]Record, error) {
	s, err := store.ListAll(ctx, rows, store.Range{Table: Table})
	if err != nil {
		return nil, err
	}
	hs := newHistories()
	for _, row := range s.Rows {
		e, err := decode(row)
		if err != nil {
			return nil, err
		}
		hs.record(e)
	}
	var list []Record
	for _, fingerprint := range slices.Sorted(maps.Keys(hs.byFingerprint)) {
		h := hs.byFingerprint[fingerprint]
		c := Record{Fingerprint: fingerprint, Trials: len(h.trials), Since: s.Now - h.lastEvent()}
		for endpoint := range h.crashes {
			c.Endpoints = append(c.Endpoints, endpoint.ID)
		}
		slices.Sort(c.Endpoints)
		c.State, c.Wait = h.state(s.Now)
		list = append(list, c)
	}
	return list, nil
}

// afterSlash is the byte after the slash, so it ends the range of keys with a prefix and a slash.
const afterSlash = "0"

// Release removes all rows of a content and reports whether there were any. After an error some of
// them may be left.
func Release(ctx context.Context, rows store.Rows, fingerprint Fingerprint) (bool, error) {
	prefix := string(fingerprint) + "/"
	s, err := store.ListAll(ctx, rows, store.Range{Table: Table, From: prefix, To: string(fingerprint) + afterSlash})
	if err != nil {
		return false, err
	}
	left := len(s.Rows)
	for batch := range slices.Chunk(s.Rows, maxEntries) {
		var tx store.Tx
		for _, row := range batch {
			tx.Delete = append(tx.Delete, row.Key)
		}
		if _, err := rows.Commit(ctx, tx); err != nil {
			return true, trace.Wrap(err, "%d of %d rows are left", left, len(s.Rows))
		}
		left -= len(batch)
	}
	return len(s.Rows) > 0, nil
}
