// Package duty gives work that one process at a time may do to one of many, with
// no process set aside for it. All that must be agreed on stands in the platform's
// store: a row for each subject says who holds the duty for which piece of work,
// under which fencing token and since when, and what was decided. A term is short
// and is not renewed: it is judged by the store's clock, at the moment of sending.
package duty

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// Table holds a row for each subject of a duty, named by it.
const Table = "duties"

// Times of a term.
const (
	// TermDuration is how long after its beginning a holder may send: three sends of
	// which each may take sendTime.
	TermDuration = 1500 * time.Millisecond
	// guardTime is added to the time between two holders for what may differ
	// between the store's clock and ours within a call, some milliseconds.
	guardTime = 200 * time.Millisecond
)

// Fence is what a call shows of the holder that sends it.
type Fence struct {
	// Holder is the name of the holder's process.
	Holder string
	// Token grows with each term.
	Token uint64
}

// Term is one holder's time at a piece of work.
type Term struct {
	Fence Fence `cbor:"1,keyasint"`
	// Machine tells holders apart: a process that was replaced may bear the name of
	// the one before it.
	Machine string `cbor:"2,keyasint"`
	// Began is the store's clock at the beginning. Nothing is sent after Began + TermDuration.
	Began time.Duration `cbor:"3,keyasint"`
	// Piece numbers the work; it never falls.
	Piece uint64 `cbor:"4,keyasint"`
	// Work is what was decided. It never changes once it was written, since it may
	// have been sent.
	Work []byte `cbor:"5,keyasint,omitempty"`
	// Done says that the work was accepted.
	Done bool `cbor:"6,keyasint,omitempty"`
}

// Clock bounds the store's steady clock: the true time is between the two. It
// goes on while this process stands still. It is false while nothing is known.
type Clock interface {
	Bounds() (earliest, latest time.Duration, ok bool)
}

// Errors of a seat.
var (
	// ErrTaken says that another process has changed the term meanwhile.
	ErrTaken = errors.New("duty: another process was first")
	// errNoClock says that the store's clock is not known yet.
	errNoClock = errors.New("duty: the store's clock is not known yet")
)

// TermStore is a subject's row as one process sees it.
type TermStore struct {
	Rows    store.Rows
	Clock   Clock
	Subject string
	// Machine and Name are of this process.
	Machine, Name string
	// Lease is the time within which holders may not take turns.
	Lease time.Duration
}

// StoredTerm is a term as it was read.
type StoredTerm struct {
	Term
	// Found is false if there has been no term yet.
	Found   bool
	version uint64
}

func (s *TermStore) key() store.Key { return store.Key{Table: Table, Name: s.Subject} }

// Read reads the term.
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

// Wait is how long it takes until this machine may follow on a term; 0 is at
// once. Another machine's last send must be Lease ago: its call could else be
// overtaken by ours, which bears a higher token, and two holders could take turns.
func (s *TermStore) Wait(r StoredTerm) (time.Duration, error) {
	earliest, _, ok := s.Clock.Bounds()
	if !ok {
		return 0, errNoClock
	}
	if !r.Found || r.Machine == s.Machine {
		return 0, nil
	}
	return max(0, r.Began+TermDuration+s.Lease+guardTime-earliest), nil
}

// HeldTerm is a term of this process.
type HeldTerm struct {
	Term
	seat    *TermStore
	version uint64
}

// Claim begins a term for a piece of work on condition that r is still the term
// in the store. An error other than ErrTaken leaves open whether the row was
// written; nothing may be sent on it.
func (s *TermStore) Claim(ctx context.Context, r StoredTerm, piece uint64, work []byte) (*HeldTerm, error) {
	began, _, ok := s.Clock.Bounds()
	if !ok {
		return nil, errNoClock
	}
	h := &HeldTerm{seat: s, Term: Term{
		Fence: Fence{Holder: s.Name, Token: r.Fence.Token + 1}, Machine: s.Machine, Began: began, Piece: piece, Work: work,
	}}
	return h, h.write(ctx, r.version)
}

// write puts the term in the place of one of a version.
func (h *HeldTerm) write(ctx context.Context, version uint64) error {
	value, err := codec.Marshal(h.Term)
	if err != nil {
		return fmt.Errorf("encode a term: %w", err)
	}
	done, err := h.seat.Rows.Commit(ctx, store.Tx{
		If:  []store.Condition{{Key: h.seat.key(), Version: version}},
		Put: []store.Row{{Key: h.seat.key(), Value: value}},
	})
	if errors.Is(err, store.ErrConflict) {
		return ErrTaken
	}
	h.version = done.Version
	return err
}

// MaySend reports whether something may be sent now: the store's clock cannot be
// past the end of the term.
func (h *HeldTerm) MaySend() bool {
	_, latest, ok := h.seat.Clock.Bounds()
	return ok && latest < h.Began+TermDuration
}

// RecordDone writes that the work is done.
func (h *HeldTerm) RecordDone(ctx context.Context) error {
	h.Done = true
	return h.write(ctx, h.version)
}
