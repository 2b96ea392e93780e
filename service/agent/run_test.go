package agent

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/plain"
	"mulberryscale.example/wire"
)

func TestRunStreamsTheWholeAnswer(t *testing.T) {
	inBubble(t, engine.Options{}, nil, func(t *testing.T, r *rig) {
		a := r.run(generation("g"))
		rec := r.record("g")
		done := a.final.Done
		if done == nil || done.Text != rec.Text || !strings.HasPrefix(rec.Text, a.text) || done.RunID != "g" || done.FinishReason == "" {
			t.Fatalf("got %+v, the engine made %+v", a, rec)
		}
		if len(done.Spans) != 1 || done.Spans[0] != rec.Spans[0] || done.Spans[0].Version != 3 {
			t.Fatalf("labelled %v, the engine used %v", done.Spans, rec.Spans)
		}
		if a.chunks < 2 || a.final.Report == nil || a.final.Header.Incarnation != r.agent.Incarnation() {
			t.Fatalf("want several chunks and a report in the final reply, got %+v", a)
		}
	})
}

func TestResumeAfterPrefix(t *testing.T) {
	inBubble(t, engine.Options{}, nil, func(t *testing.T, r *rig) {
		req := generation("g")
		req.Generate.Prefix = "old "
		req.Generate.PrefixSpans = []api.VersionSpan{{Version: 2, Tokens: 1}}
		a := r.run(req)
		rec := r.record("g")
		if a.chunks == 0 || !strings.HasPrefix(rec.Text, a.text) || a.final.Done.Text != "old "+rec.Text || a.final.Done.Spans[0].Version != 2 {
			t.Fatalf("got %+v, the engine made %q", a, rec.Text)
		}
		req = generation("h")
		req.MinVersion = 3
		req.Generate.Prefix, req.Generate.PrefixSpans = "old ", []api.VersionSpan{{Version: 2, Tokens: 1}}
		wantRefusal(t, r.run(req), api.CodeStale, api.NotRunTrue)
		r.wantNotRun("h")
	})
}

func TestRetainedRunCanBeReattached(t *testing.T) {
	inBubble(t, engine.Options{}, nil, func(t *testing.T, r *rig) {
		req := generation("g")
		req.Retention = time.Minute
		s := r.open(wire.Request{Run: req})
		time.Sleep(30 * time.Millisecond)
		s.Close()
		again := *req
		again.RunID = "other"
		a := r.run(&again)
		if a.final.Done == nil || a.final.Done.Text != r.record("g").Text || !strings.HasPrefix(a.final.Done.Text, a.text) {
			t.Fatalf("the attached reader got %+v", a)
		}
		r.wantNotRun("other")
		time.Sleep(30 * time.Second)
		late := r.run(&wire.Run{Key: req.Key, AttachOnly: true})
		if late.final.Done == nil || late.final.Done.Text != a.final.Done.Text {
			t.Fatalf("a late reader got %+v", late)
		}
		r.call(wire.Request{Forget: &wire.Forget{Keys: []string{req.Key}}})
		wantRefusal(t, r.run(&wire.Run{Key: req.Key, AttachOnly: true}), api.CodeNoEndpoint, api.NotRunTrue)
	})
}

func TestUnwantedRunIsCancelled(t *testing.T) {
	inBubble(t, engine.Options{Slots: 1}, nil, func(t *testing.T, r *rig) {
		s := r.open(wire.Request{Run: generation("running")})
		synctest.Wait()
		waiting := r.open(wire.Request{Run: generation("waiting")})
		time.Sleep(30 * time.Millisecond)
		waiting.Close()
		synctest.Wait() // otherwise the slot may become free before the agent sees the closed stream
		s.Close()
		time.Sleep(10 * time.Millisecond)
		if rec := r.record("running"); !rec.Cancelled {
			t.Fatalf("the engine still runs %+v", rec)
		}
		r.wantNotRun("waiting")
		if rep := r.agent.Report(); rep.Running != 0 || rep.Queued != 0 {
			t.Fatalf("report %+v", rep)
		}
	})
}

func TestDeadline(t *testing.T) {
	inBubble(t, engine.Options{Slots: 1}, nil, func(t *testing.T, r *rig) {
		long := generation("long")
		long.Budget = 40 * time.Millisecond
		running := r.async(long)
		synctest.Wait()
		short := generation("short")
		short.Budget = 20 * time.Millisecond
		wantRefusal(t, r.run(short), api.CodeDeadline, api.NotRunTrue)
		r.wantNotRun("short")
		a := <-running
		wantRefusal(t, a, api.CodeDeadline, api.NotRunFalse)
		if rec := r.record("long"); !rec.Cancelled || a.text == "" || a.text != rec.Text {
			t.Fatalf("got %q, the engine made %+v", a.text, rec)
		}
	})
}

func TestBrokenStreamKeepsItsText(t *testing.T) {
	inBubble(t, engine.Options{}, nil, func(t *testing.T, r *rig) {
		r.engine.CutNextStream(8)
		a := r.run(generation("g"))
		wantRefusal(t, a, api.CodeEndpointFailed, api.NotRunFalse)
		if a.text == "" || a.text != r.record("g").Text {
			t.Fatalf("got %q, the engine made %q", a.text, r.record("g").Text)
		}
	})
}

func TestStaleWeights(t *testing.T) {
	inBubble(t, engine.Options{}, nil, func(t *testing.T, r *rig) {
		req := generation("before")
		req.MinVersion = 4
		a := r.run(req)
		wantRefusal(t, a, api.CodeStale, api.NotRunTrue)
		if a.refusal().Step != stepAdmit {
			t.Fatalf("the run was not refused on admission: %v", a.refusal())
		}
		r.wantNotRun("before")
		r.agent.LearnTarget(model, 4) // published, but not ordered yet
		wantRefusal(t, r.run(req), api.CodeStale, api.NotRunTrue)
		r.wantNotRun("before")

		req = generation("during")
		req.MinVersion = 3
		running := r.async(req)
		time.Sleep(30 * time.Millisecond)
		if err := r.engine.Load(t.Context(), endpoint.Order{Fence: 9, Model: model, Version: 2}); err != nil {
			t.Fatal(err)
		}
		a = <-running
		wantRefusal(t, a, api.CodeStale, api.NotRunFalse)
		rec := r.record("during")
		if a.text == "" || a.text == rec.Text || rec.Text[:len(a.text)] != a.text {
			t.Fatalf("want the text before the swap, got %q of %q", a.text, rec.Text)
		}
	})
}

func TestBadRuns(t *testing.T) {
	inBubble(t, engine.Options{}, nil, func(t *testing.T, r *rig) {
		for name, change := range map[string]func(*wire.Run){
			"no id":         func(q *wire.Run) { q.RunID = "" },
			"no row":        func(q *wire.Run) { q.Row = "" },
			"two kinds":     func(q *wire.Run) { q.Call = &wire.Call{} },
			"no kind":       func(q *wire.Run) { q.Generate = nil },
			"call":          func(q *wire.Run) { q.Generate, q.Call = nil, &wire.Call{} },
			"no model":      func(q *wire.Run) { q.Generate.Model = "" },
			"no max_tokens": func(q *wire.Run) { q.Generate.MaxTokens = 0 },
		} {
			t.Log(name)
			req := generation("g")
			change(req)
			wantRefusal(t, r.run(req), api.CodeBadRequest, api.NotRunTrue)
		}
		req := generation("g")
		req.Generate.Model = "other"
		wantRefusal(t, r.run(req), api.CodeNoEndpoint, api.NotRunTrue)
		req = generation("g")
		req.Incarnation = "earlier"
		wantRefusal(t, r.run(req), api.CodeWrongIncarnation, api.NotRunUnknown)
		req = generation("g")
		req.Generate.Prompt = string(make([]byte, DefaultMaxRequestBytes+1))
		a := r.run(req)
		if a.err == nil {
			wantRefusal(t, a, api.CodeTooLarge, api.NotRunTrue)
		}
		r.wantNotRun("g")
	})
}

// plainRig runs f with an agent of a stand-in plain service.
func plainRig(t *testing.T, f func(t *testing.T, r *rig, s *plain.Service)) {
	var s *plain.Service
	inBubble(t, engine.Options{}, func(c *Config) {
		s = plain.New(plain.Options{Delay: 50 * time.Millisecond})
		c.Engine, c.Service, c.Services = nil, s, []string{"score"}
	}, func(t *testing.T, r *rig) { f(t, r, s) })
}

func plainCall(id string) *wire.Run {
	return &wire.Run{
		RunID: id, Key: "key-" + id, Row: "score", Budget: time.Second, NonIdempotent: true,
		Call: &wire.Call{Method: "POST", Path: "/", Header: map[string][]string{plain.HeaderRequest: {id}}},
	}
}

func TestNonIdempotentCallIsMadeOnce(t *testing.T) {
	plainRig(t, func(t *testing.T, r *rig, s *plain.Service) {
		gone := r.open(wire.Request{Run: plainCall("a")})
		time.Sleep(10 * time.Millisecond)
		gone.Close()
		again := plainCall("a")
		again.RunID = "second"
		for range 2 {
			if a := r.run(again); a.final.Done == nil || a.final.Done.Answer.Status != 200 {
				t.Fatalf("the repeat got %+v", a)
			}
		}
		r.call(wire.Request{Forget: &wire.Forget{Keys: []string{"key-a"}}})
		wantRefusal(t, r.run(again), api.CodeDuplicate, api.NotRunFalse)

		s.LoseNextReplies(1)
		wantRefusal(t, r.run(plainCall("b")), api.CodeOutcomeUnknown, api.NotRunUnknown)
		wantRefusal(t, r.run(plainCall("b")), api.CodeOutcomeUnknown, api.NotRunUnknown)
		if n := len(s.Records()); n != 2 {
			t.Fatalf("the service ran %d calls, want a and b once each", n)
		}
		other := plainCall("c")
		other.Row = "elsewhere"
		wantRefusal(t, r.run(other), api.CodeNoEndpoint, api.NotRunTrue)
	})
}

func TestCallThatNeverStartedMayRunLater(t *testing.T) {
	plainRig(t, func(t *testing.T, r *rig, s *plain.Service) {
		s.RefuseConnections(true)
		wantRefusal(t, r.run(plainCall("a")), api.CodeEndpointFailed, api.NotRunTrue)
		s.RefuseConnections(false)
		if a := r.run(plainCall("a")); a.final.Done == nil {
			t.Fatalf("got %+v", a)
		}
	})
}

func TestFenceStopsAQueuedRun(t *testing.T) {
	inBubble(t, engine.Options{Slots: 1}, nil, func(t *testing.T, r *rig) {
		running := r.async(generation("running"))
		synctest.Wait()
		queued := r.async(generation("queued"))
		time.Sleep(10 * time.Millisecond)
		fence := func(id string) wire.FenceState {
			return r.call(wire.Request{Fence: &wire.Fence{Key: "row/" + id}}).final.Fenced.State
		}
		if st := fence("running"); st != wire.FenceRunning {
			t.Fatalf("fence of the running run says %d", st)
		}
		if st := fence("queued"); st != wire.FenceNeverRan {
			t.Fatalf("fence of the queued run says %d", st)
		}
		wantRefusal(t, <-queued, api.CodeFenced, api.NotRunTrue)
		wantRefusal(t, r.run(generation("queued")), api.CodeFenced, api.NotRunTrue)
		if a := <-running; a.final.Done == nil {
			t.Fatalf("the running run got %+v", a)
		}
		r.wantNotRun("queued")
	})
}
