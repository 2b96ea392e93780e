package e2e

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/caller"
	"mulberryscale.example/internal/oracle"
	"mulberryscale.example/internal/standin/plain"
	"mulberryscale.example/trainer"
)

// lookupRequest returns lookup number i.
func lookupRequest(i int, stream bool) api.CompletionRequest {
	return api.CompletionRequest{
		Model: rowLookups, Prompt: fmt.Sprintf("What is open near square %d this Saturday?", i),
		MaxTokens: 64, Seed: int64(i), Stream: stream,
	}
}

// lookup makes one lookup and checks that its answer is complete and belongs to it.
func lookup(ctx context.Context, url string, req api.CompletionRequest) (*api.Completion, error) {
	answer, err := caller.Complete(ctx, direct, url, &req, nil)
	if err != nil {
		return nil, err
	}
	return answer, oracle.CheckCompletion(&req, answer)
}

// serviceCall is a call of a plain service.
type serviceCall struct {
	row, method string
	name        string // in the service's records
	body        string
	key         string // Idempotency-Key
	nonIdem     bool
}

// call makes a service call and returns the body of the service's answer.
func call(ctx context.Context, url string, c serviceCall) ([]byte, error) {
	header := http.Header{}
	header.Set(plain.HeaderRequest, c.name)
	if c.key != "" {
		header.Set(api.HeaderIdempotencyKey, c.key)
	}
	if c.nonIdem {
		header.Set(api.HeaderNonIdempotent, "true")
	}
	return caller.CallService(ctx, direct, url, c.row, "/visits", caller.Call{Method: c.method, Header: header, Body: []byte(c.body)})
}

// samples returns the sample requests of a step, in groups that share a prompt.
func samples(prefix string, n, maxTokens int) []api.SampleRequest {
	const groupSize = 8
	requests := make([]api.SampleRequest, n)
	for i := range requests {
		requests[i] = api.SampleRequest{
			ID: fmt.Sprintf("%s-%d", prefix, i), Group: fmt.Sprint(i / groupSize),
			Prompt:    fmt.Sprintf("Describe courtyard %d to a family that visits on Saturday.", i/groupSize),
			MaxTokens: maxTokens, Seed: int64(i),
		}
	}
	return requests
}

// runningStep is a step in progress, with the samples that its trainer has received.
type runningStep struct {
	f          *fleet
	requests   []api.SampleRequest
	received   chan api.Sample // closed when the step returns
	deliveries map[string][]oracle.Delivery
	result     *trainer.Result
	err        error
}

// startStep starts a step; its first session goes to the first entry.
func (f *fleet) startStep(name string, requests []api.SampleRequest) *runningStep {
	f.t.Helper()
	client, err := trainer.New(trainer.Config{
		Row: rowTrainer, Entries: f.entryURLs(), IdleTimeout: idleTimeout, StalenessBound: 1,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	s := &runningStep{
		f: f, requests: requests, received: make(chan api.Sample, len(requests)), deliveries: map[string][]oracle.Delivery{},
	}
	go func() {
		defer close(s.received)
		s.result, s.err = client.RunStep(f.t.Context(), trainer.Step{Name: name, Version: version, Samples: requests},
			func(sample api.Sample) error {
				s.received <- sample
				return nil
			})
	}()
	return s
}

// idleTimeout is how long the trainer waits for an entry that sends nothing.
const idleTimeout = 2 * time.Second

// awaitSamples receives n samples, so that the step is in progress.
func (s *runningStep) awaitSamples(n int) {
	s.f.t.Helper()
	for range n {
		if !s.receiveOne() {
			s.f.t.Fatalf("the step returned too early: %v", s.err)
		}
	}
}

func (s *runningStep) receiveOne() bool {
	s.f.t.Helper()
	select {
	case sample, ok := <-s.received:
		if ok {
			s.deliveries[sample.ID] = append(s.deliveries[sample.ID], oracle.Delivery{Sample: sample, Version: version})
		}
		return ok
	case <-time.After(waitTimeout):
		s.f.t.Fatalf("no further sample; received %d of %d", len(s.deliveries), len(s.requests))
		return false
	}
}

// drain receives samples until the step has returned.
func (s *runningStep) drain() {
	for s.receiveOne() {
	}
}

// check waits until the step has returned and checks, against the engines' records, that
// each sample was received once, complete and with the right weight versions.
func (s *runningStep) check() {
	t := s.f.t
	t.Helper()
	s.drain()
	if s.err != nil {
		t.Fatalf("the step failed: %v", s.err)
	}
	records := s.f.engineRecords()
	for i := range s.requests {
		req := &s.requests[i]
		if err := records.CheckScoredSample(req, s.deliveries[req.ID], 1); err != nil {
			t.Errorf("sample %s: %v", req.ID, err)
		}
	}
	if s.result.Dropped != 0 {
		t.Errorf("the trainer's library dropped %d samples as duplicate or too old", s.result.Dropped)
	}
	if len(s.deliveries) != len(s.requests) || len(s.result.Refused) > 0 {
		t.Errorf("received %d samples, requested %d, refused: %v", len(s.deliveries), len(s.requests), s.result.Refused)
	}
}
