// Package duty elects one of many equal processes to do work that only one process at a time
// may do. All shared state is in the platform's store: a row for each subject has the holder of
// the duty, the piece of work, the fencing token, the begin of the term, and the decided work.
// A term is short and is not renewed. Whether it is over is checked against the store's clock
// at the moment of sending.
package duty

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// Table holds a row for each subject of a duty. The row has the name of the subject.
const Table = "duties"

// Times of a term.
const (
	// TermDuration is how long after the begin of its term a holder may send. It was chosen for
	// three sends. If they time out, each after 700 ms (package platform/duties), only two fit.
	TermDuration = 1500 * time.Millisecond
	// clockMargin is added to the time between two holders. The store's clock and ours may
	// diverge by some milliseconds during a call.
	clockMargin = 200 * time.Millisecond
)

// Fence is the fencing data of a call: its holder and the fencing token.
type Fence struct {
	// Holder is the name of the process that holds the duty.
	Holder string
	// Token is greater in each term than in the one before.
	Token uint64
}

// Term is the right of one holder to do one piece of work, for a limited time.
type Term struct {
	Fence Fence `cbor:"1,keyasint"`
	// Machine identifies the holder. The name of the process doesn't, since a replacement
	// process may have the same one.
	Machine string `cbor:"2,keyasint"`
	// Began is the begin of the term by the store's clock. Nothing is sent after
	// Began + TermDuration.
	Began time.Duration `cbor:"3,keyasint"`
	// Piece is the number of the piece of work. It never decreases.
	Piece uint64 `cbor:"4,keyasint"`
	// Work is the decided work. It doesn't change after it was written, since it may have been
	// sent already.
	Work []byte `cbor:"5,keyasint,omitempty"`
	// Done is true once the work was accepted.
	Done bool `cbor:"6,keyasint,omitempty"`
}

// Clock returns bounds of the store's monotonic clock: its time is between earliest and latest.
// The clock also counts time in which this process is suspended. ok is false as long as no
// bounds are known.
type Clock interface {
	Bounds() (earliest, latest time.Duration, ok bool)
}

// Errors of TermStore and HeldTerm.
var (
	// ErrTaken is returned if another process has changed the term since it was read.
	ErrTaken = errors.New("duty: another process was first")
	// errNoClock is returned as long as the store's clock has no known bounds.
	errNoClock = errors.New("duty: the store's clock is not known yet")
)

// TermStore reads and writes the term of one subject for one process.
type TermStore struct {
	Rows    store.Rows
	Clock   Clock
	Subject string
	// Machine and Name identify the machine and this process.
	Machine, Name string
	// Lease is the time within which two holders must not alternate (one, the other, and the
	// first one again).
	Lease time.Duration
}

// StoredTerm is a term as it was read from the store.
type StoredTerm struct {
	Term
	// Found is false if the subject has had no term yet.
	Found   bool
	version uint64
}

func (s *TermStore) key() store.Key { return store.Key{Table: Table, Name: s.Subject} }

// Read returns the current term in the store.
func (s *TermStore) Read(ctx context.Context) (StoredTerm, error) {
	rows, err := s.Rows.List(ctx, store.Range{Table: Table, From: s.Subject, To: s.Subject + "\x00"})
	if err != nil {
		return StoredTerm{}, err
	}
	if len(rows.Rows) == 0 {
		return StoredTerm{}, nil
	}
	r := StoredTerm{Found: true, version: rows.Rows[0].Version}
	if r.Term, err = DecodeTerm(rows.Rows[0].Value); err != nil {
		return StoredTerm{}, fmt.Errorf("duty %s: %w", s.Subject, err)
	}
	return r, nil
}

// DecodeTerm decodes a row of Table.
func DecodeTerm(value []byte) (Term, error) {
	var t Term
	if err := codec.Unmarshal(value, &t); err != nil {
		return Term{}, fmt.Errorf("decode a term: %w", err)
	}
	return t, nil
}

// Wait returns how long this machine must wait until it may claim the term after r; 0 is at
// once. The last send of another machine must be at least Lease ago. Otherwise our call, with a
// higher token, could overtake that send, and two holders could alternate within a lease.
func (s *TermStore) Wait(r StoredTerm) (time.Duration, error) {
	earliest, _, ok := s.Clock.Bounds()
	if !ok {
		return 0, errNoClock
	}
	if !r.Found || r.Machine == s.Machine {
		return 0, nil
	}
	return max(0, r.Began+TermDuration+s.Lease+clockMargin-earliest), nil
}

// HeldTerm is a term that this process holds.
type HeldTerm struct {
	Term
	terms   *TermStore
	version uint64
}

// Claim begins a term for a piece of work, provided that r is still the term in the store. After
// an error other than ErrTaken, the row may or may not have been written. After any error,
// nothing may be sent.
func (s *TermStore) Claim(ctx context.Context, r StoredTerm, piece uint64, work []byte) (*HeldTerm, error) {
	began, _, ok := s.Clock.Bounds()
	if !ok {
		return nil, errNoClock
	}
	h := &HeldTerm{terms: s, Term: Term{
		Fence: Fence{Holder: s.Name, Token: r.Fence.Token + 1}, Machine: s.Machine, Began: began, Piece: piece, Work: work,
	}}
	return h, h.write(ctx, r.version)
}

// write replaces the row if it still has the given version.
func (h *HeldTerm) write(ctx context.Context, version uint64) error {
	value, err := codec.Marshal(h.Term)
	if err != nil {
		return fmt.Errorf("encode a term: %w", err)
	}
	done, err := h.terms.Rows.Commit(ctx, store.Tx{
		If:  []store.Condition{{Key: h.terms.key(), Version: version}},
		Put: []store.Row{{Key: h.terms.key(), Value: value}},
	})
	if errors.Is(err, store.ErrConflict) {
		return ErrTaken
	}
	h.version = done.Version
	return err
}

// MaySend reports whether the work may be sent now: by the latest possible time of the store's
// clock, the term has not expired yet.
func (h *HeldTerm) MaySend() bool {
	_, latest, ok := h.terms.Clock.Bounds()
	return ok && latest < h.Began+TermDuration
}

// RecordDone records in the store that the work is done.
func (h *HeldTerm) RecordDone(ctx context.Context) error {
	h.Done = true
	return h.write(ctx, h.version)
}
