package duty

import (
	"errors"
	"testing"
	"time"

	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/store"
)

// fakeClock returns the bounds that a test sets.
type fakeClock struct {
	earliest, latest time.Duration
	unknown          bool
}

func (c *fakeClock) Bounds() (earliest, latest time.Duration, ok bool) {
	return c.earliest, c.latest, !c.unknown
}

func newTermStore(rows store.Rows, name string) (*TermStore, *fakeClock) {
	clock := &fakeClock{earliest: 10 * time.Second, latest: 10 * time.Second}
	return &TermStore{Rows: rows, Clock: clock, Subject: "usage", Machine: name, Name: "process on " + name, Lease: testLease}, clock
}

func claim(t *testing.T, s *TermStore, piece uint64, work string) *HeldTerm {
	t.Helper()
	r, err := s.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	h, err := s.Claim(t.Context(), r, piece, []byte(work))
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// TestOnlyOneOfTwoConcurrentClaimsSucceeds checks that only one of two processes that read the same
// term gets the next.
func TestOnlyOneOfTwoConcurrentClaimsSucceeds(t *testing.T) {
	rows := rowstore.New()
	a, _ := newTermStore(rows, "a")
	b, _ := newTermStore(rows, "b")
	read, err := a.Read(t.Context())
	if err != nil || read.Found {
		t.Fatalf("got %+v, %v", read, err)
	}
	if _, err := a.Claim(t.Context(), read, 7, []byte("counts")); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Claim(t.Context(), read, 7, []byte("others")); !errors.Is(err, ErrTaken) {
		t.Fatalf("got %v", err)
	}
	if read, err = b.Read(t.Context()); err != nil || read.Machine != "a" || string(read.Work) != "counts" || read.Fence != (Fence{"process on a", 1}) {
		t.Fatalf("got %+v, %v", read, err)
	}
}

// TestTermsAreCheckedByBothBoundsOfTheClock checks that the holder uses the latest possible time of
// the store's clock, and the process that wants the next term the earliest one.
func TestTermsAreCheckedByBothBoundsOfTheClock(t *testing.T) {
	rows := rowstore.New()
	a, clockA := newTermStore(rows, "a")
	b, clockB := newTermStore(rows, "b")
	clockA.earliest, clockA.latest = 10*time.Second, 11*time.Second
	h := claim(t, a, 7, "counts")
	if h.Began != 10*time.Second || !h.MaySend() {
		t.Fatalf("got %+v", h)
	}
	clockA.latest = 10*time.Second + TermDuration
	if h.MaySend() {
		t.Error("may send though its term may be over")
	}
	clockA.unknown = true
	if h.MaySend() {
		t.Error("may send without a clock")
	}
	read, err := b.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	clockB.earliest, clockB.latest = 10*time.Second+TermDuration+testLease, time.Hour
	if wait, err := b.Wait(read); err != nil || wait != clockMargin {
		t.Errorf("got %s, %v", wait, err)
	}
	clockB.earliest += clockMargin
	if wait, err := b.Wait(read); err != nil || wait != 0 {
		t.Errorf("got %s, %v", wait, err)
	}
	clockB.unknown = true
	if _, err := b.Wait(read); err == nil {
		t.Error("may claim the next term without a clock")
	}
	clockA.unknown, clockA.earliest = false, 0
	if wait, err := a.Wait(read); err != nil || wait != 0 {
		t.Errorf("the holder itself waits %s, %v", wait, err)
	}
}

// TestClaimWithoutAnAnswerIsNotHeld has the store write the row and lose the answer. The process
// must get an error, and may claim again with a new token.
func TestClaimWithoutAnAnswerIsNotHeld(t *testing.T) {
	rows := rowstore.New()
	a, _ := newTermStore(rows, "a")
	rows.QueueOutcomes(rowstore.ReplyLost)
	if _, err := a.Claim(t.Context(), StoredTerm{}, 7, nil); !errors.Is(err, store.ErrUnknown) {
		t.Fatalf("got %v", err)
	}
	if h := claim(t, a, 7, "counts"); h.Fence.Token != 2 {
		t.Errorf("got %+v", h)
	}
}

func TestOnlyTheHolderRecordsDone(t *testing.T) {
	rows := rowstore.New()
	a, _ := newTermStore(rows, "a")
	b, _ := newTermStore(rows, "b")
	h := claim(t, a, 7, "counts")
	next := claim(t, b, 7, "counts")
	if err := h.RecordDone(t.Context()); !errors.Is(err, ErrTaken) {
		t.Errorf("got %v", err)
	}
	if err := next.RecordDone(t.Context()); err != nil {
		t.Error(err)
	}
	if r, err := a.Read(t.Context()); err != nil || !r.Done || r.Piece != 7 || r.Machine != "b" {
		t.Errorf("got %+v, %v", r, err)
	}
}

func TestMalformedTermIsAnError(t *testing.T) {
	rows := rowstore.New()
	a, _ := newTermStore(rows, "a")
	rows.Put(store.Row{Key: a.key(), Value: []byte("{")})
	if _, err := a.Read(t.Context()); err == nil {
		t.Error("want an error")
	}
}
