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
	initialDelay       = 50 * time.Millisecond
	maxDelay           = 2 * time.Second
	confirmTimeout     = 2 * time.Second
)

// Config holds a client's settings.
type Config struct {
	// Row is the name of the trainer's row in the table.
	Row string
	// Entries are base URLs of entry instances, or of a load balancer in front of them.
	Entries []string
	// HTTP makes the calls; nil means a client without an overall timeout.
	HTTP *http.Client
	// IdleTimeout is how long no data may arrive on a step's answer before the client
	// connects to another entry. Entries send a heartbeat every second.
	IdleTimeout time.Duration
	// StalenessBound is how many versions older than the trainer's own version a
	// sample may be. The client checks it once more on receipt.
	StalenessBound uint64
}

// Step is one step of a trainer.
type Step struct {
	// Name is unique among the steps of the row.
	Name string
	// Version is the trainer's own weight version.
	Version uint64
	// Samples are the step's new samples; RunStep adds those carried over.
	Samples []api.SampleRequest
	// WaitFor is the number of samples to wait for, 0 for the row's share.
	WaitFor int
}

// Result is the outcome of a step.
type Result struct {
	Delivered int
	// CarriedOver are the ids of samples that the next step asks for again.
	CarriedOver []string
	// Cancelled are the ids of samples that the row's leftover policy cancelled.
	Cancelled []string
	// Refused are the samples that were refused and are not retried.
	Refused []api.Undelivered
	// Sessions is the number of connections that the step used.
	Sessions int
	// Dropped counts the samples that the client dropped as duplicates, unknown or too old.
	Dropped int
}

// Deliver processes a sample. It is called once for each sample, by one goroutine.
type Deliver func(api.Sample) error

// Client is a trainer's client. RunStep may be called by one goroutine at a time.
type Client struct {
	cfg       Config
	nextEntry int // the entry to use, modulo len(cfg.Entries)
	session   uint64
	// received are the ids received since the last step that completed, and
	// receivedBefore those received in that step, so that a step that names one of
	// them again does not get it twice.
	received       map[string]bool
	receivedBefore map[string]bool
	// carried are the samples that the last step carried over, by id.
	carried map[string]api.SampleRequest
	hints   map[string]string
	mu      sync.Mutex
}

// New returns a client, or an error if the settings are invalid.
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
		cfg: cfg, received: map[string]bool{}, receivedBefore: map[string]bool{}, carried: map[string]api.SampleRequest{}, hints: map[string]string{},
		// The clock gives a restarted trainer a higher session than it had before.
		session: uint64(time.Now().UnixNano()),
	}, nil
}

// RunStep runs a step and calls deliver once for each of its samples. It
// reconnects after broken connections until the step is complete or ctx is done.
// It returns an error at once if deliver does, or if a refusal rules out a retry.
func (c *Client) RunStep(ctx context.Context, step Step, deliver Deliver) (*Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.newStepRun(step, deliver)
	delays := retry.NewBackoff(initialDelay, maxDelay)
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
		c.nextEntry++
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
	pending map[string]api.SampleRequest
	order   []string
	waitFor int
	result  *Result
	// progressed is true when the last session delivered a sample.
	progressed bool
	// deliverErr is the error that deliver returned.
	deliverErr error
}

func (c *Client) newStepRun(step Step, deliver Deliver) *stepRun {
	s := &stepRun{
		c: c, step: step, deliver: deliver, pending: map[string]api.SampleRequest{},
		waitFor: step.WaitFor, result: &Result{},
	}
	for id, sample := range c.carried {
		s.add(id, sample)
	}
	for _, sample := range step.Samples {
		s.add(sample.ID, sample)
	}
	return s
}

func (s *stepRun) add(id string, sample api.SampleRequest) {
	if _, twice := s.pending[id]; twice || s.c.received[id] || s.c.receivedBefore[id] {
		return
	}
	s.pending[id] = sample
	s.order = append(s.order, id)
}

// request returns a request for the samples not received yet, with a new session.
func (s *stepRun) request() *api.StepRequest {
	s.c.session++
	req := &api.StepRequest{Session: s.c.session, Version: s.step.Version, Hints: map[string]string{}}
	for _, id := range s.order {
		sample, isPending := s.pending[id]
		if !isPending {
			continue
		}
		req.Samples = append(req.Samples, sample)
		if hint, ok := s.c.hints[id]; ok {
			req.Hints[id] = hint
		}
	}
	req.Received = s.result.Delivered
	req.WaitFor = s.waitFor
	return req
}

// receive passes a sample to deliver unless it is a duplicate, unknown or too old.
func (s *stepRun) receive(sample api.Sample) error {
	oldest := generation.OldestAllowed(s.step.Version, s.c.cfg.StalenessBound)
	_, isPending := s.pending[sample.ID]
	if !isPending || !generation.Fresh(sample.Versions, oldest) {
		s.result.Dropped++
		return nil
	}
	if err := s.deliver(sample); err != nil {
		s.deliverErr = err
		return err
	}
	delete(s.pending, sample.ID)
	s.c.received[sample.ID] = true
	s.result.Delivered++
	s.progressed = true
	return nil
}

// fatal reports whether a session's error ends the step instead of being retried.
func (s *stepRun) fatal(ctx context.Context, err error) bool {
	if ctx.Err() != nil || s.deliverErr != nil {
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

// retryAfter returns the wait that a refusal asks for, otherwise 0.
func retryAfter(err error) time.Duration {
	var r *api.Refusal
	if errors.As(err, &r) {
		return r.RetryAfter
	}
	return 0
}

// finish sorts the undelivered samples into carried over, cancelled and refused ones
// and confirms the received ones.
func (s *stepRun) finish(ctx context.Context, end *api.StepEnd) *Result {
	clear(s.c.carried)
	for _, u := range end.Undelivered {
		sample, isPending := s.pending[u.ID]
		switch {
		case !isPending:
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
	s.c.received, s.c.receivedBefore = map[string]bool{}, s.c.received
	return s.result
}

// dropHints deletes the placement hints of samples that the next step does not ask for.
func (s *stepRun) dropHints() {
	maps.DeleteFunc(s.c.hints, func(id, _ string) bool {
		_, carried := s.c.carried[id]
		return !carried
	})
}
