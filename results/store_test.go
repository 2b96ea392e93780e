package results

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/wire"
)

var start = time.Unix(1000, 0)

func generation(key string, linger time.Duration) *wire.Run {
	return &wire.Run{RunID: "run-" + key, Key: key, Retention: linger, Generate: &wire.Generate{}}
}

func begin(t *testing.T, s *Store, req *wire.Run) *Reader {
	t.Helper()
	r, refusal := s.Begin(start, req, nil)
	if refusal != nil {
		t.Fatal(refusal)
	}
	return r
}

// next reads without waiting; it fails when there is nothing to read.
func next(t *testing.T, r *Reader) Event {
	t.Helper()
	e, _, ok := r.poll()
	if !ok {
		t.Fatal("nothing to read")
	}
	return e
}

func TestLateReaderGetsAllThenLive(t *testing.T) {
	s := New(Options{})
	req := generation("k", time.Minute)
	req.Generate.Prefix = "zero "
	req.Generate.PrefixSpans = []api.VersionSpan{{Version: 1, Tokens: 1}}
	first := begin(t, s, req)
	run := first.Run()
	run.Start()
	run.Append("one ", 1, 1)
	run.Append("two ", 2, 1)
	if c := next(t, first).Chunk; c.Text != "one two " || c.Whole || len(c.Spans) != 2 {
		t.Fatalf("the first reader got %+v", c)
	}
	late := begin(t, s, generation("k", time.Minute))
	if !late.Attached() || late.Run() != run {
		t.Fatal("the second request did not attach")
	}
	c := next(t, late).Chunk
	if c.Text != "zero one two " || !c.Whole || len(c.Spans) != 2 || c.Spans[0] != (api.VersionSpan{Version: 1, Tokens: 2}) {
		t.Fatalf("the late reader got %+v", c)
	}
	run.Append("three", 2, 1)
	if c := next(t, late).Chunk; c.Text != "three" || c.Whole {
		t.Fatalf("the late reader then got %+v", c)
	}
	run.FinishText(start, "stop")
	done := next(t, begin(t, s, generation("k", 0))).Done
	if done == nil || done.Text != "zero one two three" || countTokens(done.Spans) != 4 || done.RunID != "run-k" {
		t.Fatalf("after the end: %+v", done)
	}
}

func countTokens(spans []api.VersionSpan) int {
	n := 0
	for _, s := range spans {
		n += s.Tokens
	}
	return n
}

func TestFailedRunKeepsItsChunks(t *testing.T) {
	s := New(Options{})
	r := begin(t, s, generation("k", time.Minute))
	r.Run().Start()
	r.Run().Append("partial", 3, 1)
	r.Run().Fail(start, &api.Refusal{Code: api.CodeEndpointFailed, NotRun: api.NotRunFalse})
	if c := next(t, r).Chunk; c == nil || c.Text != "partial" {
		t.Fatal("the chunk before the failure is lost")
	}
	if e := next(t, r); e.Refusal == nil || e.Refusal.Code != api.CodeEndpointFailed {
		t.Fatalf("want the refusal, got %+v", e)
	}
	again := begin(t, s, generation("k", time.Minute))
	if again.Attached() || !again.Run().Start() {
		t.Fatal("an idempotent key may run again after a failure")
	}
}

func TestNonIdempotentStartsOnce(t *testing.T) {
	s := New(Options{AnswerRetention: time.Minute})
	req := &wire.Run{RunID: "r", Key: "k", NonIdempotent: true, Call: &wire.Call{}}
	r := begin(t, s, req)
	r.Run().Start()
	r.Close(start) // the entry goes away; the call goes on
	if st := r.Run().State(); st != StateRunning {
		t.Fatalf("the call is %s", st)
	}
	r.Run().Fail(start, &api.Refusal{Code: api.CodeOutcomeUnknown, NotRun: api.NotRunUnknown})
	if e := next(t, begin(t, s, req)); e.Refusal == nil || e.Refusal.Code != api.CodeOutcomeUnknown {
		t.Fatalf("a repeat got %+v", e)
	}
	s.Forget(start, []string{"k"})
	_, refusal := s.Begin(start, req, nil)
	if refusal == nil || refusal.Code != api.CodeDuplicate || refusal.NotRun != api.NotRunFalse {
		t.Fatalf("after its answer was dropped a repeat got %v", refusal)
	}
	if st, _ := s.Fence(start, "k"); st != wire.FenceDone {
		t.Fatalf("fence says %v", st)
	}
}

func TestNonIdempotentGoesOnWithoutItsReader(t *testing.T) {
	r := begin(t, New(Options{}), &wire.Run{RunID: "r", NonIdempotent: true, Call: &wire.Call{}})
	r.Run().Start()
	r.Close(start)
	if st := r.Run().State(); st != StateRunning {
		t.Fatalf("the call is %s", st)
	}
}

func TestNotStartedFreesTheKey(t *testing.T) {
	s := New(Options{})
	req := &wire.Run{RunID: "r", Key: "k", NonIdempotent: true, Call: &wire.Call{}}
	r := begin(t, s, req)
	r.Run().Start()
	r.Run().Fail(start, &api.Refusal{Code: api.CodeEndpointFailed, NotRun: api.NotRunTrue})
	if again := begin(t, s, req); again.Attached() || !again.Run().Start() {
		t.Fatal("a call that proved not to have started may be tried again")
	}
}

func TestFence(t *testing.T) {
	s := New(Options{})
	queued := begin(t, s, generation("queued", time.Minute))
	ended := false
	queued.Run().OnAbort(func() { ended = true })
	running := begin(t, s, generation("running", time.Minute))
	running.Run().Start()
	forgotten := begin(t, s, generation("forgotten", time.Minute))
	forgotten.Run().Start()
	forgotten.Run().FinishText(start, "stop")
	s.Forget(start, []string{"forgotten"})
	for key, want := range map[string]wire.FenceState{
		"queued": wire.FenceNeverRan, "running": wire.FenceRunning, "forgotten": wire.FenceDone, "unknown": wire.FenceNeverRan,
	} {
		if got, refusal := s.Fence(start, key); got != want || refusal != nil {
			t.Errorf("fence of %s: %v %v, want %v", key, got, refusal, want)
		}
	}
	if !ended || queued.Run().Start() {
		t.Fatal("a fenced run started")
	}
	for _, key := range []string{"queued", "unknown"} {
		_, refusal := s.Begin(start, generation(key, time.Minute), nil)
		if refusal == nil || refusal.Code != api.CodeFenced || refusal.NotRun != api.NotRunTrue {
			t.Fatalf("begin of the fenced %s: %v", key, refusal)
		}
	}
	if !begin(t, s, &wire.Run{Key: "running", AttachOnly: true}).Attached() {
		t.Fatal("the running key cannot be attached to")
	}
}

func TestFullMemoryRefuses(t *testing.T) {
	s := New(Options{MaxKeys: 1})
	req := &wire.Run{RunID: "r", Key: "a", NonIdempotent: true, Call: &wire.Call{}}
	begin(t, s, req).Run().Start()
	req.Key = "b"
	if _, refusal := s.Begin(start, req, nil); refusal == nil || refusal.NotRun != api.NotRunTrue {
		t.Fatalf("a key that cannot be remembered: %v", refusal)
	}
	begin(t, s, generation("g", 0)).Run().Start()
	if st, refusal := s.Fence(start, "x"); refusal == nil || refusal.NotRun != api.NotRunUnknown {
		t.Fatalf("a fence that cannot know: %v %v", st, refusal)
	}
}

func TestLingerAndBytes(t *testing.T) {
	s := New(Options{MaxBytes: 3000})
	finish := func(key string, now time.Time) {
		r := begin(t, s, generation(key, 10*time.Second))
		r.Run().Start()
		r.Run().Append(strings.Repeat("x", 500), 1, 1)
		r.Run().FinishText(now, "stop")
		r.Close(now)
	}
	known := func(key string) bool {
		r, _ := s.Begin(start, &wire.Run{Key: key, AttachOnly: true}, nil)
		if r != nil {
			r.Close(start)
		}
		return r != nil
	}
	finish("a", start)
	finish("b", start.Add(time.Second))
	finish("c", start.Add(2*time.Second))
	s.Sweep(start.Add(3 * time.Second))
	if known("a") || !known("b") || !known("c") {
		t.Fatalf("over its bytes the store must drop the longest idle only (bytes %d)", s.Bytes())
	}
	s.Sweep(start.Add(time.Hour))
	if known("b") || s.Bytes() != 0 {
		t.Fatalf("after the linger %d bytes are left", s.Bytes())
	}
}

func TestUnreadRunIsCancelled(t *testing.T) {
	s := New(Options{})
	for _, linger := range []time.Duration{0, 5 * time.Second} {
		ended := false
		r := begin(t, s, generation("k", linger))
		r.Run().OnAbort(func() { ended = true })
		r.Run().Start()
		r.Close(start)
		if ended != (linger == 0) {
			t.Fatalf("linger %s: ended %v when its reader left", linger, ended)
		}
		s.Sweep(start.Add(4 * time.Second))
		if ended != (linger == 0) {
			t.Fatalf("linger %s: ended %v before its linger", linger, ended)
		}
		s.Sweep(start.Add(5 * time.Second))
		if !ended {
			t.Fatalf("linger %s: it still runs", linger)
		}
	}
}

func TestNextWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		r := begin(t, s, generation("k", 0))
		r.Run().Start()
		time.AfterFunc(time.Second, func() { r.Run().Append("x", 1, 1) })
		e, err := r.Next(t.Context())
		if err != nil || e.Chunk == nil || e.Chunk.Text != "x" {
			t.Fatalf("got %+v, %v", e, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := r.Next(ctx); err != context.DeadlineExceeded {
			t.Fatalf("got %v", err)
		}
	})
}

// TestResultTooOldRunsAnew asks for newer weights than those of a kept result.
func TestResultTooOldRunsAnew(t *testing.T) {
	s := New(Options{})
	run := begin(t, s, generation("k", time.Minute)).Run()
	run.Start()
	run.Append("old", 3, 1)
	run.FinishText(start, "stop")
	again := generation("k", time.Minute)
	again.MinVersion = 3
	if r := begin(t, s, again); !r.Attached() {
		t.Error("a result that is fresh enough was dropped")
	}
	again.MinVersion, again.AttachOnly = 4, true
	if r := begin(t, s, again); !r.Attached() {
		t.Error("a request that may not begin a run was not attached")
	}
	again.AttachOnly = false
	if r := begin(t, s, again); r.Attached() {
		t.Error("a request was attached to a result that is too old for it")
	}
}

// TestTurnRemembersTheIncarnationBefore ends incarnations of the memory.
func TestTurnRemembersTheIncarnationBefore(t *testing.T) {
	s := New(Options{MaxKeys: 4})
	req := generation("k", 0)
	req.NonIdempotent = true
	reader := begin(t, s, req)
	reader.Run().Start()
	reader.Run().FinishText(start, "stop")
	reader.Close(start)
	s.Sweep(start.Add(time.Hour))
	if _, refusal := s.Fence(start, "f"); refusal != nil {
		t.Fatal(refusal)
	}
	refused := func(key string) api.Code {
		again := generation(key, 0)
		again.NonIdempotent = true
		if _, refusal := s.Begin(start, again, nil); refusal != nil {
			return refusal.Code
		}
		return ""
	}
	s.NextIncarnation()
	if refused("k") != api.CodeDuplicate || refused("f") != api.CodeFenced {
		t.Error("a key of the incarnation before is forgotten")
	}
	s.NextIncarnation()
	if s.notRun("k", false) != api.NotRunUnknown {
		t.Error("it is said of a key that may have been forgotten that it did not run")
	}
}
