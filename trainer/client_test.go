package trainer

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"mulberryscale.example/api"
)

// entry is a fake entry instance that answers each step as the test says.
type entry struct {
	answer   func(req *api.StepRequest, send func(event string, v any))
	requests []api.StepRequest
}

// ServeHTTP implements http.Handler.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req api.StepRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Samples) == 0 {
		w.WriteHeader(http.StatusNoContent) // a confirmation
		return
	}
	e.requests = append(e.requests, req)
	w.Header().Set("Content-Type", "text/event-stream")
	e.answer(&req, func(event string, v any) {
		body, _ := json.Marshal(v)
		fmt.Fprintf(w, "event: %s\ndata: %s\n\n", event, body)
	})
}

func sampleOf(id string, version uint64) api.Sample {
	return api.Sample{ID: id, Versions: []api.VersionSpan{{Version: version, Tokens: 1}}}
}

func newClient(t *testing.T, e *entry) *Client {
	t.Helper()
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	c, err := New(Config{Row: "guide-training", Entries: []string{server.URL}, StalenessBound: 1})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func stepOf(name string, ids ...string) Step {
	step := Step{Name: name, Version: 5}
	for _, id := range ids {
		step.Samples = append(step.Samples, api.SampleRequest{ID: id, Prompt: "p", MaxTokens: 1})
	}
	return step
}

// TestDuplicateStaleAndForeignSamplesAreDropped sends samples twice, too old ones, and one of
// another step.
func TestDuplicateStaleAndForeignSamplesAreDropped(t *testing.T) {
	e := &entry{answer: func(req *api.StepRequest, send func(string, any)) {
		send(api.EventSample, sampleOf("unknown", 5))
		send(api.EventSample, sampleOf("a", 3))
		send(api.EventSample, sampleOf("a", 4))
		send(api.EventSample, sampleOf("a", 5))
		send(api.EventSample, sampleOf("b", 5))
		send(api.EventEnd, api.StepEnd{Delivered: 2})
	}}
	got := map[string]int{}
	result, err := newClient(t, e).RunStep(t.Context(), stepOf("1", "a", "b"), func(s api.Sample) error {
		got[s.ID]++
		if s.ID == "a" && s.Versions[0].Version != 4 {
			t.Errorf("got version %d", s.Versions[0].Version)
		}
		return nil
	})
	if err != nil || result.Delivered != 2 || result.Dropped != 3 || got["a"] != 1 || got["b"] != 1 || len(got) != 2 {
		t.Fatalf("%v, %+v, %v", got, result, err)
	}
}

// TestResumedSessionRequestsMissingSamples ends a session without its end event: the next
// one must ask only for the samples that are still missing.
func TestResumedSessionRequestsMissingSamples(t *testing.T) {
	e := &entry{}
	e.answer = func(req *api.StepRequest, send func(string, any)) {
		send(api.EventPlacement, api.Placement{ID: "b", Hint: "agent-1@127.0.0.1:1"})
		send(api.EventSample, sampleOf(req.Samples[0].ID, 5))
		if len(e.requests) == 2 {
			send(api.EventEnd, api.StepEnd{Delivered: 1})
		}
	}
	c := newClient(t, e)
	result, err := c.RunStep(t.Context(), stepOf("1", "a", "b"), func(api.Sample) error { return nil })
	if err != nil || result.Delivered != 2 || result.Sessions != 2 {
		t.Fatalf("%+v, %v", result, err)
	}
	second := e.requests[1]
	if len(second.Samples) != 1 || second.Samples[0].ID != "b" || second.Received != 1 || second.Hints["b"] == "" || second.Session <= e.requests[0].Session {
		t.Fatalf("the second request is %+v", second)
	}
}

// TestClientKeepsNoMoreThanTwoSteps runs many steps and checks how many ids and
// hints the client keeps. A sample that the next step names again is not delivered
// again.
func TestClientKeepsNoMoreThanTwoSteps(t *testing.T) {
	e := &entry{answer: func(req *api.StepRequest, send func(string, any)) {
		for _, s := range req.Samples {
			send(api.EventPlacement, api.Placement{ID: s.ID, Hint: "agent-1@127.0.0.1:1"})
			send(api.EventSample, sampleOf(s.ID, 5))
		}
		send(api.EventEnd, api.StepEnd{})
	}}
	c := newClient(t, e)
	got := map[string]int{}
	for n := range 20 {
		step := stepOf(fmt.Sprint(n), fmt.Sprint("s", n), fmt.Sprint("s", n-1))
		if _, err := c.RunStep(t.Context(), step, func(s api.Sample) error { got[s.ID]++; return nil }); err != nil {
			t.Fatal(err)
		}
	}
	if len(c.received)+len(c.receivedBefore) > 4 || len(c.hints) > 0 {
		t.Errorf("kept %d and %d ids and %d hints", len(c.received), len(c.receivedBefore), len(c.hints))
	}
	for id, n := range got {
		if n != 1 {
			t.Errorf("%s was delivered %d times", id, n)
		}
	}
}

// TestStepRunAgainAfterAFailure lets the trainer's deliver function fail a few times
// in one step: the samples delivered before are not delivered again.
func TestStepRunAgainAfterAFailure(t *testing.T) {
	e := &entry{answer: func(req *api.StepRequest, send func(string, any)) {
		for _, s := range req.Samples {
			send(api.EventSample, sampleOf(s.ID, 5))
		}
		send(api.EventEnd, api.StepEnd{})
	}}
	c := newClient(t, e)
	step := stepOf("1", "a", "b", "c", "d")
	got := map[string]int{}
	for round := range 4 {
		taken := 0
		_, err := c.RunStep(t.Context(), step, func(s api.Sample) error {
			if taken == 1 {
				return errors.New("the trainer failed")
			}
			taken++
			got[s.ID]++
			return nil
		})
		if (err == nil) != (round == 3) {
			t.Fatalf("round %d: %v", round, err)
		}
	}
	for _, s := range step.Samples {
		if got[s.ID] != 1 {
			t.Errorf("%s was delivered %d times", s.ID, got[s.ID])
		}
	}
}
