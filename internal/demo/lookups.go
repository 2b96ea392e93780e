package demo

import (
	"context"
	"fmt"
	"sync"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/caller"
	"mulberryscale.example/internal/oracle"
)

const (
	// lookupConcurrency is the number of concurrent callers.
	lookupConcurrency = 8
	lookupMaxTokens   = 48
)

// lookups makes all lookups, every second one streamed.
func (r *run) lookups(ctx context.Context) {
	numbers := make(chan int)
	var wg sync.WaitGroup
	for range lookupConcurrency {
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

// lookup makes one lookup and checks that its answer is complete and belongs to its prompt.
func (r *run) lookup(ctx context.Context, i int) error {
	req := api.CompletionRequest{
		Model: lookupsRow, Prompt: fmt.Sprintf("What is open near square %d this Saturday?", i),
		MaxTokens: lookupMaxTokens, Seed: r.Seed<<20 + int64(i), Stream: i%2 == 1,
	}
	urls := r.d.EntryURLs()
	answer, err := caller.Complete(ctx, r.fabric.Client(), urls[i%len(urls)], &req, nil)
	if err != nil {
		return err
	}
	return oracle.CheckCompletion(&req, answer)
}
