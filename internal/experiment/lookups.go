package experiment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/caller"
	"mulberryscale.example/internal/oracle"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/trainer"
)

const (
	// lookupDeadline is the deadline of a lookup. Goodput counts the complete and correct
	// responses within it.
	lookupDeadline = 2 * time.Second
	// smallEngines and smallSlots are the size of a deployment that load from one machine
	// can saturate.
	smallEngines      = 3
	smallSlots        = 4
	significantDigits = 3 // of the latency histograms
)

// LookupResult is the result of one run of interactive lookups.
type LookupResult struct {
	// Offered is the rate of lookups relative to the capacity of the engines.
	Offered float64 `json:"offered"`
	// Trainers is the number of trainers that saturated the engines at the same time.
	Trainers int     `json:"trainers"`
	Failure  Failure `json:"failure"`
	Sent     int     `json:"sent"`
	OK       int     `json:"ok"`
	Refused  int     `json:"refused"`
	Broken   int     `json:"broken"`
	// Goodput is the rate of complete responses within the deadline, per second.
	Goodput float64 `json:"goodput_per_second"`
	// P50, P99 and P999 are latency percentiles of these responses, in milliseconds.
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

// small returns a copy of the workload with few engines, few slots and twice the token time.
func (w *Workload) small() *Workload {
	s := *w
	s.Engines = smallEngines
	s.Slots = smallSlots
	s.TokenTime = 2 * w.TokenTime
	return &s
}

// lookupCapacity returns how many lookups per second the engines can serve.
func (w *Workload) lookupCapacity() float64 {
	mean := w.Lookups.MedianTokens * math.Exp(w.Lookups.Sigma*w.Lookups.Sigma/2)
	return w.TokensPerSecond() / mean
}

// RunLookups sends lookups for the duration d at a rate of offered times the capacity of the
// engines, while the first trainers of the workload run steps without a pause. The failure f is
// injected after half of d.
func RunLookups(ctx context.Context, w *Workload, offered float64, trainers int, f Failure, d time.Duration, seed uint64) (*LookupResult, error) {
	w = w.small()
	r, err := newRig(ctx, w, Policies()[len(Policies())-1], seed)
	if err != nil {
		return nil, err
	}
	defer r.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	trainersDone, err := r.startTrainers(ctx, w.Trainers[:trainers], seed)
	if err != nil {
		return nil, err
	}
	if trainers > 0 {
		time.Sleep(d / 4) // until the trainers have filled the engines
	}
	fail := time.AfterFunc(d/2, func() { r.inject(f) })
	load := &lookupLoad{r: r, hist: hdr.New(1, time.Minute.Microseconds(), significantDigits)}
	load.run(ctx, offered*w.lookupCapacity(), d, seed)
	fail.Stop()
	cancel()
	trainersDone.Wait()
	return load.result(offered, trainers, f, d), nil
}

// startTrainers starts trainers that run steps until ctx is done. The wait group is done once all
// have returned.
func (r *rig) startTrainers(ctx context.Context, trainers []Trainer, seed uint64) (*sync.WaitGroup, error) {
	clients := make([]*trainer.Client, len(trainers))
	for i := range trainers {
		client, err := r.trainer(trainers[i].Row)
		if err != nil {
			return nil, err
		}
		clients[i] = client
	}
	running := new(sync.WaitGroup)
	for i, client := range clients {
		running.Go(func() { r.trainForever(ctx, client, &trainers[i], seed) })
	}
	return running, nil
}

// trainForever runs steps until ctx is done.
func (r *rig) trainForever(ctx context.Context, client *trainer.Client, t *Trainer, seed uint64) {
	for n := 1; ctx.Err() == nil; n++ {
		samples, _ := r.w.step(t, n, seed)
		step := trainer.Step{Name: fmt.Sprint(n), Version: 1, Samples: samples}
		// The only expected error is the cancellation of ctx, which the loop checks.
		_, _ = client.RunStep(ctx, step, func(api.Sample) error { return nil })
	}
}

// lookupLoad is an open-loop load: it sends lookups at random times without waiting for the
// responses to earlier ones.
type lookupLoad struct {
	r       *rig
	mu      sync.Mutex
	hist    *hdr.Histogram // microseconds
	sent    int
	ok      atomic.Int64
	refused atomic.Int64
	broken  atomic.Int64
}

func (l *lookupLoad) run(ctx context.Context, perSecond float64, d time.Duration, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	end := time.Now().Add(d)
	next := time.Now()
	var wg sync.WaitGroup
	for next.Before(end) {
		time.Sleep(time.Until(next))
		n := l.sent
		tokens := max(1, int(l.r.w.Lookups.MedianTokens*math.Exp(l.r.w.Lookups.Sigma*rng.NormFloat64())))
		l.sent++
		wg.Go(func() { l.lookup(ctx, n, tokens) })
		next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	wg.Wait()
}

// lookup sends one lookup and counts its outcome.
func (l *lookupLoad) lookup(ctx context.Context, n, tokens int) {
	req := api.CompletionRequest{
		Model: l.r.w.Lookups.Row, Prompt: engine.PromptOfLength(tokens, fmt.Sprintf("lookup %d", n)),
		MaxTokens: tokens, Seed: int64(n),
	}
	began := time.Now()
	status, answer, err := complete(ctx, l.r.fabric.Client(), l.r.d.EntryURLs(), n, &req)
	took := time.Since(began)
	switch {
	case err != nil:
		l.broken.Add(1)
	case status != http.StatusOK:
		l.refused.Add(1)
	case oracle.CheckCompletion(&req, answer) != nil:
		l.broken.Add(1)
	case took <= lookupDeadline:
		l.ok.Add(1)
		l.mu.Lock()
		defer l.mu.Unlock()
		_ = l.hist.RecordValue(took.Microseconds()) // the deadline is within the range of the histogram
	}
}

// complete sends a completion request to the n-th entry, modulo their number. For a refusal it
// returns the HTTP status and no error.
func complete(ctx context.Context, client *http.Client, urls []string, n int, req *api.CompletionRequest) (int, *api.Completion, error) {
	header := http.Header{}
	header.Set(api.HeaderDeadline, lookupDeadline.String())
	answer, err := caller.Complete(ctx, client, urls[n%len(urls)], req, header)
	var refused *caller.Refused
	if errors.As(err, &refused) {
		return refused.Status, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	return http.StatusOK, answer, nil
}

func (l *lookupLoad) result(offered float64, trainers int, f Failure, d time.Duration) *LookupResult {
	ms := func(percentile float64) float64 { return float64(l.hist.ValueAtPercentile(percentile)) / 1000 }
	return &LookupResult{
		Offered: offered, Trainers: trainers, Failure: f, Sent: l.sent,
		OK: int(l.ok.Load()), Refused: int(l.refused.Load()), Broken: int(l.broken.Load()),
		Goodput: float64(l.ok.Load()) / d.Seconds(), P50: ms(50), P99: ms(99), P999: ms(99.9),
	}
}
