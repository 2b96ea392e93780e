package tablestore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "mulberryscale.example/internal/rapidseed" // the same draws in each run
	"mulberryscale.example/internal/standin/tableservice"
	"mulberryscale.example/platform"
	"mulberryscale.example/table"
)

func body(rows ...string) []byte {
	var b strings.Builder
	b.WriteString("rows:\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "- {name: %s, kind: plain}\n", r)
	}
	return []byte(b.String())
}

func request(base uint64, id string, rows ...string) ApplyRequest {
	return ApplyRequest{Base: base, ApplyID: id, Author: "ann", Format: table.FormatYAML, Body: body(rows...)}
}

func newStore() (*Store, *tableservice.Service) {
	service := tableservice.New(tableservice.Options{})
	return New(service), service
}

func mustApply(t *testing.T, s *Store, req ApplyRequest) Entry {
	t.Helper()
	entry, err := s.Apply(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	return entry
}

func TestEmptyStore(t *testing.T) {
	s, _ := newStore()
	if _, err := s.Get(t.Context()); !errors.Is(err, ErrNoTable) {
		t.Fatalf("got %v", err)
	}
	if _, err := s.Version(t.Context(), 1); !errors.Is(err, ErrNoVersion) {
		t.Fatalf("got %v", err)
	}
	if docs, err := s.History(t.Context(), 3); err != nil || len(docs) != 0 {
		t.Fatalf("got %v, %v", docs, err)
	}
}

func TestApplyHistoryRollback(t *testing.T) {
	s, _ := newStore()
	mustApply(t, s, request(0, "first", "a"))
	mustApply(t, s, request(1, "second", "a", "b"))
	entry, err := s.Rollback(t.Context(), RollbackRequest{To: 1, Base: 2, ApplyID: "third", Author: "bob"})
	if err != nil || entry.Version != 3 || entry.RollbackOf != 1 {
		t.Fatalf("got %+v, %v", entry, err)
	}
	doc, err := s.Get(t.Context())
	if err != nil || string(doc.Body) != string(body("a")) {
		t.Fatalf("got %q, %v", doc.Body, err)
	}
	docs, err := s.History(t.Context(), 2)
	if err != nil || len(docs) != 2 || docs[0].Version != 3 || docs[1].Version != 2 {
		t.Fatalf("got %+v, %v", docs, err)
	}
}

func TestSecondOperatorGetsThreeWayDifference(t *testing.T) {
	s, _ := newStore()
	mustApply(t, s, request(0, "first", "a"))
	mustApply(t, s, request(1, "theirs", "a", "theirs"))
	_, err := s.Apply(t.Context(), request(1, "mine", "a", "mine"))
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v", err)
	}
	got := fmt.Sprintf("%d %s %s %d",
		conflict.Current.Version, conflict.Mine[0].Row, conflict.Theirs[0].Row, len(conflict.Merge.Rows))
	if want := "2 mine theirs 3"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

func TestOldApplyIsRecognised(t *testing.T) {
	s, _ := newStore()
	first := mustApply(t, s, request(0, "first", "a"))
	mustApply(t, s, request(1, "second", "b"))
	for _, base := range []uint64{0, 2} {
		if again := mustApply(t, s, request(base, "first", "a")); again != first {
			t.Fatalf("got %+v, want %+v", again, first)
		}
	}
	var reused *ApplyIDReusedError
	if _, err := s.Apply(t.Context(), request(2, "first", "c")); !errors.As(err, &reused) {
		t.Fatalf("got %v", err)
	}
}

func TestLostReplyIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, service := newStore()
		service.LoseNextReplies(1)
		entry := mustApply(t, s, request(0, "first", "a"))
		current, err := s.Current(t.Context())
		if err != nil || entry != current || entry.Version != 1 {
			t.Fatalf("got %+v, current %+v, %v", entry, current, err)
		}
	})
}

// TestLostReplyThenStaleReads: an apply that took effect must not be reported as
// rejected, however stale the reads after it are.
func TestLostReplyThenStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, service := newStore()
		service.StaleReads(true) // of the empty table
		service.LoseNextReplies(1)
		var unknown *OutcomeUnknownError
		if _, err := s.Apply(t.Context(), request(0, "first", "a")); !errors.As(err, &unknown) {
			t.Fatalf("got %v", err)
		}
		service.StaleReads(false)
		if entry := mustApply(t, s, request(0, "first", "a")); entry.Version != 1 {
			t.Fatalf("got %+v", entry)
		}
	})
}

// staleService is a table service whose reads of the hidden keys are so stale that
// they find nothing.
type staleService struct {
	platform.TableService
	hidden map[string]bool
}

func (h *staleService) Get(ctx context.Context, key string) (platform.Record, error) {
	if h.hidden[key] {
		return platform.Record{}, platform.ErrNotFound
	}
	return h.TableService.Get(ctx, key)
}

// TestLostReplyThenStaleRecord: reads that are stale to different degrees must not
// make an accepted apply look rejected.
func TestLostReplyThenStaleRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tableservice.New(tableservice.Options{})
		view := &staleService{TableService: service}
		s := New(view)
		mustApply(t, s, request(0, "first", "a"))

		view.hidden = map[string]bool{applyKey("second"): true}
		service.LoseNextReplies(1)
		if entry := mustApply(t, s, request(1, "second", "b")); entry.Version != 2 {
			t.Fatalf("got %+v", entry)
		}

		view.hidden = map[string]bool{applyKey("second"): true, keyCurrent: true}
		var conflict *ConflictError
		if _, err := s.Apply(t.Context(), request(1, "second", "b")); err == nil || errors.As(err, &conflict) {
			t.Fatalf("got %v, want an error that is not a conflict", err)
		}
	})
}

func TestOutageIsNotApplied(t *testing.T) {
	s, service := newStore()
	service.Outage(true)
	if _, err := s.Apply(t.Context(), request(0, "first", "a")); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("got %v", err)
	}
}

func TestBadApplies(t *testing.T) {
	s, _ := newStore()
	var errs table.Errors
	if _, err := s.Apply(t.Context(), request(0, "first")); !errors.As(err, &errs) {
		t.Fatalf("empty table: got %v", err)
	}
	if _, err := s.Apply(t.Context(), request(0, "", "a")); err == nil {
		t.Fatal("an empty apply id was accepted")
	}
	if _, err := s.Apply(t.Context(), request(7, "first", "a")); err == nil {
		t.Fatal("a base that does not exist was accepted")
	}
}

// outcome is the result of an apply as reported to the operator.
type outcome uint8

const (
	accepted outcome = iota + 1
	rejected
	unknown
)

// edit is an operator's edit and its reported outcome.
type edit struct {
	request ApplyRequest
	outcome outcome
	version uint64
}

// operators runs two operators against one table service and records their edits.
type operators struct {
	store   *Store
	service *tableservice.Service
	mu      sync.Mutex
	edits   []*edit
	known   [2]Document
}

// timeout bounds an apply. It can expire during a slow write.
const timeout = 3 * time.Second

// add adds a row to the table as the operator last read it, and applies that.
func (o *operators) add(operator int) {
	o.mu.Lock()
	known := o.known[operator]
	id := fmt.Sprintf("edit-%d", len(o.edits))
	text := string(known.Body)
	if text == "" {
		text = "rows:\n"
	}
	text += fmt.Sprintf("- {name: %s, kind: plain}\n", id)
	e := &edit{request: ApplyRequest{
		Base: known.Version, ApplyID: id, Author: fmt.Sprint(operator), Format: table.FormatYAML, Body: []byte(text),
	}}
	o.edits = append(o.edits, e)
	o.mu.Unlock()
	o.apply(e)
}

func (o *operators) apply(e *edit) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	entry, err := o.store.Apply(ctx, e.request)
	var unknownErr *OutcomeUnknownError
	switch {
	case err == nil:
		e.outcome, e.version = accepted, entry.Version
	case errors.As(err, &unknownErr):
		e.outcome = unknown
	default:
		e.outcome = rejected
	}
}

func (o *operators) refresh(operator int) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if doc, err := o.store.Get(ctx); err == nil {
		o.known[operator] = doc
	}
}

// settle clears all faults, waits for late writes and retries the applies of unknown
// outcome.
func (o *operators) settle() {
	o.service.Outage(false)
	o.service.Slow(0)
	o.service.LoseNextReplies(0)
	o.service.StaleReads(false)
	time.Sleep(time.Minute)
	for _, e := range o.edits {
		if e.outcome == unknown {
			o.apply(e)
		}
	}
}

// check compares the history in the table service with the reported outcomes.
func (o *operators) check(t *rapid.T) {
	docs, err := o.store.History(context.Background(), len(o.edits)+1)
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]uint64)
	for i, doc := range docs {
		if want := uint64(len(docs) - i); doc.Version != want || doc.Base != want-1 {
			t.Fatalf("found version %d with base %d, want version %d", doc.Version, doc.Base, want)
		}
		if before, ok := found[doc.ApplyID]; ok {
			t.Fatalf("apply %s created versions %d and %d", doc.ApplyID, doc.Version, before)
		}
		found[doc.ApplyID] = doc.Version
	}
	for _, e := range o.edits {
		version := found[e.request.ApplyID]
		if e.outcome == unknown || version != e.version {
			t.Fatalf("apply %s: reported outcome %d and version %d, the history has version %d",
				e.request.ApplyID, e.outcome, e.version, version)
		}
		if version > 0 && !strings.Contains(string(docs[0].Body), e.request.ApplyID) {
			t.Fatalf("the accepted edit %s is lost", e.request.ApplyID)
		}
	}
}

// bubbleT hides from rapid that this is a *testing.T, whose Deadline must not be
// called in a synctest bubble. To shrink a failure there, where time runs fast,
// set -rapid.shrinktime=1000h.
type bubbleT struct{ *testing.T }

// TestOperatorsRace: two operators add rows during lost replies, outages, slow
// writes that are applied after their caller gave up, and stale reads. Every edit
// that was reported as accepted must stay, and none reported as rejected may appear.
func TestOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleT{t}, func(t *rapid.T) {
			o := &operators{}
			o.store, o.service = newStore()
			operator := rapid.IntRange(0, 1)
			t.Repeat(map[string]func(*rapid.T){
				"add":     func(t *rapid.T) { o.add(operator.Draw(t, "operator")) },
				"refresh": func(t *rapid.T) { o.refresh(operator.Draw(t, "operator")) },
				"race": func(*rapid.T) {
					var both sync.WaitGroup
					both.Go(func() { o.add(0) })
					both.Go(func() { o.add(1) })
					both.Wait()
				},
				"lose":   func(t *rapid.T) { o.service.LoseNextReplies(rapid.IntRange(1, 3).Draw(t, "replies")) },
				"outage": func(t *rapid.T) { o.service.Outage(rapid.Bool().Draw(t, "on")) },
				"stale":  func(t *rapid.T) { o.service.StaleReads(rapid.Bool().Draw(t, "on")) },
				"slow": func(t *rapid.T) {
					o.service.Slow(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
				},
			})
			o.settle()
			o.check(t)
		})
	})
}
