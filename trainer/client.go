package trainer

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/api"
	"mulberryscale.example/generation"
	"mulberryscale.example/retry"
)

// Defaults of Config.
const (
	DefaultIdleTimeout = 5 * time.Second
	firstDelay         = 50 * time.Millisecond
	mostDelay          = 2 * time.Second
	confirmTimeout     = 2 * time.Second
)

// Config holds a client's settings.
type Config struct {
	// Row is the trainer's row of the table.
	Row string
	// Entries are base URLs of entry instances, or of the balancer before them.
	Entries []string
	// HTTP makes the calls; nil means a client without an overall timeout.
	HTTP *http.Client
	// IdleTimeout is how long a step's answer may be silent before another
	// entry is asked. Entries show that they live every second.
	IdleTimeout time.Duration
	// StalenessBound is how many versions older than the trainer's own a
	// sample may be, checked once more on receipt.
	StalenessBound uint64
}

// Step is one step of a trainer.
type Step struct {
	// Name is unique for each step of the row.
	Name string
	// Version is the trainer's own weight version.
	Version uint64
	// Samples are the step's new samples; those carried over are added.
	Samples []api.SampleRequest
	// WaitFor is how many samples to wait for, 0 for the row's share.
	WaitFor int
}

// Result is what a step ended with.
type Result struct {
	Delivered int
	// CarriedOver are ids that the next step asks for again.
	CarriedOver []string
	// Cancelled are ids that the row's leftover policy gave up.
	Cancelled []string
	// Refused are samples that were refused for good.
	Refused []api.Undelivered
	// Sessions is how many connections the step took.
	Sessions int
	// Dropped counts samples that came again, or too old, and were dropped.
	Dropped int
}

// Deliver takes in a sample; it is called once for each sample, by one goroutine.
type Deliver func(api.Sample) error

// Client is a trainer's client. RunStep may be called by one goroutine at a time.
type Client struct {
	cfg     Config
	next    int // entry to ask next
	session uint64
	// held are the ids received since the last step that came to its end, and
	// heldBefore those of that step, so that a step that names one of them again
	// does not get it twice.
	held       map[string]bool
	heldBefore map[string]bool
	// carried are samples that a step ended without, by id.
	carried map[string]api.SampleRequest
	hints   map[string]string
	mu      sync.Mutex
}

// New returns a client, or an error for settings that cannot work.
func New(cfg Config) (*Client, error) {
	if cfg.Row == "" {
		return nil, trace.BadParameter("trainer: Row is required")
	}
	if len(cfg.Entries) == 0 {
		return nil, trace.BadParameter("trainer: Entries must name at least one entry instance")
	}
	for _, entry := range cfg.Entries {
		u, err := url.Parse(entry)
		if err != nil || u.Host == "" {
			return nil, trace.BadParameter("trainer: entry %q is not a URL with a host", entry)
		}
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{}
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	return &Client{
		cfg: cfg, held: map[string]bool{}, heldBefore: map[string]bool{}, carried: map[string]api.SampleRequest{}, hints: map[string]string{},
		// A trainer that restarts begins with a higher session than it had before.
		session: uint64(time.Now().UnixNano()),
	}, nil
}

// RunStep runs a step and gives each of its samples to deliver, once. It goes
// on through broken connections until the step has ended or ctx ends. An error
// of deliver ends it.
func (c *Client) RunStep(ctx context.Context, step Step, deliver Deliver) (*Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.newRun(step, deliver)
	delays := retry.NewBackoff(firstDelay, mostDelay)
	for {
		s.result.Sessions++
		end, err := s.session(ctx)
		if err == nil {
			return s.finish(ctx, end), nil
		}
		if s.fatal(ctx, err) {
			return s.result, trace.Wrap(err, "step %v of row %v", step.Name, c.cfg.Row)
		}
		if s.progressed {
			delays.Reset()
		}
		c.next++
		wait := max(delays.NextBackOff(), retryAfter(err))
		select {
		case <-ctx.Done():
			return s.result, trace.Wrap(ctx.Err(), "step %v of row %v", step.Name, c.cfg.Row)
		case <-time.After(wait):
		}
	}
}

// stepRun is one step in progress.
type stepRun struct {
	c       *Client
	step    Step
	deliver Deliver
	wanted  map[string]api.SampleRequest
	order   []string
	waitFor int
	result  *Result
	// progressed says whether the last session brought a sample.
	progressed bool
	// failure is deliver's error.
	failure error
}

func (c *Client) newRun(step Step, deliver Deliver) *stepRun {
	s := &stepRun{
		c: c, step: step, deliver: deliver, wanted: map[string]api.SampleRequest{},
		waitFor: step.WaitFor, result: &Result{},
	}
	for id, sample := range c.carried {
		s.want(id, sample)
	}
	for _, sample := range step.Samples {
		s.want(sample.ID, sample)
	}
	return s
}

func (s *stepRun) want(id string, sample api.SampleRequest) {
	if _, twice := s.wanted[id]; twice || s.c.held[id] || s.c.heldBefore[id] {
		return
	}
	s.wanted[id] = sample
	s.order = append(s.order, id)
}

// request asks for the samples not held yet.
func (s *stepRun) request() *api.StepRequest {
	s.c.session++
	req := &api.StepRequest{Session: s.c.session, Version: s.step.Version, Hints: map[string]string{}}
	for _, id := range s.order {
		sample, wanted := s.wanted[id]
		if !wanted {
			continue
		}
		req.Samples = append(req.Samples, sample)
		if hint, ok := s.c.hints[id]; ok {
			req.Hints[id] = hint
		}
	}
	req.Held = s.result.Delivered
	req.WaitFor = s.waitFor
	return req
}

// take gives a sample to the trainer unless it came before or is too old.
func (s *stepRun) take(sample api.Sample) error {
	oldest := generation.OldestAllowed(s.step.Version, s.c.cfg.StalenessBound)
	_, wanted := s.wanted[sample.ID]
	if !wanted || !generation.Fresh(sample.Versions, oldest) {
		s.result.Dropped++
		return nil
	}
	if err := s.deliver(sample); err != nil {
		s.failure = err
		return err
	}
	delete(s.wanted, sample.ID)
	s.c.held[sample.ID] = true
	s.result.Delivered++
	s.progressed = true
	return nil
}

// fatal says whether a session's error ends the step.
func (s *stepRun) fatal(ctx context.Context, err error) bool {
	if ctx.Err() != nil || s.failure != nil {
		return true
	}
	var r *api.Refusal
	if !errors.As(err, &r) {
		return false
	}
	switch r.Code {
	case api.CodeBadRequest, api.CodeUnknownRow, api.CodeTooLarge, api.CodeUnauthorized, api.CodeDeadline:
		return true
	}
	return false
}

// retryAfter is what a refusal asks for, else 0.
func retryAfter(err error) time.Duration {
	var r *api.Refusal
	if errors.As(err, &r) {
		return r.RetryAfter
	}
	return 0
}

// finish settles what the step ended without and confirms what it holds.
func (s *stepRun) finish(ctx context.Context, end *api.StepEnd) *Result {
	clear(s.c.carried)
	for _, u := range end.Undelivered {
		sample, wanted := s.wanted[u.ID]
		switch {
		case !wanted:
		case u.Reason != nil:
			s.result.Refused = append(s.result.Refused, u)
		case u.CarriedOver:
			s.c.carried[u.ID] = sample
			s.result.CarriedOver = append(s.result.CarriedOver, u.ID)
		default:
			s.result.Cancelled = append(s.result.Cancelled, u.ID)
		}
	}
	s.confirm(ctx)
	s.dropHints()
	s.c.held, s.c.heldBefore = map[string]bool{}, s.c.held
	return s.result
}

// dropHints forgets where samples ran that the next step does not ask for.
func (s *stepRun) dropHints() {
	maps.DeleteFunc(s.c.hints, func(id, _ string) bool {
		_, carried := s.c.carried[id]
		return !carried
	})
}
