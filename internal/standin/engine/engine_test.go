package engine

import (
	"context"
	"errors"
	"flag"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/platform"
)

// init fixes the seed; -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const guide = "guide"

func newEngine(change func(*Options)) *Engine {
	o := Options{ID: "e1", TokenTime: time.Millisecond, LoadTime: 100 * time.Millisecond, Models: map[string]uint64{guide: 1}}
	if change != nil {
		change(&o)
	}
	return New(o)
}

func request(id string, seed int64) endpoint.GenerateRequest {
	return endpoint.GenerateRequest{RunID: id, Model: guide, Prompt: "which courtyards are open", MaxTokens: 200, Seed: seed}
}

func generate(t *testing.T, e *Engine, req endpoint.GenerateRequest) endpoint.Stream {
	t.Helper()
	s, err := e.Generate(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

type result struct {
	text   string
	spans  []api.VersionSpan
	reason string
	err    error // nil after a complete text
}

func readAll(s endpoint.Stream) result {
	var r result
	for {
		c, err := s.Next()
		if err != nil {
			if err != io.EOF {
				r.err = err
			}
			return r
		}
		r.text += c.Text
		r.spans = endpoint.AddSpan(r.spans, c.Version, c.Tokens)
		r.reason = c.FinishReason
	}
}

// expected returns the text of spans, the first of which begins at token first.
func expected(req endpoint.GenerateRequest, first int, spans []api.VersionSpan) string {
	var text strings.Builder
	for _, s := range spans {
		for range s.Tokens {
			text.WriteString(Token(req.Prompt, req.Seed, s.Version, first))
			first++
		}
	}
	return text.String()
}

func tokens(spans []api.VersionSpan) int {
	n := 0
	for _, s := range spans {
		n += s.Tokens
	}
	return n
}

// TestResumedTextIsComplete checks that a text that is cut off at any token and resumed
// on an engine of another version has the length and the tokens that an oracle computes.
func TestResumedTextIsComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		req := request("r1", rapid.Int64().Draw(rt, "seed"))
		req.MaxTokens = rapid.IntRange(2, 300).Draw(rt, "max")
		whole := LengthOf(req.Prompt, req.Seed, req.MaxTokens)
		cut := rapid.IntRange(1, whole).Draw(rt, "cut")
		synctest.Test(t, func(t *testing.T) {
			a := newEngine(nil)
			a.CutNextStream(cut)
			first := readAll(generate(t, a, req))
			if !errors.Is(first.err, ErrConnection) || tokens(first.spans) != cut {
				t.Fatalf("cut after %d: got %d tokens, %v", cut, tokens(first.spans), first.err)
			}
			req.Prefix, req.PrefixTokens = first.text, cut
			rest := readAll(generate(t, newEngine(func(o *Options) { o.Models[guide] = 2 }), req))
			if rest.err != nil || rest.reason == "" || tokens(rest.spans) != whole-cut {
				t.Fatalf("resumed at %d of %d: got %+v", cut, whole, rest)
			}
			if first.text != expected(req, 0, first.spans) || rest.text != expected(req, cut, rest.spans) {
				t.Fatal("the text differs from the oracle's")
			}
		})
	})
}

func TestLoadInMidStreamChangesTheReportedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(nil)
		req := request("r1", 4)
		s := generate(t, e, req)
		time.Sleep(10 * time.Millisecond)
		if err := e.Load(t.Context(), endpoint.Order{Fence: 1, Model: guide, Version: 2}); err != nil {
			t.Fatal(err)
		}
		got := readAll(s)
		if len(got.spans) != 2 || got.spans[0].Version != 1 || got.spans[1].Version != 2 {
			t.Fatalf("spans %+v, %v", got.spans, got.err)
		}
		record := e.Records()[0]
		if got.text != expected(req, 0, got.spans) || record.Text != got.text || record.Cancelled {
			t.Fatalf("text %q, record %+v", got.text, record)
		}
	})
}

func TestFailedLoadBreaksStreamsAndWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(nil)
		s := generate(t, e, request("r1", 4))
		e.FailNextLoads(1)
		if err := e.Load(t.Context(), endpoint.Order{Model: guide, Version: 2}); !errors.Is(err, ErrLoadFailed) {
			t.Fatal(err)
		}
		if got := readAll(s); !errors.Is(got.err, ErrNotReady) {
			t.Fatalf("want a broken stream, got %+v", got)
		}
		wantModel(t, e, 1, endpoint.LoadBroken)
		_, err := e.Generate(t.Context(), request("r2", 1))
		var notStarted *endpoint.NotStartedError
		if !errors.As(err, &notStarted) {
			t.Fatalf("want not started, got %v", err)
		}
	})
}

func wantModel(t *testing.T, e *Engine, version uint64, state endpoint.LoadState) {
	t.Helper()
	s, err := e.Status(t.Context())
	if err != nil || len(s.Models) != 1 || s.Models[0].Version != version || s.Models[0].State != state {
		t.Fatalf("want version %d %s, got %+v, %v", version, state, s.Models, err)
	}
}

func TestLostLoadReplyTookEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(nil)
		e.LoseNextLoadReplies(1)
		if err := e.Load(t.Context(), endpoint.Order{Model: guide, Version: 2}); !errors.Is(err, ErrConnection) {
			t.Fatal(err)
		}
		wantModel(t, e, 2, endpoint.LoadReady)
	})
}

func TestFence(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := newEngine(func(o *Options) { o.IgnoreFence = ignore })
			if err := e.Load(t.Context(), endpoint.Order{Fence: 7, Model: guide, Version: 3}); err != nil {
				t.Fatal(err)
			}
			err := e.Load(t.Context(), endpoint.Order{Fence: 6, Model: guide, Version: 2})
			if ignore {
				wantModel(t, e, 2, endpoint.LoadReady)
				return
			}
			if !errors.Is(err, platform.ErrStaleFence) {
				t.Fatal(err)
			}
			wantModel(t, e, 3, endpoint.LoadReady)
		})
	}
}

func TestCrashLosesStreamsAndWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(func(o *Options) { o.Slots = 1 })
		running, waiting := generate(t, e, request("r1", 1)), generate(t, e, request("r2", 2))
		time.Sleep(10 * time.Millisecond)
		e.Crash()
		for _, s := range []endpoint.Stream{running, waiting} {
			if got := readAll(s); !errors.Is(got.err, ErrConnection) {
				t.Fatalf("got %+v", got)
			}
		}
		s, err := e.Status(t.Context())
		if err != nil || len(s.Models) != 0 || s.Running+s.Waiting != 0 {
			t.Fatalf("status %+v, %v", s, err)
		}
		if records := e.Records(); len(records) != 2 || !records[0].Cancelled || records[0].Text == "" || records[1].Text != "" {
			t.Fatalf("records %+v", records)
		}
	})
}

func TestFrozenEngineNeitherRunsNorAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(nil)
		s := generate(t, e, request("r1", 1))
		time.Sleep(10 * time.Millisecond)
		e.Freeze()
		before := e.Records()[0].Text
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		if _, err := e.Status(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("status of a frozen engine: %v", err)
		}
		if after := e.Records()[0].Text; after != before {
			t.Fatal("a frozen engine generated text")
		}
		e.Thaw()
		if got := readAll(s); got.err != nil || got.reason == "" {
			t.Fatalf("after the thaw: %+v", got)
		}
	})
}

func TestWaitingRunsStartInOrderAndCancelFreesTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(func(o *Options) { o.Slots = 1 })
		first := generate(t, e, request("r1", 1))
		second, third := generate(t, e, request("r2", 2)), generate(t, e, request("r3", 3))
		if s, _ := e.Status(t.Context()); s.Running != 1 || s.Waiting != 2 {
			t.Fatalf("status %+v", s)
		}
		if err := first.Close(); err != nil {
			t.Fatal(err)
		}
		if got := readAll(second); got.err != nil {
			t.Fatal(got.err)
		}
		if got := readAll(third); got.err != nil {
			t.Fatal(got.err)
		}
		r := e.Records()
		if !r[0].Cancelled || r[1].Cancelled || !r[2].Finished.After(r[1].Finished) {
			t.Fatalf("records %+v", r)
		}
	})
}

func TestStatusLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(nil)
		e.StatusLag(5 * time.Millisecond)
		time.Sleep(time.Minute)
		s := generate(t, e, request("r1", 1))
		if got, _ := e.Status(t.Context()); got.Running != 0 {
			t.Fatalf("the status is newer than its lag allows: %+v", got)
		}
		time.Sleep(10 * time.Millisecond)
		if got, _ := e.Status(t.Context()); got.Running != 1 {
			t.Fatalf("the status is older than its lag: %+v", got)
		}
		if got := readAll(s); got.err != nil {
			t.Fatal(got.err)
		}
	})
}

func TestPrefixCacheShortensThePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(func(o *Options) { o.PrefillTime, o.EventLag = time.Second, time.Minute })
		req := request("r1", 1)
		req.Prompt = strings.Repeat("word ", 2*blockTokens)
		cold := timeOf(t, e, req)
		if events := e.Events(0); len(events) != 0 {
			t.Fatalf("events listed before their lag has passed: %+v", events)
		}
		if warm := timeOf(t, e, req); cold-warm != 2*blockTokens*time.Second {
			t.Fatalf("cold %s, warm %s", cold, warm)
		}
		time.Sleep(time.Minute)
		if events := e.Events(0); len(events) != 2 || events[0].Kind != BlockStored {
			t.Fatalf("events %+v", events)
		}
	})
}

func timeOf(t *testing.T, e *Engine, req endpoint.GenerateRequest) time.Duration {
	start := time.Now()
	if got := readAll(generate(t, e, req)); got.err != nil {
		t.Fatal(got.err)
	}
	return time.Since(start)
}
