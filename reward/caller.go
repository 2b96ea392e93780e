// Package reward sends the calls that score the texts of batch items to the
// services that their routes name.
package reward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"mulberryscale.example/background"
	"mulberryscale.example/batch"
	"mulberryscale.example/fleet"
	"mulberryscale.example/forward"
	"mulberryscale.example/observe"
)

// Caller is a batch.RewardClient. It is safe for concurrent use.
type Caller struct {
	View    *fleet.View
	Forward *forward.Forwarder
	// Service is the one whose agents send reward calls, this process among them.
	Service string

	mu    sync.Mutex
	gates map[string]*background.Gate // by the service that scores
}

// gate is the one before a service.
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

// share is what is known of a service that scores.
func (c *Caller) share(service string) background.ServiceCapacity {
	snap := c.View.Snapshot()
	s := background.ServiceCapacity{Senders: len(snap.OfService(c.Service))}
	for _, i := range snap.OfService(service) {
		s.Slots += i.Slots
	}
	return s
}

// maxSends is how many endpoints may work at a call at once: the second is asked
// when the first has not answered for longer than most calls take, since it may
// be slow, or its answer lost.
const maxSends = 2

// Score implements batch.RewardClient.
func (c *Caller) Score(ctx context.Context, ask batch.RewardRequest) (batch.RewardResponse, error) {
	call := ask.Call
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
	service := route.Backend(call.ID)
	gate := c.gate(service)
	asked := time.Now()
	if err := gate.Enter(ctx, ask.QueueTime, c.share(service)); err != nil {
		return batch.RewardResponse{}, fmt.Errorf("%w: %w", batch.ErrNotRun, err)
	}
	c.Forward.Counters.Observe(observe.NameRewardWait, route.Name, time.Since(asked))
	answer, err := c.Forward.Do(ctx, &forward.Request{
		ID: call.ID, Route: &route, Method: http.MethodPost, Target: call.Path, Host: call.Host, Header: http.Header{},
		Body: call.Body, Deadline: time.Now().Add(min(ask.TimeLeft, route.Timeout)),
	})
	gate.Leave(c.share(service), func(w *background.Window, now time.Time) {
		switch {
		case isDeclined(err):
			w.Declined(now)
		case err == nil && answer.Load != nil:
			w.ObserveLoad(*answer.Load, now)
		}
	})
	if err != nil {
		return notAnswered(err, matched)
	}
	return judge(answer, matched)
}

// isDeclined reports whether endpoints had no room.
func isDeclined(err error) bool {
	var refusal *forward.Refusal
	return errors.As(err, &refusal) && refusal.Reason == forward.ReasonDeclined
}

// notAnswered says what a call came to that no endpoint answered, or none but
// with failures.
func notAnswered(err error, route *fleet.Route) (batch.RewardResponse, error) {
	var refusal *forward.Refusal
	switch {
	case errors.As(err, &refusal) && refusal.NotRun:
		return batch.RewardResponse{}, fmt.Errorf("%w: %w", batch.ErrNotRun, err)
	case refusal != nil && refusal.Failures > 0:
		return batch.RewardResponse{Failures: refusal.Failures, MaxAttempts: route.MaxAttempts}, fmt.Errorf("%w: %w", batch.ErrFailed, err)
	}
	return batch.RewardResponse{}, fmt.Errorf("%w: %w", batch.ErrBroken, err)
}

// judge says what an endpoint's answer means for the item. Of failures only 500
// says that the call itself failed there; others, such as 504 at the deadline
// handed on, say nothing of it.
func judge(answer *forward.Answer, route *fleet.Route) (batch.RewardResponse, error) {
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
