package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/endpoint/httpendpoint"
	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/observe"
)

const (
	overheadCallers = 16
	overheadTokens  = 16
	overheadModel   = "guide"
	overheadTable   = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
visitors,service,guide,1,,,,,4000,30s,,,,at_once,
`
)

// OverheadResult compares the path through an entry and an agent, over real loopback sockets,
// with direct HTTP calls to the stand-in engine.
type OverheadResult struct {
	DirectPerSecond float64 `json:"direct_per_second"`
	PathPerSecond   float64 `json:"path_per_second"`
	// Ratio is the throughput of the path divided by that of direct calls.
	Ratio     float64 `json:"throughput_ratio"`
	DirectP50 float64 `json:"direct_p50_ms"`
	PathP50   float64 `json:"path_p50_ms"`
	// AddedP50 is the median latency of the path minus that of direct calls, in milliseconds.
	AddedP50 float64 `json:"added_p50_ms"`
}

// RunOverhead runs short completions for d each: directly at the engine, then through an entry
// and an agent.
func RunOverhead(ctx context.Context, d time.Duration) (*OverheadResult, error) {
	fabric, err := deployment.NewLoopback()
	if err != nil {
		return nil, err
	}
	defer fabric.Close()
	opts := engine.Options{
		ID: "engine-1", Slots: overheadCallers, TokenTime: time.Millisecond, ChunkTokens: 4,
		Models: map[string]uint64{overheadModel: 1},
	}
	dep, err := deployment.Start(ctx, deployment.Options{
		Fabric: fabric, Table: overheadTable, Log: observe.Discard(),
		Engines: []deployment.EngineSpec{{Zone: "patan", Options: opts}},
		Entries: []deployment.EntrySpec{{Zone: "patan", ID: "entry-1"}},
	})
	if err != nil {
		return nil, err
	}
	defer dep.Close()
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := dep.AwaitReady(ready); err != nil {
		return nil, err
	}
	base, stop, err := fabric.Serve("direct", engine.New(opts).Handler())
	if err != nil {
		return nil, err
	}
	defer stop()
	engineClient := httpendpoint.NewEngine(base)
	direct := closedLoop(d, func(n int) error { return generateDirectly(ctx, engineClient, n) })
	urls := dep.EntryURLs()
	path := closedLoop(d, func(n int) error { return completeViaEntry(ctx, fabric.Client(), urls, n) })
	res := &OverheadResult{
		DirectPerSecond: direct.perSecond, PathPerSecond: path.perSecond, Ratio: path.perSecond / direct.perSecond,
		DirectP50: direct.p50, PathP50: path.p50, AddedP50: path.p50 - direct.p50,
	}
	return res, direct.firstError(path)
}

func overheadPrompt(n int) string {
	return engine.PromptOfLength(overheadTokens, fmt.Sprintf("overhead %d", n))
}

func generateDirectly(ctx context.Context, e *httpendpoint.Engine, n int) error {
	s, err := e.Generate(ctx, endpoint.GenerateRequest{
		RunID: fmt.Sprintf("direct-%d", n), Model: overheadModel, Prompt: overheadPrompt(n), MaxTokens: overheadTokens,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		c, err := s.Next()
		if err != nil {
			return err
		}
		if c.FinishReason != "" {
			return nil
		}
	}
}

func completeViaEntry(ctx context.Context, client *http.Client, urls []string, n int) error {
	status, _, err := complete(ctx, client, urls, n, &api.CompletionRequest{
		Model: "visitors", Prompt: overheadPrompt(n), MaxTokens: overheadTokens,
	})
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// loopResult is the measurement of one closed loop.
type loopResult struct {
	perSecond float64
	p50       float64 // milliseconds
	err       error
}

func (a *loopResult) firstError(b *loopResult) error {
	if a.err != nil {
		return a.err
	}
	return b.err
}

// closedLoop runs overheadCallers concurrent callers for the duration d. Each starts its next call
// once the previous one has returned.
func closedLoop(d time.Duration, call func(n int) error) *loopResult {
	hist := hdr.New(1, time.Minute.Microseconds(), significantDigits)
	res := &loopResult{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for caller := range overheadCallers {
		wg.Go(func() {
			for n := caller; time.Now().Before(end); n += overheadCallers {
				began := time.Now()
				err := call(n)
				took := time.Since(began)
				mu.Lock()
				if err != nil && res.err == nil {
					res.err = err
				}
				_ = hist.RecordValue(took.Microseconds()) // the histogram covers up to a minute
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	res.perSecond = float64(hist.TotalCount()) / d.Seconds()
	res.p50 = float64(hist.ValueAtPercentile(50)) / 1000
	return res
}
