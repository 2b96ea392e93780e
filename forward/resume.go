package forward

import (
	"context"
	"fmt"
	"time"
)

// Resume continues a stream that broke off, at another endpoint after the last event that the
// client has received.
func (f *Forwarder) Resume(ctx context.Context, r *Request, lastEventID string) (Events, error) {
	if !r.Route.Resumable {
		return nil, fmt.Errorf("forward: route %s is not resumable", r.Route.Name)
	}
	resumed := *r
	resumed.LastEventID = lastEventID
	defer func() { r.Reached = resumed.Reached }()
	for resumed.Reached < r.Route.MaxAttempts {
		if !r.Deadline.IsZero() && time.Until(r.Deadline) <= answerSlack {
			return nil, errTimeout
		}
		answer, err := f.Do(ctx, &resumed)
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
