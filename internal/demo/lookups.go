package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
	"github.com/tmaxmax/go-sse"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/oracle"
)

const (
	// lookupCallers is how many callers look things up at a time.
	lookupCallers   = 8
	lookupMaxTokens = 48
)

// lookups makes all lookups, every second one streamed.
func (r *run) lookups(ctx context.Context) {
	numbers := make(chan int)
	var wg sync.WaitGroup
	for range lookupCallers {
		wg.Go(func() {
			for i := range numbers {
				r.countLookup(i, r.lookup(ctx, i))
			}
		})
	}
	for i := range r.Lookups {
		numbers <- i
	}
	close(numbers)
	wg.Wait()
}

func (r *run) countLookup(i int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.result.LookupsFailed++
		r.progress("lookup %d: %v", i, err)
		return
	}
	r.result.LookupsOK++
}

// lookup makes one lookup and checks that its answer is its own and whole.
func (r *run) lookup(ctx context.Context, i int) error {
	req := api.CompletionRequest{
		Model: rowLookups, Prompt: fmt.Sprintf("What is open near square %d this Saturday?", i),
		MaxTokens: lookupMaxTokens, Seed: r.Seed<<20 + int64(i), Stream: i%2 == 1,
	}
	body, err := json.Marshal(&req)
	if err != nil {
		return err
	}
	urls := r.d.EntryURLs()
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, urls[i%len(urls)]+api.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := r.fabric.Client().Do(post)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("answered with status %v", resp.StatusCode)
	}
	read := readWhole
	if req.Stream {
		read = readStream
	}
	answer, err := read(resp)
	if err != nil {
		return err
	}
	return oracle.CheckAnswer(req.Prompt, req.Seed, req.MaxTokens, answer.Choices[0].Text, answer.WeightVersions)
}

func readWhole(resp *http.Response) (*api.Completion, error) {
	var answer api.Completion
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, err
	}
	if len(answer.Choices) != 1 {
		return nil, trace.Errorf("has %d choices", len(answer.Choices))
	}
	return &answer, nil
}

// readStream puts a streamed answer together; without its closing event it is cut off.
func readStream(resp *http.Response) (*api.Completion, error) {
	var whole api.Completion
	var text string
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return nil, err
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
			return nil, trace.Errorf("an event has %d choices", len(part.Choices))
		}
		text += part.Choices[0].Text
		whole.WeightVersions = part.WeightVersions
	}
	return nil, trace.Errorf("the stream was cut off")
}
