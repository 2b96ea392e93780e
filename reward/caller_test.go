package reward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/batch"
	"mulberryscale.example/fleet"
	"mulberryscale.example/forward"
	"mulberryscale.example/observe"
)

// fakeSender gives every request the same answer, and records the requests.
type fakeSender struct {
	answer *forward.Answer
	err    error
	sent   []forward.Request
	to     []string
	left   []time.Duration
}

func (s *fakeSender) Send(_ context.Context, to fleet.Instance, r *forward.Request, left time.Duration) (*forward.Answer, error) {
	s.sent, s.to, s.left = append(s.sent, *r), append(s.to, to.Service), append(s.left, left)
	return s.answer, s.err
}

// Refuses implements quarantine.Prober: every endpoint that broke off a call has crashed.
func (s *fakeSender) Refuses(context.Context, string) bool { return true }

// newTestCaller returns a caller of a service with two endpoints.
func newTestCaller(s *fakeSender) *Caller {
	view := fleet.NewView()
	config := &fleet.Config{Version: 1, Services: []fleet.Service{{Name: "scores"}, {Name: "others"}}, Routes: []fleet.Route{{
		Name: "r", Host: "s.example", Prefix: "/s/", Kind: fleet.KindSafe, Timeout: 3 * time.Second, Objective: 800 * time.Millisecond,
		MaxAttempts: 4, Backends: []fleet.Backend{{Service: "scores", Weight: 1}},
	}}}
	config.Index()
	view.SetConfig(config)
	view.UpdateInstances([]fleet.Instance{
		{ID: "a", Service: "scores", Addr: "10.0.0.1:1", Slots: 4}, {ID: "b", Service: "scores", Addr: "10.0.0.2:1", Slots: 4},
		{ID: "c", Service: "others", Addr: "10.0.0.3:1", Slots: 4},
	}, nil)
	return NewCaller(view, s, "z", "engines", observe.Discard(), observe.NewCounters())
}

// newRequest returns a reward call with ten seconds left.
func newRequest(path string) batch.RewardRequest {
	return batch.RewardRequest{Call: &batch.RewardCall{ID: "r1", Host: "s.example", Path: path, Body: []byte("body")}, Expires: time.Now().Add(10 * time.Second)}
}

func TestAnswerClassification(t *testing.T) {
	for name, c := range map[string]struct {
		answer *forward.Answer
		err    error
		score  string
		want   error
		// sent is the number of endpoints asked, failures how many of them failed the call.
		sent, failures int
	}{
		"scored":              {&forward.Answer{Status: 200, Signature: "s"}, nil, "s", nil, 1, 0},
		"created":             {&forward.Answer{Status: 201, Signature: "s"}, nil, "s", nil, 1, 0},
		"no signature":        {&forward.Answer{Status: 200}, nil, "", batch.ErrBroken, 1, 0},
		"failed":              {&forward.Answer{Status: 500, Signature: "s"}, nil, "", batch.ErrFailed, 2, 2},
		"late at the service": {&forward.Answer{Status: 504, Signature: "s"}, nil, "", batch.ErrBroken, 2, 0},
		"not found":           {&forward.Answer{Status: 404, Signature: "s"}, nil, "", batch.ErrBroken, 1, 0},
		"redirected":          {&forward.Answer{Status: 302, Signature: "s"}, nil, "", batch.ErrBroken, 1, 0},
		"full":                {&forward.Answer{Status: 503, Declined: true}, nil, "", batch.ErrNotRun, 2, 0},
		"not sent":            {nil, forward.ErrUnsent, "", batch.ErrNotRun, 2, 0},
		"reset":               {nil, fmt.Errorf("%w: reset", forward.ErrBroken), "", batch.ErrBroken, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeSender{answer: c.answer, err: c.err}
			got, err := newTestCaller(s).Score(t.Context(), newRequest("/s/1"))
			if got.Score != c.score || !errors.Is(err, c.want) {
				t.Fatalf("got %q, %v", got.Score, err)
			}
			if len(s.sent) != c.sent {
				t.Fatalf("sent %d times, want %d", len(s.sent), c.sent)
			}
			if got.Failures != c.failures || (c.failures > 0 && got.MaxAttempts != 4) {
				t.Errorf("%d failures of %d allowed", got.Failures, got.MaxAttempts)
			}
		})
	}
}

// TestCallIsSentUnchangedByItsRoute: path, host and body go out unchanged, without headers, and
// the deadline is bounded by the timeout of the route.
func TestCallIsSentUnchangedByItsRoute(t *testing.T) {
	s := &fakeSender{answer: &forward.Answer{Status: 200, Signature: "s"}}
	if _, err := newTestCaller(s).Score(t.Context(), newRequest("/s/%41?q=%20")); err != nil {
		t.Fatal(err)
	}
	r := s.sent[0]
	if r.Method != "POST" || r.Target != "/s/%41?q=%20" || r.Host != "s.example" || string(r.Body) != "body" || r.ID != "r1" || len(r.Header) != 0 {
		t.Errorf("sent %+v", r)
	}
	if s.to[0] != "scores" || s.left[0] > 3*time.Second {
		t.Errorf("sent to %s with %v left", s.to[0], s.left[0])
	}
}

// TestRouteRemovedOrChanged: a call uses the configuration that is current when it is sent.
func TestRouteRemovedOrChanged(t *testing.T) {
	s := &fakeSender{answer: &forward.Answer{Status: 200, Signature: "s"}}
	c := newTestCaller(s)
	if _, err := c.Score(t.Context(), newRequest("/t/1")); !errors.Is(err, batch.ErrNotRun) || len(s.sent) != 0 {
		t.Fatalf("no route: got %v, %d sends", err, len(s.sent))
	}
	changed := *c.View.Snapshot().Config
	changed.Version = 2
	changed.Routes = []fleet.Route{changed.Routes[0]}
	changed.Routes[0].Backends = []fleet.Backend{{Service: "others", Weight: 1}}
	changed.Index()
	c.View.SetConfig(&changed)
	if _, err := c.Score(t.Context(), newRequest("/s/1")); err != nil || s.to[0] != "others" {
		t.Fatalf("changed route: got %v, sent to %v", err, s.to)
	}
}

// TestRewardCallUnderWhichEndpointsCrashedIsSentAgain guards against a reward call that is refused, and with it an
// item that never gets its score, because endpoints have crashed under the call. A reward call is exempt from what its
// item is exempt from.
func TestRewardCallUnderWhichEndpointsCrashedIsSentAgain(t *testing.T) {
	for _, crashes := range []int{1, 2, 3, 6} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeSender{err: fmt.Errorf("%w: reset", forward.ErrBroken)}
			caller := newTestCaller(s)
			for range crashes {
				if _, err := caller.Score(t.Context(), newRequest("/s/1")); !errors.Is(err, batch.ErrBroken) {
					t.Fatalf("while endpoints crash: %v", err)
				}
				time.Sleep(time.Second)
			}
			s.answer, s.err = &forward.Answer{Status: 200, Signature: "s"}, nil
			if got, err := caller.Score(t.Context(), newRequest("/s/1")); err != nil || got.Score != "s" {
				t.Errorf("after %d sends with crashes: %q, %v", len(s.sent)-1, got.Score, err)
			}
		})
	}
}

// slowSender answers each request after a second, and records the time that it was told.
type slowSender struct {
	fakeSender
	mu sync.Mutex
}

func (s *slowSender) Send(ctx context.Context, to fleet.Instance, r *forward.Request, left time.Duration) (*forward.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = append(s.left, left)
	answer := *s.answer
	s.mu.Unlock()
	defer s.mu.Lock()
	time.Sleep(time.Second)
	return &answer, nil
}

// TestWaitingCallExpiresWithItsItem guards against reward calls that are sent with the time that their item had left
// before they waited for their turn.
func TestWaitingCallExpiresWithItsItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowSender{fakeSender: fakeSender{answer: &forward.Answer{Status: 200, Signature: "s"}}}
		c := newTestCaller(&s.fakeSender)
		c.Forward.Sender = s
		c.View.Snapshot().Config.Routes[0].Objective = 3 * time.Second // no hedges
		const calls, timeLeft = 12, 2500 * time.Millisecond
		request := newRequest("/s/1")
		request.Expires = time.Now().Add(timeLeft)
		var wg sync.WaitGroup
		for range calls {
			wg.Go(func() { _, _ = c.Score(t.Context(), request) })
		}
		wg.Wait()
		slices.Sort(s.left)
		if first, last := s.left[len(s.left)-1], s.left[0]; first != timeLeft || last > timeLeft-time.Second {
			t.Errorf("the first call was told %s, one that waited %s", first, last)
		}
	})
}
