package engine

import (
	"context"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
)

// Finish reasons of a stream.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// run is one generation. The engine's mutex guards its fields below ended.
type run struct {
	req        endpoint.GenerateRequest
	promptHash uint64
	// promptTokens is the length of the prompt.
	promptTokens int
	total        int // whole length in tokens, prefix included
	reason       string
	started      time.Time
	admitted     chan struct{} // closed when the run gets a slot
	ended        chan struct{} // closed when the run has ended
	more         chan struct{} // holds a token when chunks were added

	forget    func() bool // stops watching the caller's context
	produced  int         // tokens of the whole text so far, prefix included
	cutAfter  int         // tokens after which the connection breaks, 0 for never
	chunks    []endpoint.Chunk
	text      strings.Builder
	spans     []api.VersionSpan
	finished  time.Time
	cancelled bool
	err       error
}

func newRun(req endpoint.GenerateRequest) *run {
	natural := naturalLength(req.Prompt, req.Seed)
	reason := finishStop
	if natural > req.MaxTokens {
		reason = finishLength
	}
	return &run{
		req:          req,
		promptTokens: promptTokens(req.Prompt),
		promptHash:   xxhash.Sum64String(req.Prompt),
		total:        min(natural, req.MaxTokens),
		reason:       reason,
		started:      time.Now(),
		admitted:     make(chan struct{}),
		ended:        make(chan struct{}),
		more:         make(chan struct{}, 1),
		produced:     req.PrefixTokens,
	}
}

func (r *run) record() Record {
	return Record{
		RunID: r.req.RunID, Model: r.req.Model, Prompt: r.req.Prompt, Seed: r.req.Seed, Prefix: r.req.Prefix,
		Text: r.text.String(), Spans: slices.Clone(r.spans),
		Started: r.started, Finished: r.finished, Cancelled: r.cancelled,
	}
}

// hasEnded says whether the run has ended. It is called with the engine's mutex held.
func (r *run) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

func (r *run) signal() {
	select {
	case r.more <- struct{}{}:
	default:
	}
}

// admitWaiting gives free slots to the waiting runs in order of arrival.
func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.opts.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		r.cutAfter = e.faults.takeCut()
		close(r.admitted)
	}
}

// serve takes a run from its admission to its end.
func (e *Engine) serve(r *run) {
	select {
	case <-r.admitted:
	case <-r.ended:
		return
	}
	if !e.sleep(r, e.prefill(r)) || e.endUnder(r) {
		return
	}
	for {
		n, d := e.nextChunk(r)
		if !e.sleep(r, d) || !e.produce(r, n) {
			return
		}
	}
}

// prefill puts the prompt into the cache and returns the time that it takes.
func (e *Engine) prefill(r *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := r.promptTokens + r.req.PrefixTokens
	cached := e.cache.use(r.req.Prompt, time.Now())
	return time.Duration(tokens-cached) * e.scaled(e.opts.PrefillTime)
}

// nextChunk is how many tokens the next chunk has and how long it takes.
func (e *Engine) nextChunk(r *run) (int, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := max(0, min(e.opts.ChunkTokens, r.total-r.produced))
	if r.cutAfter > 0 {
		n = min(n, r.cutAfter)
	}
	others := max(0, len(e.running)-1)
	perToken := float64(e.scaled(e.opts.TokenTime)) * (1 + e.opts.BatchSlowdown*float64(others))
	return n, time.Duration(perToken * float64(n))
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.faults.slow)
}

// sleep waits for d and returns false when the run has ended meanwhile.
func (e *Engine) sleep(r *run, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.ended:
		return false
	}
}

// produce adds n tokens of the version in force. It waits while the engine is
// frozen or loads the model, and returns false when the run has ended.
func (e *Engine) produce(r *run, n int) bool {
	for {
		done, wait := e.tryProduce(r, n)
		if wait == nil {
			return !done
		}
		select {
		case <-wait:
		case <-r.ended:
			return false
		}
	}
}

// tryProduce returns a channel to wait on when nothing can be produced now.
func (e *Engine) tryProduce(r *run, n int) (done bool, wait <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.finished.IsZero() {
		return true, nil
	}
	m := e.models[r.req.Model]
	if e.faults.frozen || m.state == endpoint.LoadLoading {
		return false, e.changed
	}
	if m.state == endpoint.LoadBroken {
		e.endRunLocked(r, ErrNotReady)
		return true, nil
	}
	e.addChunk(r, n, m.version)
	if r.cutAfter > 0 {
		r.cutAfter -= n
		if r.cutAfter == 0 {
			e.endRunLocked(r, ErrConnection)
			return true, nil
		}
	}
	if r.produced < r.total {
		return false, nil
	}
	e.endRunLocked(r, nil)
	return true, nil
}

func (e *Engine) addChunk(r *run, n int, version uint64) {
	var text strings.Builder
	for i := range n {
		text.WriteString(word(r.promptHash, r.req.Seed, version, r.produced+i))
	}
	r.produced += n
	r.text.WriteString(text.String())
	r.spans = endpoint.AddSpan(r.spans, version, n)
	chunk := endpoint.Chunk{Text: text.String(), Tokens: n, Version: version}
	if r.produced >= r.total {
		chunk.FinishReason = r.reason
	}
	r.chunks = append(r.chunks, chunk)
	r.signal()
}

// endRun ends a run that still runs; err nil means that it is whole.
func (e *Engine) endRun(r *run, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endRunLocked(r, err)
}

func (e *Engine) endRunLocked(r *run, err error) {
	if !r.finished.IsZero() {
		return
	}
	r.finished = time.Now()
	r.forget()
	r.err = err
	r.cancelled = err != nil
	isRun := func(o *run) bool { return o == r }
	e.running = slices.DeleteFunc(e.running, isRun)
	e.waiting = slices.DeleteFunc(e.waiting, isRun)
	close(r.ended)
	e.admitWaiting()
	e.noteLocked()
}

// stream is a caller's end of a run.
type stream struct {
	engine *Engine
	run    *run
	read   int
}

// Next implements endpoint.Stream.
func (s *stream) Next() (endpoint.Chunk, error) {
	for {
		chunk, ok, err := s.poll()
		if ok || err != nil {
			return chunk, err
		}
		select {
		case <-s.run.more:
		case <-s.run.ended:
		}
	}
}

func (s *stream) poll() (chunk endpoint.Chunk, ok bool, err error) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	r := s.run
	if s.read < len(r.chunks) {
		chunk = r.chunks[s.read]
		s.read++
		return chunk, true, nil
	}
	if r.finished.IsZero() {
		return chunk, false, nil
	}
	if r.err == nil {
		return chunk, false, io.EOF
	}
	return chunk, false, trace.Wrap(r.err, "engine.stream: engine %s run %s", s.engine.opts.ID, r.req.RunID)
}

// Close implements endpoint.Stream.
func (s *stream) Close() error {
	s.engine.endRun(s.run, context.Canceled)
	return nil
}
