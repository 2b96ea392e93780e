package quarantine

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

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
	// State is the state for requests (RequestLimit), Wait how long a quarantined content stays
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
		c.State, c.Wait = h.state(RequestLimit, s.Now)
		list = append(list, c)
	}
	return list, nil
}

// afterSlash is the byte after the slash, so it ends the range of keys with a prefix and a slash.
const afterSlash = "0"

// Release removes the rows of a content, at most maxEntries of them, and reports whether there
// were any.
func Release(ctx context.Context, rows store.Rows, fingerprint Fingerprint) (bool, error) {
	prefix := string(fingerprint) + "/"
	s, err := store.ListAll(ctx, rows, store.Range{Table: Table, From: prefix, To: string(fingerprint) + afterSlash})
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
