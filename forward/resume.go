package forward

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Resume continues a stream that broke off, at another endpoint after the last event that the
// client has received. What is left of the request's limit bounds it. If its error is a *Refusal,
// that never says that the request has not run.
func (f *Forwarder) Resume(ctx context.Context, r *Request, lastEventID string) (Events, error) {
	r.noteArrival(time.Now())
	if time.Until(r.limit()) <= answerSlack {
		return nil, &Refusal{Reason: ReasonTimeout}
	}
	if !r.Route.Resumable {
		return nil, fmt.Errorf("forward: route %s is not resumable", r.Route.Name)
	}
	resumed := *r
	resumed.LastEventID = lastEventID
	defer func() { r.Reached = resumed.Reached }()
	for resumed.Reached < r.Route.MaxAttempts {
		restore, ok := f.takeResumed(&resumed)
		if !ok {
			return nil, errBudget
		}
		answer, err := f.Do(ctx, &resumed)
		var refusal *Refusal
		if errors.As(err, &refusal) && refusal.NotRun {
			restore()
			refusal.NotRun = false // the stream ran before it broke off
		}
		if err != nil {
			return nil, err
		}
		if answer.Stream != nil {
			f.Counters.Retry(r.Route.Name, ReasonBroken)
			return answer.Stream, nil
		}
		answer.Release() // nobody writes it
	}
	return nil, fmt.Errorf("forward: no endpoint goes on with the stream of route %s", r.Route.Name)
}

// errBudget is returned for a stream that is not resumed because of the budget for second sends.
var errBudget = errors.New("forward: budget for second sends used up")

// takeResumed reports whether a stream may be resumed. restore gives the send back if it is not
// made.
func (f *Forwarder) takeResumed(r *Request) (restore func(), ok bool) {
	gate := f.Gates.of(f.serviceOf(r))
	if gate == nil {
		return func() {}, true
	}
	return gate.takeSecondSend(reasonResumed, false, f.Counters)
}
