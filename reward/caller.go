// Package reward sends reward calls, which score the texts of batch items, to the
// services that their routes name.
package reward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/background"
	"mulberryscale.example/batch"
	"mulberryscale.example/fleet"
	"mulberryscale.example/forward"
	"mulberryscale.example/observe"
	"mulberryscale.example/quarantine"
)

// Caller implements batch.RewardClient. It is safe for concurrent use.
type Caller struct {
	View    *fleet.View
	Forward *forward.Forwarder
	// Service is the service whose agents send reward calls, this process among them.
	Service string

	mu    sync.Mutex
	gates map[string]*background.Gate // by scoring service
}

// NewCaller returns a caller that sends through the given sender. Reward calls are part of their items, which are
// owed, so they are never quarantined.
func NewCaller(view *fleet.View, sender Sender, zone, service string, log logrus.FieldLogger, counters *observe.Counters) *Caller {
	f := forward.New(view, sender, zone, log, counters)
	f.Quarantine = quarantine.Disabled(sender, log, counters)
	return &Caller{View: view, Forward: f, Service: service}
}

// Sender sends reward calls to endpoints and checks whether these have crashed.
type Sender interface {
	forward.Sender
	quarantine.Prober
}

// gate returns the gate for calls to a scoring service, creating it if needed.
func (c *Caller) gate(service string) *background.Gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gates == nil {
		c.gates = map[string]*background.Gate{}
	}
	if c.gates[service] == nil {
		c.gates[service] = &background.Gate{}
	}
	return c.gates[service]
}

// capacity returns the slots of a scoring service and the number of its senders.
func (c *Caller) capacity(service string) background.ServiceCapacity {
	snap := c.View.Snapshot()
	s := background.ServiceCapacity{Senders: len(snap.OfService(c.Service))}
	for _, i := range snap.OfService(service) {
		s.Slots += i.Slots
	}
	return s
}

// maxSends bounds the endpoints that work on one call at the same time. A second one is
// asked (a hedge) when the first has not answered for longer than most calls take: it may
// be slow, or its answer may be lost.
const maxSends = 2

// Score implements batch.RewardClient.
func (c *Caller) Score(ctx context.Context, request batch.RewardRequest) (batch.RewardResponse, error) {
	call := request.Call
	config := c.View.Snapshot().Config
	if config == nil {
		return batch.RewardResponse{}, fmt.Errorf("%w: no configuration yet", batch.ErrNotRun)
	}
	matched := config.Match(call.Host, call.Path)
	if matched == nil {
		return batch.RewardResponse{}, fmt.Errorf("%w: no route for %s%s in configuration %d", batch.ErrNotRun, call.Host, call.Path, config.Version)
	}
	route := *matched
	route.MaxAttempts = min(maxSends, matched.MaxAttempts)
	service := c.Forward.ServiceOf(&route, call.ID)
	gate := c.gate(service)
	queuedAt := time.Now()
	if err := gate.Enter(ctx, request.QueueTime, c.capacity(service)); err != nil {
		return batch.RewardResponse{}, fmt.Errorf("%w: %w", batch.ErrNotRun, err)
	}
	c.Forward.Counters.Observe(observe.NameRewardWait, route.Name, time.Since(queuedAt))
	answer, err := c.Forward.Do(ctx, &forward.Request{
		ID: call.ID, Route: &route, Method: http.MethodPost, Target: call.Path, Host: call.Host, Header: http.Header{},
		Body: call.Body, Deadline: request.Expires,
	})
	gate.Leave(c.capacity(service), func(w *background.Window, now time.Time) {
		switch {
		case isDeclined(err):
			w.Declined(now)
		case err == nil && answer.Load != nil:
			w.ObserveLoad(*answer.Load, now)
		}
	})
	if err != nil {
		return classifyError(err, matched)
	}
	return classifyAnswer(answer, matched)
}

// isDeclined reports whether a call failed because endpoints had no free slot.
func isDeclined(err error) bool {
	var refusal *forward.Refusal
	return errors.As(err, &refusal) && refusal.Reason == forward.ReasonDeclined
}

// classifyError returns the result of a call that no endpoint answered, or that every
// answering endpoint failed.
func classifyError(err error, route *fleet.Route) (batch.RewardResponse, error) {
	var refusal *forward.Refusal
	switch {
	case errors.As(err, &refusal) && refusal.NotRun:
		return batch.RewardResponse{}, fmt.Errorf("%w: %w", batch.ErrNotRun, err)
	case refusal != nil && refusal.Failures > 0:
		return batch.RewardResponse{Failures: refusal.Failures, MaxAttempts: route.MaxAttempts}, fmt.Errorf("%w: %w", batch.ErrFailed, err)
	}
	return batch.RewardResponse{}, fmt.Errorf("%w: %w", batch.ErrBroken, err)
}

// classifyAnswer returns the result of an endpoint's answer. Of the error statuses, only
// 500 means that the call itself failed at the endpoint; others, such as 504 at the
// deadline passed on, do not.
func classifyAnswer(answer *forward.Answer, route *fleet.Route) (batch.RewardResponse, error) {
	out := batch.RewardResponse{MaxAttempts: route.MaxAttempts, Failures: answer.Failures}
	switch {
	case answer.Status >= http.StatusInternalServerError && answer.Failures > 0:
		return out, fmt.Errorf("%w: status %d", batch.ErrFailed, answer.Status)
	case answer.Status < http.StatusOK || answer.Status >= http.StatusMultipleChoices:
		return out, fmt.Errorf("%w: status %d", batch.ErrBroken, answer.Status)
	case answer.Signature == "":
		return out, fmt.Errorf("%w: an answer without a signature", batch.ErrBroken)
	}
	out.Score = answer.Signature
	return out, nil
}
