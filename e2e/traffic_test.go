package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/tmaxmax/go-sse"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/oracle"
	"mulberryscale.example/internal/standin/plain"
	"mulberryscale.example/trainer"
)

// refused is a typed refusal with what came beside it.
type refused struct {
	*api.Refusal
	status     int
	retryAfter string
}

// Unwrap lets errors.As find the refusal.
func (r *refused) Unwrap() error { return r.Refusal }

// readRefusal reads the body of an answer that is not a success.
func readRefusal(resp *http.Response) error {
	var body api.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error == nil {
		return fmt.Errorf("status %s without a refusal", resp.Status)
	}
	return &refused{Refusal: body.Error, status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After")}
}

// lookupRequest is lookup number i.
func lookupRequest(i int, stream bool) api.CompletionRequest {
	return api.CompletionRequest{
		Model: rowLookups, Prompt: fmt.Sprintf("What is open near square %d this Saturday?", i),
		MaxTokens: 64, Seed: int64(i), Stream: stream,
	}
}

// lookup makes one lookup and checks that its answer is its own and whole.
func lookup(ctx context.Context, url string, req api.CompletionRequest) (*api.Completion, error) {
	body, err := json.Marshal(&req)
	if err != nil {
		return nil, err
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, url+api.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := direct.Do(post)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, readRefusal(resp)
	}
	answer, err := readAnswer(resp.Body, req.Stream)
	if err != nil {
		return nil, err
	}
	return answer, oracle.CheckAnswer(req.Prompt, req.Seed, req.MaxTokens, answer.Choices[0].Text, answer.WeightVersions)
}

func readAnswer(r io.Reader, stream bool) (*api.Completion, error) {
	if stream {
		return readStream(r)
	}
	var answer api.Completion
	if err := json.NewDecoder(r).Decode(&answer); err != nil {
		return nil, err
	}
	if len(answer.Choices) != 1 {
		return nil, fmt.Errorf("%d choices", len(answer.Choices))
	}
	return &answer, nil
}

// readStream puts a streamed answer together; without its closing event it is cut off.
func readStream(r io.Reader) (*api.Completion, error) {
	var whole api.Completion
	var text string
	for ev, err := range sse.Read(r, nil) {
		if err != nil {
			return nil, err
		}
		if ev.Type == "error" {
			return nil, fmt.Errorf("the stream ended with %s", ev.Data)
		}
		if ev.Data == "[DONE]" {
			whole.Choices = []api.Choice{{Text: text}}
			return &whole, nil
		}
		var part api.Completion
		if err := json.Unmarshal([]byte(ev.Data), &part); err != nil {
			return nil, err
		}
		if len(part.Choices) != 1 {
			return nil, fmt.Errorf("an event with %d choices", len(part.Choices))
		}
		text += part.Choices[0].Text
		whole.WeightVersions = part.WeightVersions
	}
	return nil, errors.New("the stream was cut off")
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
	req, err := http.NewRequestWithContext(ctx, c.method, url+api.PathServices+c.row+"/visits", bytes.NewReader([]byte(c.body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set(plain.HeaderRequest, c.name)
	if c.key != "" {
		req.Header.Set(api.HeaderIdempotencyKey, c.key)
	}
	if c.nonIdem {
		req.Header.Set(api.HeaderNonIdempotent, "true")
	}
	resp, err := direct.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, readRefusal(resp)
	}
	return io.ReadAll(resp.Body)
}

// samples makes the samples of a step, in groups that share a prompt.
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

// runningStep is a step in progress and what its trainer has received.
type runningStep struct {
	f        *fleet
	requests []api.SampleRequest
	received chan api.Sample // closed with the step's end
	got      map[string][]api.Sample
	result   *trainer.Result
	err      error
}

// startStep begins a step; its first session goes to the first entry.
func (f *fleet) startStep(name string, requests []api.SampleRequest) *runningStep {
	f.t.Helper()
	client, err := trainer.New(trainer.Config{
		Row: rowTrainer, Entries: f.entryURLs(), IdleTimeout: idleTimeout, StalenessBound: 1,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	s := &runningStep{
		f: f, requests: requests, received: make(chan api.Sample, len(requests)), got: map[string][]api.Sample{},
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

// idleTimeout is how long the trainer waits for a silent entry.
const idleTimeout = 2 * time.Second

// await takes in n samples, so that the step is in the middle.
func (s *runningStep) await(n int) {
	s.f.t.Helper()
	for range n {
		if !s.takeOne() {
			s.f.t.Fatalf("the step ended too early: %v", s.err)
		}
	}
}

func (s *runningStep) takeOne() bool {
	s.f.t.Helper()
	select {
	case sample, ok := <-s.received:
		if ok {
			s.got[sample.ID] = append(s.got[sample.ID], sample)
		}
		return ok
	case <-time.After(waitBound):
		s.f.t.Fatalf("no further sample; %d of %d came", len(s.got), len(s.requests))
		return false
	}
}

// drain takes in samples until the step has ended.
func (s *runningStep) drain() {
	for s.takeOne() {
	}
}

// check waits for the step's end and checks that each sample came once, whole
// and truthfully labelled, against the engines' own records.
func (s *runningStep) check() {
	t := s.f.t
	t.Helper()
	s.drain()
	if s.err != nil {
		t.Fatalf("the step failed: %v", s.err)
	}
	records := oracle.Records{}
	for _, of := range s.f.engineRecords() {
		for _, r := range of {
			records[r.RunID] = r
		}
	}
	for i := range s.requests {
		checkOnce(t, records, &s.requests[i], s.got[s.requests[i].ID])
	}
	if s.result.Dropped != 0 {
		t.Errorf("%d samples came to the trainer's library twice or too old", s.result.Dropped)
	}
	if len(s.got) != len(s.requests) || len(s.result.Refused) > 0 {
		t.Errorf("%d samples came, %d were asked for, refused: %v", len(s.got), len(s.requests), s.result.Refused)
	}
}

func checkOnce(t *testing.T, records oracle.Records, req *api.SampleRequest, got []api.Sample) {
	t.Helper()
	if len(got) != 1 {
		t.Errorf("sample %s came %d times", req.ID, len(got))
		return
	}
	if err := records.CheckSample(req, &got[0]); err != nil {
		t.Errorf("sample %s: %v", req.ID, err)
	}
	if oracle.Stale(got[0].Versions, version, 1) || got[0].Score == nil {
		t.Errorf("sample %s: versions %v, score %v", req.ID, got[0].Versions, got[0].Score)
	}
}
