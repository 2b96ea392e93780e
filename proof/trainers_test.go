package proof

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/tmaxmax/go-sse"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/caller"
	"mulberryscale.example/internal/oracle"
	"mulberryscale.example/trainer"
)

const (
	groupSize       = 4
	sampleMaxTokens = 160
	lookupMaxTokens = 48
	queuedSteps     = 64
)

// trainerRun is a trainer that runs its queued steps one after another.
type trainerRun struct {
	h      *harness
	row    string
	client *trainer.Client
	steps  chan trainer.Step
	n      int
	// requests are all requested samples, by id; got are the deliveries of each.
	requests map[string]api.SampleRequest
	got      map[string][]oracle.Delivery
	// refused are samples that were refused because the outcome of their scoring call is unknown.
	refused  map[string]bool
	lastStep uint64 // version of the newest step
	done     chan struct{}
	closed   bool
}

// newClient returns a trainer client that tries the entries in rotation, beginning with the nth.
func (h *harness) newClient(row string, n int) *trainer.Client {
	urls := h.d.EntryURLs()
	client, err := trainer.New(trainer.Config{
		Row: row, Entries: append(urls[n:len(urls):len(urls)], urls[:n]...), HTTP: h.fabric.Client(), StalenessBound: stalenessBound,
	})
	if err != nil {
		h.errorf("the client of %s: %v", row, err)
	}
	return client
}

// postStep posts a step of two samples with a session number, without the client library. It
// returns nil once the step is complete, or the refusal that closes the stream.
func (h *harness) postStep(session uint64) error {
	req := api.StepRequest{Session: session, Version: h.version}
	for _, id := range []string{"x", "y"} {
		req.Samples = append(req.Samples, api.SampleRequest{ID: id, Prompt: "Describe gate " + id + ".", MaxTokens: 400, Seed: 1})
	}
	body, err := json.Marshal(&req)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
	defer cancel()
	url := h.url(0) + api.PathTrainers + rowTrainer + "/steps/raw"
	answer, err := caller.Do(ctx, h.fabric.Client(), caller.Call{URL: url, Body: body})
	if err != nil {
		return h.refusalOf(err)
	}
	defer answer.Close()
	for ev, err := range sse.Read(answer, nil) {
		switch {
		case err != nil:
			return err
		case ev.Type == api.EventEnd:
			return nil
		case ev.Type == api.EventRefusal:
			refusal := new(api.Refusal)
			if err := json.Unmarshal([]byte(ev.Data), refusal); err != nil {
				return err
			}
			return refusal
		}
	}
	return caller.ErrTruncated
}

func (h *harness) startTrainer(row string) {
	t := &trainerRun{
		h: h, row: row, client: h.newClient(row, 0), steps: make(chan trainer.Step, queuedSteps),
		requests: map[string]api.SampleRequest{}, got: map[string][]oracle.Delivery{},
		refused: map[string]bool{}, done: make(chan struct{}),
	}
	h.trainers[row] = t
	h.callers.Go(t.run)
}

// submit queues a step of n new samples.
func (t *trainerRun) submit(n int) {
	if len(t.steps) == queuedSteps-1 {
		return
	}
	t.n++
	step := trainer.Step{Name: fmt.Sprint(t.n), Version: t.h.version}
	for i := range n {
		id := fmt.Sprintf("%d-%d", t.n, i)
		step.Samples = append(step.Samples, api.SampleRequest{
			ID: id, Group: fmt.Sprint(i / groupSize), MaxTokens: sampleMaxTokens, Seed: int64(i),
			Prompt: fmt.Sprintf("Describe courtyard %d of step %d of %s.", i/groupSize, t.n, t.row),
		})
		t.requests[id] = step.Samples[i]
	}
	t.steps <- step
}

// finish closes the queue of steps. The trainer returns once it has all its samples.
func (t *trainerRun) finish() {
	if !t.closed {
		t.closed = true
		close(t.steps)
	}
}

func (t *trainerRun) run() {
	defer close(t.done)
	carried := 0
	for step := range t.steps {
		carried = t.step(step)
	}
	// The last steps wait for all samples that were carried over.
	for round := 0; carried > 0 && t.h.ctx.Err() == nil; round++ {
		carried = t.step(trainer.Step{Name: fmt.Sprint("last-", round), Version: t.lastStep, WaitFor: carried})
	}
}

// step runs a step and returns how many samples were carried over.
func (t *trainerRun) step(step trainer.Step) int {
	t.lastStep = step.Version
	result, err := t.client.RunStep(t.h.ctx, step, func(s api.Sample) error {
		t.got[s.ID] = append(t.got[s.ID], oracle.Delivery{Sample: s, Version: step.Version})
		return nil
	})
	if err != nil {
		t.h.errorf("step %s of %s: %v", step.Name, t.row, err)
		return 0
	}
	for _, u := range result.Refused {
		if t.scoreOutcomeUnknown(u.Reason) {
			t.refused[u.ID] = true
			continue
		}
		t.h.errorf("sample %s of %s was refused permanently: %v", u.ID, t.row, u.Reason)
	}
	for _, id := range result.Cancelled {
		t.h.errorf("sample %s of %s was cancelled", id, t.row)
	}
	return len(result.CarriedOver)
}

// scoreOutcomeUnknown reports whether a refusal is due to a non-idempotent scoring call whose
// outcome is unknown. Its sample can no longer be delivered.
func (t *trainerRun) scoreOutcomeUnknown(r *api.Refusal) bool {
	return t.row == rowPartial && r.NotRun != api.NotRunTrue &&
		(r.Code == api.CodeOutcomeUnknown || r.Code == api.CodeDuplicate)
}

// check compares the deliveries with the requests and with the records of the engines.
func (t *trainerRun) check(records oracle.Records) {
	for id, req := range t.requests {
		got := t.got[id]
		if t.refused[id] && len(got) == 0 {
			continue
		}
		if err := records.CheckScoredSample(&req, got, stalenessBound); err != nil {
			t.h.errorf("sample %s of %s: %v", id, t.row, err)
		}
	}
	for id := range t.got {
		if _, asked := t.requests[id]; !asked {
			t.h.errorf("sample %s of %s was not requested", id, t.row)
		}
	}
}

// checkScores reports non-idempotent scoring calls that ran more than once.
func (h *harness) checkScores() {
	prefix := rowPartial + "/"
	seen := map[string]int{}
	for _, s := range h.scorers {
		for _, r := range s.Records() {
			if len(r.Request) > len(prefix) && r.Request[:len(prefix)] == prefix {
				seen[r.Request]++
			}
		}
	}
	for name, n := range seen {
		if n > 1 {
			h.errorf("non-idempotent scoring call %s ran %d times", name, n)
		}
	}
}
