package httpendpoint_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/endpoint/httpendpoint"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/plain"
	"mulberryscale.example/platform"
)

const guide = "guide"

func startEngine(t *testing.T, tokenTime time.Duration) (*engine.Engine, *httpendpoint.Engine) {
	core := engine.New(engine.Options{ID: "e1", TokenTime: tokenTime, Models: map[string]uint64{guide: 1}})
	s := httptest.NewServer(core.Handler())
	t.Cleanup(s.Close)
	return core, httpendpoint.NewEngine(s.URL)
}

func request(seed int64) endpoint.GenerateRequest {
	return endpoint.GenerateRequest{RunID: "r1", Model: guide, Prompt: "what is open\nin Patan", MaxTokens: 40, Seed: seed}
}

func readAll(s endpoint.Stream) (text string, spans []api.VersionSpan, err error) {
	for {
		c, err := s.Next()
		if err != nil {
			return text, spans, err
		}
		text += c.Text
		spans = endpoint.AddSpan(spans, c.Version, c.Tokens)
	}
}

func TestStreamMatchesEngineRecord(t *testing.T) {
	core, client := startEngine(t, time.Microsecond)
	s, err := client.Generate(t.Context(), request(7))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	text, spans, err := readAll(s)
	if err != io.EOF {
		t.Fatal(err)
	}
	r := core.Records()[0]
	if text != r.Text || text == "" || len(spans) != 1 || spans[0] != r.Spans[0] || r.RunID != "r1" {
		t.Fatalf("got %q %+v, recorded %+v", text, spans, r)
	}
}

func TestCutStreamIsNeverEOF(t *testing.T) {
	core, client := startEngine(t, time.Microsecond)
	core.CutNextStream(5)
	s, err := client.Generate(t.Context(), request(7))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	_, spans, err := readAll(s)
	if !errors.Is(err, httpendpoint.ErrStreamBroken) || spans[0].Tokens != 5 {
		t.Fatalf("got %+v, %v", spans, err)
	}
	if _, again := s.Next(); !errors.Is(again, httpendpoint.ErrStreamBroken) {
		t.Fatalf("second Next after the error: %v", again)
	}
}

// An engine may complete its response properly but without a finish reason. The
// stream must report that as broken.
func TestStreamWithoutFinishReasonIsNeverEOF(t *testing.T) {
	for _, tail := range []string{"", "data: [DONE]\n\n"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `data: {"choices":[{"text":" a"}],"tokens":1,"weights_version":3}`+"\n\n"+tail)
		}))
		defer server.Close()
		s, err := httpendpoint.NewEngine(server.URL).Generate(t.Context(), request(1))
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		text, _, err := readAll(s)
		if text != " a" || !errors.Is(err, httpendpoint.ErrStreamBroken) {
			t.Fatalf("tail %q: got %q, %v", tail, text, err)
		}
	}
}

func TestCloseCancelsTheRunAlsoWhileNextWaits(t *testing.T) {
	core, client := startEngine(t, time.Hour)
	s, err := client.Generate(t.Context(), request(7))
	if err != nil {
		t.Fatal(err)
	}
	nextErr := make(chan error)
	go func() {
		_, err := s.Next()
		nextErr <- err
	}()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-nextErr; err == nil || err == io.EOF {
		t.Fatalf("Next after Close: %v", err)
	}
	for !core.Records()[0].Cancelled {
		time.Sleep(time.Millisecond) // if it is never cancelled, the test times out
	}
}

func wantNotStarted(t *testing.T, err error, want bool) {
	t.Helper()
	var notStarted *endpoint.NotStartedError
	if err == nil || errors.As(err, &notStarted) != want {
		t.Fatalf("want an error that is not-started=%v, got %v", want, err)
	}
}

func TestGenerateRefusals(t *testing.T) {
	core, client := startEngine(t, time.Microsecond)
	req := request(1)
	req.Model = "other"
	_, err := client.Generate(t.Context(), req)
	wantNotStarted(t, err, true)

	core.RefuseConnections(true) // the connection breaks after the request was sent
	_, err = client.Generate(t.Context(), request(1))
	wantNotStarted(t, err, false)

	_, err = httpendpoint.NewEngine(closedAddress()).Generate(t.Context(), request(1))
	wantNotStarted(t, err, true)
}

func closedAddress() string {
	s := httptest.NewServer(nil)
	s.Close()
	return s.URL
}

func TestLoadAndStatus(t *testing.T) {
	core, client := startEngine(t, time.Microsecond)
	if err := client.Load(t.Context(), endpoint.Order{Fence: 5, Model: guide, Version: 2}); err != nil {
		t.Fatal(err)
	}
	if err := client.Load(t.Context(), endpoint.Order{Fence: 4, Model: guide, Version: 3}); !errors.Is(err, platform.ErrStaleFence) {
		t.Fatal(err)
	}
	core.LoseNextLoadReplies(1)
	if err := client.Load(t.Context(), endpoint.Order{Fence: 6, Model: guide, Version: 4}); err == nil || errors.Is(err, platform.ErrStaleFence) {
		t.Fatalf("lost reply: %v", err)
	}
	s, err := client.Status(t.Context())
	if err != nil || s.Fence != 6 || s.Models[0] != (endpoint.ModelStatus{Model: guide, Version: 4, State: endpoint.LoadReady}) {
		t.Fatalf("status %+v, %v", s, err)
	}
}

func startService(t *testing.T) (*plain.Service, *httpendpoint.Service) {
	core := plain.New(plain.Options{ID: "s1"})
	s := httptest.NewServer(core.Handler())
	t.Cleanup(s.Close)
	return core, httpendpoint.NewService(s.URL)
}

func serviceRequest(method string) endpoint.ServiceRequest {
	header := http.Header{plain.HeaderRequest: {"q1"}, "Idempotency-Key": {"k"}, "Connection": {"X-Secret"}, "X-Secret": {"s"}}
	return endpoint.ServiceRequest{Method: method, Path: "/refuel%2Fentries?depot=3", Header: header, Body: []byte("litres")}
}

func TestServiceCallPassesTheRequest(t *testing.T) {
	core, client := startService(t)
	resp, err := client.Call(t.Context(), serviceRequest(http.MethodPost))
	if err != nil || resp.Status != http.StatusOK {
		t.Fatalf("got %+v, %v", resp, err)
	}
	r := core.Records()[0]
	if r.Request != "q1" || r.Path != "/refuel%2Fentries?depot=3" || r.Body != "litres" || r.Method != http.MethodPost {
		t.Fatalf("recorded %+v", r)
	}
}

func TestServiceFaultsRunAtMostOnce(t *testing.T) {
	for name, c := range map[string]struct {
		arm  func(*plain.Service)
		runs int
	}{
		"lost reply":        {func(s *plain.Service) { s.LoseNextReplies(1) }, 1},
		"failed before run": {func(s *plain.Service) { s.FailNextBeforeRun(1) }, 0},
	} {
		core, client := startService(t)
		if _, err := client.Call(t.Context(), endpoint.ServiceRequest{Method: http.MethodGet, Path: "/"}); err != nil {
			t.Fatal(err) // leaves an idle connection that the next call reuses
		}
		c.arm(core)
		_, err := client.Call(t.Context(), serviceRequest(http.MethodGet))
		wantNotStarted(t, err, false)
		if runs := len(core.Records()) - 1; runs != c.runs {
			t.Errorf("%s: ran %d times, want %d", name, runs, c.runs)
		}
	}
}

func TestServiceErrorsThatProveNothingRan(t *testing.T) {
	_, err := httpendpoint.NewService(closedAddress()).Call(t.Context(), serviceRequest(http.MethodPost))
	wantNotStarted(t, err, true)
	_, client := startService(t)
	_, err = client.Call(t.Context(), endpoint.ServiceRequest{Method: http.MethodGet, Path: "http://127.0.0.1:1/"})
	wantNotStarted(t, err, true)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Call(cancelled, serviceRequest(http.MethodPost))
	wantNotStarted(t, err, true)
}
