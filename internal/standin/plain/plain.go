// Package plain is a stand-in for a plain service, whose calls are not idempotent and must not
// be retried once they may have run. It records every execution.
package plain

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/standin/fault"
)

// HeaderRequest is the header with the caller's own identifier of a request, which is kept in
// the records.
const HeaderRequest = "X-Request"

// ErrConnection means that the connection broke; the call may have run.
var ErrConnection = errors.New("connection broken")

// Options configure a service.
type Options struct {
	ID string
	// Answer returns the response to a call; nil means Echo.
	Answer func(endpoint.ServiceRequest) endpoint.ServiceResponse
	// Delay is the time from a call's execution to its response.
	Delay time.Duration
}

// Record describes the execution of one call.
type Record struct {
	Request string    `json:"request"` // value of HeaderRequest
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	Body    string    `json:"body"`
	At      time.Time `json:"at"`
}

// Service is the stand-in. It implements endpoint.Service.
type Service struct {
	opts Options

	mu          sync.Mutex
	crashed     chan struct{} // closed and replaced at each crash
	refuse      bool
	failBefore  int
	loseReplies int
	delay       time.Duration
	records     []Record
}

var _ endpoint.Service = (*Service)(nil)

// New returns a service.
func New(o Options) *Service {
	if o.Answer == nil {
		o.Answer = Echo
	}
	return &Service{opts: o, delay: o.Delay, crashed: make(chan struct{})}
}

// EchoAnswer is the body of a response by Echo.
type EchoAnswer struct {
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// Echo answers a call with the call itself, as JSON.
func Echo(req endpoint.ServiceRequest) endpoint.ServiceResponse {
	return JSON(http.StatusOK, EchoAnswer{
		Request: req.Header.Get(HeaderRequest), Method: req.Method, Path: req.Path, Body: string(req.Body),
	})
}

// JSON returns a response with the given status and v as its JSON body.
func JSON(status int, v any) endpoint.ServiceResponse {
	body, err := json.Marshal(v)
	if err != nil {
		return endpoint.ServiceResponse{Status: http.StatusInternalServerError, Body: []byte(err.Error())}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return endpoint.ServiceResponse{Status: status, Header: header, Body: body}
}

// Call implements endpoint.Service.
func (s *Service) Call(ctx context.Context, req endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
	e, err := s.execute(req)
	if err != nil {
		return endpoint.ServiceResponse{}, trace.Wrap(err, "service.call: service %s", s.opts.ID)
	}
	if err := e.wait(ctx); err != nil {
		return endpoint.ServiceResponse{}, trace.Wrap(err, "service.call: service %s", s.opts.ID)
	}
	return s.opts.Answer(req), nil
}

// execution is a call that has run and whose response is not sent yet.
type execution struct {
	delay   time.Duration
	lost    bool
	crashed <-chan struct{}
}

// execute records a call, unless a fault makes it fail before it runs.
func (s *Service) execute(req endpoint.ServiceRequest) (execution, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		return execution{}, &endpoint.NotStartedError{Err: ErrConnection}
	}
	if s.failBefore > 0 {
		s.failBefore--
		return execution{}, ErrConnection
	}
	s.records = append(s.records, Record{
		Request: req.Header.Get(HeaderRequest), Method: req.Method, Path: req.Path, Body: string(req.Body), At: time.Now(),
	})
	e := execution{delay: s.delay, crashed: s.crashed}
	if s.loseReplies > 0 {
		s.loseReplies--
		e.lost = true
	}
	return e, nil
}

// wait waits until the response is due. It returns ErrConnection if the service crashes before
// or the reply is lost.
func (e execution) wait(ctx context.Context) error {
	timer := time.NewTimer(e.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.crashed:
		return ErrConnection
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if e.lost {
		return ErrConnection
	}
	return nil
}

// Records returns all executions in order.
func (s *Service) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// Crash breaks the connections of all calls that wait for their response.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.crashed)
	s.crashed = make(chan struct{})
}

// Delay sets the time from a call's execution to its response.
func (s *Service) Delay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// FailNextBeforeRun breaks the connections of the next n calls before they run.
func (s *Service) FailNextBeforeRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failBefore = n
}

// LoseNextReplies breaks the connections of the next n calls after they have run.
func (s *Service) LoseNextReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseReplies = n
}

// RefuseConnections switches the refusal of new calls on or off.
func (s *Service) RefuseConnections(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = on
}

// Apply applies a posted fault.
func (s *Service) Apply(f fault.Fault) error {
	switch f.Kind {
	case fault.Crash:
		s.Crash()
	case fault.Slow:
		s.Delay(time.Duration(f.Duration))
	case fault.FailBeforeRun:
		s.FailNextBeforeRun(f.Count)
	case fault.LoseReplies:
		s.LoseNextReplies(f.Count)
	case fault.Refuse:
		s.RefuseConnections(f.On)
	default:
		return fault.Unknown(f.Kind)
	}
	return nil
}
