// Package reward sends the calls that score the texts of batch items to the
// services that their routes name.
package reward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"mulberryscale.example/batch"
	"mulberryscale.example/fleet"
	"mulberryscale.example/forward"
)

// Caller is a batch.Rewarder. It is safe for concurrent use.
type Caller struct {
	View    *fleet.View
	Forward *forward.Forwarder
}

// Score implements batch.Rewarder: the call runs at one endpoint at most, so
// that each failure is known and counted by itself.
func (c *Caller) Score(ctx context.Context, ask batch.RewardAsk) (batch.RewardAnswer, error) {
	call := ask.Call
	config := c.View.Snapshot().Config
	if config == nil {
		return batch.RewardAnswer{}, fmt.Errorf("%w: no configuration yet", batch.ErrNotRun)
	}
	matched := config.Match(call.Host, call.Path)
	if matched == nil {
		return batch.RewardAnswer{}, fmt.Errorf("%w: no route for %s%s in configuration %d", batch.ErrNotRun, call.Host, call.Path, config.Version)
	}
	route := *matched
	route.MaxAttempts = 1
	answer, err := c.Forward.Do(ctx, &forward.Request{
		ID: call.ID, Route: &route, Method: http.MethodPost, Target: call.Path, Host: call.Host, Header: http.Header{},
		Body: call.Body, Deadline: time.Now().Add(min(ask.Left, route.Timeout)),
	})
	if err != nil {
		return batch.RewardAnswer{}, notAnswered(err)
	}
	return judge(answer, matched)
}

// notAnswered says whether a refused send can have run.
func notAnswered(err error) error {
	var refusal *forward.Refusal
	if errors.As(err, &refusal) && refusal.NotRun {
		return fmt.Errorf("%w: %w", batch.ErrNotRun, err)
	}
	return fmt.Errorf("%w: %w", batch.ErrBroken, err)
}

// judge says what an endpoint's answer means for the item. Of failures only 500
// says that the call itself failed there; others, such as 504 at the deadline
// handed on, say nothing of it.
func judge(answer *forward.Answer, route *fleet.Route) (batch.RewardAnswer, error) {
	out := batch.RewardAnswer{MaxAttempts: route.MaxAttempts}
	switch {
	case answer.Status == http.StatusInternalServerError:
		return out, fmt.Errorf("%w: status %d", batch.ErrFailed, answer.Status)
	case answer.Status < http.StatusOK || answer.Status >= http.StatusMultipleChoices:
		return out, fmt.Errorf("%w: status %d", batch.ErrBroken, answer.Status)
	case answer.Signature == "":
		return out, fmt.Errorf("%w: an answer without a signature", batch.ErrBroken)
	}
	out.Score = answer.Signature
	return out, nil
}
