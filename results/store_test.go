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

func generation(key string, retention time.Duration) *wire.Run {
	return &wire.Run{RunID: "run-" + key, Key: key, Retention: retention, Generate: &wire.Generate{}}
}

func begin(t *testing.T, s *Store, req *wire.Run) *Reader {
	t.Helper()
	r, refusal := s.Begin(start, req, nil)
	if refusal != nil {
		t.Fatal(refusal)
	}
	return r
}

// next reads an event without waiting; it fails the test if there is none.
func next(t *testing.T, r *Reader) Event {
	t.Helper()
	e, _, ok := r.poll()
	if !ok {
		t.Fatal("no event to read")
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
		t.Fatalf("reader of the finished run got %+v", done)
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
		t.Fatal("the chunk before the failure was not read")
	}
	if e := next(t, r); e.Refusal == nil || e.Refusal.Code != api.CodeEndpointFailed {
		t.Fatalf("want the refusal, got %+v", e)
	}
	again := begin(t, s, generation("k", time.Minute))
	if again.Attached() || !again.Run().Start() {
		t.Fatal("an idempotent key did not run again after a failure")
	}
}

func TestNonIdempotentStartsOnce(t *testing.T) {
	s := New(Options{AnswerRetention: time.Minute})
	req := &wire.Run{RunID: "r", Key: "k", NonIdempotent: true, Call: &wire.Call{}}
	r := begin(t, s, req)
	r.Run().Start()
	r.Close(start) // the entry disconnects; the call goes on
	if st := r.Run().State(); st != StateRunning {
		t.Fatalf("the call is %s", st)
	}
	r.Run().Fail(start, &api.Refusal{Code: api.CodeOutcomeUnknown, NotRun: api.NotRunUnknown})
	if e := next(t, begin(t, s, req)); e.Refusal == nil || e.Refusal.Code != api.CodeOutcomeUnknown {
		t.Fatalf("a repeated request got %+v", e)
	}
	s.Forget(start, []string{"k"})
	_, refusal := s.Begin(start, req, nil)
	if refusal == nil || refusal.Code != api.CodeDuplicate || refusal.NotRun != api.NotRunFalse {
		t.Fatalf("after its answer was dropped, a repeated request got %v", refusal)
	}
	if st, _ := s.Fence(start, "k"); st != wire.FenceDone {
		t.Fatalf("fence returned %v", st)
	}
}

func TestNonIdempotentRunContinuesWithoutReader(t *testing.T) {
	r := begin(t, New(Options{}), &wire.Run{RunID: "r", NonIdempotent: true, Call: &wire.Call{}})
	r.Run().Start()
	r.Close(start)
	if st := r.Run().State(); st != StateRunning {
		t.Fatalf("the call is %s", st)
	}
}

func TestKeyOfUnstartedRunCanRunAgain(t *testing.T) {
	s := New(Options{})
	req := &wire.Run{RunID: "r", Key: "k", NonIdempotent: true, Call: &wire.Call{}}
	r := begin(t, s, req)
	r.Run().Start()
	r.Run().Fail(start, &api.Refusal{Code: api.CodeEndpointFailed, NotRun: api.NotRunTrue})
	if again := begin(t, s, req); again.Attached() || !again.Run().Start() {
		t.Fatal("a call that was proven not to have started could not run again")
	}
}

func TestFence(t *testing.T) {
	s := New(Options{})
	queued := begin(t, s, generation("queued", time.Minute))
	aborted := false
	queued.Run().OnAbort(func() { aborted = true })
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
	if !aborted || queued.Run().Start() {
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
		t.Fatalf("begin of a key beyond MaxKeys: %v", refusal)
	}
	begin(t, s, generation("g", 0)).Run().Start()
	if st, refusal := s.Fence(start, "x"); refusal == nil || refusal.NotRun != api.NotRunUnknown {
		t.Fatalf("fence of a key that may have run: %v %v", st, refusal)
	}
}

func TestRetentionAndMaxBytes(t *testing.T) {
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
		t.Fatalf("above MaxBytes the store must drop only the longest idle run (bytes %d)", s.Bytes())
	}
	s.Sweep(start.Add(time.Hour))
	if known("b") || s.Bytes() != 0 {
		t.Fatalf("after the retention time %d bytes are left", s.Bytes())
	}
}

func TestUnreadRunIsCancelled(t *testing.T) {
	s := New(Options{})
	for _, retention := range []time.Duration{0, 5 * time.Second} {
		aborted := false
		r := begin(t, s, generation("k", retention))
		r.Run().OnAbort(func() { aborted = true })
		r.Run().Start()
		r.Close(start)
		if aborted != (retention == 0) {
			t.Fatalf("retention %s: aborted %v when its reader closed", retention, aborted)
		}
		s.Sweep(start.Add(4 * time.Second))
		if aborted != (retention == 0) {
			t.Fatalf("retention %s: aborted %v before its retention time", retention, aborted)
		}
		s.Sweep(start.Add(5 * time.Second))
		if !aborted {
			t.Fatalf("retention %s: the run was not cancelled", retention)
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

// TestResultTooOldRunsAnew sends a request that needs newer weights than those of
// a kept result.
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
		t.Error("a request with AttachOnly was not attached")
	}
	again.AttachOnly = false
	if r := begin(t, s, again); r.Attached() {
		t.Error("a request was attached to a result that is too old for it")
	}
}

// TestPreviousIncarnationIsRemembered starts new incarnations: the keys of the
// previous one must still be refused.
func TestPreviousIncarnationIsRemembered(t *testing.T) {
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
		t.Error("a key of the previous incarnation was not refused")
	}
	s.NextIncarnation()
	if s.notRun("k", false) != api.NotRunUnknown {
		t.Error("a key that may have been dropped is reported as not run")
	}
}
