package forward

import (
	"context"
	"fmt"
	"time"
)

// Resume goes on with a stream that broke off, at another endpoint after the
// last event that the client has.
func (f *Forwarder) Resume(ctx context.Context, r *Request, lastEvent string) (Events, error) {
	if !r.Route.Resumable {
		return nil, fmt.Errorf("forward: route %s is not resumable", r.Route.Name)
	}
	again := *r
	again.LastEventID = lastEvent
	defer func() { r.Reached = again.Reached }()
	for again.Reached < r.Route.MaxAttempts {
		if !r.Deadline.IsZero() && time.Until(r.Deadline) <= answerSlack {
			return nil, errTimeout
		}
		answer, err := f.Do(ctx, &again)
		if err != nil {
			return nil, err
		}
		if answer.Stream != nil {
			f.Counters.Retry(r.Route.Name, ReasonBroken)
			return answer.Stream, nil
		}
	}
	return nil, fmt.Errorf("forward: no endpoint goes on with the stream of route %s", r.Route.Name)
}
