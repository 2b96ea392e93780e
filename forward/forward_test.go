package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
)

// fakeSender answers by instance id.
type fakeSender struct {
	mu      sync.Mutex
	answers map[string]func(ctx context.Context) (*Answer, error)
	sent    []string
	left    []time.Duration
	// cancelled counts sends whose context was cancelled before their answer.
	cancelled int
}

func (f *fakeSender) Send(ctx context.Context, to fleet.Instance, _ *Request, left time.Duration) (*Answer, error) {
	f.mu.Lock()
	f.sent = append(f.sent, to.ID)
	f.left = append(f.left, left)
	do := f.answers[to.ID]
	f.mu.Unlock()
	a, err := do(ctx)
	if ctx.Err() != nil {
		f.mu.Lock()
		f.cancelled++
		f.mu.Unlock()
	}
	return a, err
}

func answers(status int, after time.Duration) func(context.Context) (*Answer, error) {
	return func(ctx context.Context) (*Answer, error) {
		select {
		case <-time.After(after):
			return &Answer{Status: status, Body: []byte("whole")}, nil
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: cut", ErrBroken)
		}
	}
}

func fails(err error) func(context.Context) (*Answer, error) {
	return func(context.Context) (*Answer, error) { return nil, err }
}

func declines(context.Context) (*Answer, error) {
	return &Answer{Status: http.StatusServiceUnavailable, Declined: true}, nil
}

func hangs(ctx context.Context) (*Answer, error) {
	<-ctx.Done()
	return nil, fmt.Errorf("%w: cut", ErrBroken)
}

// neverWritten is a send that is cut off before anything of it was written.
func neverWritten(ctx context.Context) (*Answer, error) {
	<-ctx.Done()
	return nil, fmt.Errorf("%w: cut", ErrUnsent)
}

// rig returns a forwarder in front of two instances, "a" in its own zone and "b" in another.
func rig(a, b func(context.Context) (*Answer, error)) (*Forwarder, *fakeSender) {
	view := fleet.NewView()
	view.SetConfig(&fleet.Config{Version: 1, Services: []fleet.Service{{Name: "s"}}})
	view.UpdateInstances([]fleet.Instance{
		{ID: "a", Service: "s", Zone: "here", Addr: "10.0.0.1:1", Slots: 4},
		{ID: "b", Service: "s", Zone: "there", Addr: "10.0.0.2:1", Slots: 4},
	}, nil)
	sender := &fakeSender{answers: map[string]func(context.Context) (*Answer, error){"a": a, "b": b}}
	return New(view, sender, "here", observe.Discard(), observe.NewCounters()), sender
}

func request(kind fleet.Kind) *Request {
	return &Request{ID: "r1", Method: "POST", Target: "/p/x", Route: &fleet.Route{
		Name: "route", Kind: kind, Timeout: 2 * time.Second, Objective: 150 * time.Millisecond, MaxAttempts: 2,
		Backends: []fleet.Backend{{Service: "s", Weight: 1}},
	}}
}

func TestOutcomesOfAttempts(t *testing.T) {
	ok := answers(200, 20*time.Millisecond)
	unsent, broken := fails(ErrUnsent), fails(ErrBroken)
	for name, c := range map[string]struct {
		kind   fleet.Kind
		a, b   func(context.Context) (*Answer, error)
		status int    // 0: a refusal
		reason string // of the refusal
		notRun bool
		sent   []string
	}{
		"answered":                  {fleet.KindSafe, ok, ok, 200, "", false, []string{"a"}},
		"safe, broken":              {fleet.KindSafe, broken, ok, 200, "", false, []string{"a", "b"}},
		"safe, failed":              {fleet.KindSafe, answers(500, 0), ok, 200, "", false, []string{"a", "b"}},
		"safe, failed twice":        {fleet.KindSafe, answers(500, 0), answers(500, 0), 500, "", false, []string{"a", "b"}},
		"safe, slow":                {fleet.KindSafe, hangs, ok, 200, "", false, []string{"a", "b"}},
		"safe, both hang":           {fleet.KindSafe, hangs, hangs, 0, ReasonTimeout, false, []string{"a", "b"}},
		"unsafe, broken":            {fleet.KindUnsafe, broken, ok, 0, ReasonBroken, false, []string{"a"}},
		"unsafe, failed":            {fleet.KindUnsafe, answers(500, 0), ok, 500, "", false, []string{"a"}},
		"unsafe, slow":              {fleet.KindUnsafe, answers(200, time.Second), ok, 200, "", false, []string{"a"}},
		"unsafe, hangs":             {fleet.KindUnsafe, hangs, ok, 0, ReasonTimeout, false, []string{"a"}},
		"unsafe, unsent":            {fleet.KindUnsafe, unsent, ok, 200, "", false, []string{"a", "b"}},
		"unsafe, declined":          {fleet.KindUnsafe, declines, ok, 200, "", false, []string{"a", "b"}},
		"unsafe, declined by all":   {fleet.KindUnsafe, declines, declines, 0, ReasonDeclined, true, []string{"a", "b"}},
		"unsafe, declined, broken":  {fleet.KindUnsafe, declines, broken, 0, ReasonBroken, false, []string{"a", "b"}},
		"stream, unsent everywhere": {fleet.KindStream, unsent, unsent, 0, ReasonUnsent, true, []string{"a", "b"}},
		"safe, broken, declined":    {fleet.KindSafe, broken, declines, 0, ReasonDeclined, false, []string{"a", "b"}},
	} {
		for use, settings := range map[string]GateSettings{"no gate": DefaultGateSettings(), "gate": testSettings()} {
			t.Run(name+", "+use, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, sender := rig(c.a, c.b)
					f.Gates = NewGates(settings)
					answer, err := f.Do(t.Context(), request(c.kind))
					synctest.Wait()
					// With a gate a request goes back to endpoints that declined it until it is refused.
					returns := settings.Always && c.reason == ReasonDeclined
					if !returns && !slices.Equal(sender.sent, c.sent) {
						t.Errorf("sent to %v, want %v", sender.sent, c.sent)
					}
					if reached := slices.Compact(slices.Sorted(slices.Values(sender.sent))); returns && !slices.Equal(reached, []string{"a", "b"}) {
						t.Errorf("sent to %v, want each endpoint at least once", reached)
					}
					if c.status != 0 {
						if err != nil || answer.Status != c.status {
							t.Fatalf("got %v, %v", answer, err)
						}
						return
					}
					want := c.reason
					if returns {
						want = ReasonNotAdmitted
					}
					var refusal *Refusal
					if !errors.As(err, &refusal) || refusal.Reason != want || refusal.NotRun != c.notRun {
						t.Fatalf("got %#v", err)
					}
				})
			})
		}
	}
}

// TestOnRunStartedCalls counts the calls of OnRunStarted: a request that was sent twice
// started twice, one that was declined or never sent did not start there.
func TestOnRunStartedCalls(t *testing.T) {
	ok := answers(200, 20*time.Millisecond)
	for name, c := range map[string]struct {
		kind fleet.Kind
		a, b func(context.Context) (*Answer, error)
		want []time.Duration // after the request arrived
	}{
		"answered":                              {fleet.KindSafe, ok, ok, []time.Duration{0}},
		"failed":                                {fleet.KindUnsafe, answers(500, 0), ok, []time.Duration{0}},
		"no answer":                             {fleet.KindUnsafe, fails(ErrBroken), ok, []time.Duration{0}},
		"slow":                                  {fleet.KindSafe, answers(200, time.Second), ok, []time.Duration{0, 90 * time.Millisecond}},
		"declined":                              {fleet.KindSafe, declines, ok, []time.Duration{0}},
		"unsent":                                {fleet.KindSafe, fails(ErrUnsent), ok, []time.Duration{0}},
		"all declined":                          {fleet.KindSafe, declines, declines, nil},
		"second send cut before it was written": {fleet.KindSafe, answers(200, 100*time.Millisecond), neverWritten, []time.Duration{0}},
		"second send cut after it was written":  {fleet.KindSafe, answers(200, 100*time.Millisecond), hangs, []time.Duration{0, 90 * time.Millisecond}},
		"cut before it was written":             {fleet.KindUnsafe, neverWritten, ok, nil},
		"stream cut before its first event":     {fleet.KindStream, hangs, ok, nil},
		"stream broken before its first event":  {fleet.KindStream, fails(ErrBroken), ok, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _ := rig(c.a, c.b)
				var mu sync.Mutex
				var got []time.Duration
				arrived := time.Now()
				f.OnRunStarted = func(organisation string, at time.Time) func() {
					mu.Lock()
					defer mu.Unlock()
					if organisation != "guthi" {
						t.Errorf("organisation %q", organisation)
					}
					after := at.Sub(arrived)
					got = append(got, after)
					return func() {
						mu.Lock()
						defer mu.Unlock()
						i := slices.Index(got, after)
						got = slices.Delete(got, i, i+1)
					}
				}
				r := request(c.kind)
				r.Organisation = "guthi"
				_, _ = f.Do(t.Context(), r) // the answer is tested elsewhere
				synctest.Wait()
				if !slices.Equal(got, c.want) {
					t.Errorf("got %v, want %v", got, c.want)
				}
			})
		})
	}
}

// TestStreamsBeginWithTheirFirstEvent has an endpoint that answers late.
func TestStreamsBeginWithTheirFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := rig(func(context.Context) (*Answer, error) {
			time.Sleep(300 * time.Millisecond)
			return &Answer{Status: 200, Stream: noEvents{}}, nil
		}, hangs)
		arrived := time.Now()
		var at time.Time
		f.OnRunStarted = func(_ string, began time.Time) func() {
			at = began
			return func() { t.Error("withdrawn") }
		}
		answer, err := f.Do(t.Context(), request(fleet.KindStream))
		if err != nil {
			t.Fatal(err)
		}
		answer.Stream.Close()
		if after := at.Sub(arrived); after != 300*time.Millisecond {
			t.Errorf("began after %s", after)
		}
	})
}

// noEvents is a stream without events.
type noEvents struct{}

func (noEvents) Next() (raw []byte, id string, err error) { return nil, "", io.EOF }
func (noEvents) Close()                                   {}

func TestClientDisconnectCancelsItsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, sender := rig(hangs, hangs)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := f.Do(ctx, request(fleet.KindUnsafe))
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Reason != ReasonClientGone || refusal.NotRun {
			t.Fatalf("got %#v", err)
		}
		synctest.Wait()
		if sender.cancelled != 1 {
			t.Fatalf("%d sends cancelled", sender.cancelled)
		}
	})
}

func TestDeadlineIsPropagated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, sender := rig(fails(ErrBroken), answers(200, 0))
		r := request(fleet.KindSafe)
		r.Deadline = time.Now().Add(700 * time.Millisecond)
		if _, err := f.Do(t.Context(), r); err != nil {
			t.Fatal(err)
		}
		for _, left := range sender.left {
			if left > 700*time.Millisecond || left < 600*time.Millisecond {
				t.Errorf("time left %v", left)
			}
		}
	})
}

func TestSuspectsAreUsedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, sender := rig(fails(ErrBroken), answers(200, 0))
		for range 3 {
			if _, err := f.Do(t.Context(), request(fleet.KindSafe)); err != nil {
				t.Fatal(err)
			}
		}
		if want := []string{"a", "b", "b", "b"}; !slices.Equal(sender.sent, want) {
			t.Fatalf("sent to %v", sender.sent)
		}
		time.Sleep(2 * time.Second) // until suspects are tried again
		if _, err := f.Do(t.Context(), request(fleet.KindSafe)); err != nil {
			t.Fatal(err)
		}
		if sender.sent[4] != "a" {
			t.Fatalf("the suspect was not tried again after its timeout: %v", sender.sent)
		}
	})
}

func TestRefusalWithoutEndpointReportsNotRun(t *testing.T) {
	f, _ := rig(declines, declines)
	f.View.UpdateInstances(nil, []string{"a", "b"})
	_, err := f.Do(t.Context(), request(fleet.KindUnsafe))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Reason != ReasonNoEndpoint || !refusal.NotRun || refusal.RetryAfter == 0 {
		t.Fatalf("got %#v", err)
	}
}

// A failure of an instance does not make its next incarnation a suspect.
func TestRestartedInstanceIsNotSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, sender := rig(fails(ErrBroken), answers(200, 0))
		for range 2 {
			if _, err := f.Do(t.Context(), request(fleet.KindSafe)); err != nil {
				t.Fatal(err)
			}
		}
		sender.answers["a"] = answers(200, 0)
		f.View.UpdateInstances([]fleet.Instance{{ID: "a", Service: "s", Zone: "here", Addr: "10.0.0.1:1", Slots: 4, StartedAt: 1}}, nil)
		if _, err := f.Do(t.Context(), request(fleet.KindSafe)); err != nil {
			t.Fatal(err)
		}
		if want := []string{"a", "b", "b", "a"}; !slices.Equal(sender.sent, want) {
			t.Fatalf("sent to %v", sender.sent)
		}
	})
}

// TestMisdirectedRequestIsReported has another incarnation answer than the listed one: the list is
// out of date. An endpoint that declines for another reason is no evidence of that.
func TestMisdirectedRequestIsReported(t *testing.T) {
	misdirected := func(context.Context) (*Answer, error) {
		return &Answer{Status: http.StatusMisdirectedRequest, Declined: true}, nil
	}
	for _, c := range []struct {
		first func(context.Context) (*Answer, error)
		stale bool
	}{{misdirected, true}, {declines, false}} {
		f, _ := rig(c.first, answers(200, 0))
		if _, err := f.Do(t.Context(), request(fleet.KindSafe)); err != nil {
			t.Fatal(err)
		}
		stale := false
		select {
		case <-f.View.Stale():
			stale = true
		default:
		}
		if stale != c.stale {
			t.Errorf("list reported as out of date: %t, want %t", stale, c.stale)
		}
	}
}
