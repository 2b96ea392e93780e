package forward

import (
	"time"

	"mulberryscale.example/drain"
)

// admittedWhileStopping reports whether the request is accepted, as far as a stop of this process
// is concerned.
func (c *call) admittedWhileStopping() bool {
	if !c.Stop.Stopping() {
		return true
	}
	return c.Stop.Admits(drain.Request{
		Limit: time.Until(c.deadline), Expected: c.durations.longest(c.request.Route.Name), Repeatable: c.repeatable(),
	})
}

// stopRefusal returns the answer to a request that a stop of this process does not let end. The
// client need not wait before it asks another process.
func (c *call) stopRefusal() *Refusal {
	refusal := c.refusal(ReasonStopping, drain.ErrEnded)
	refusal.RetryAfter = 0
	return refusal
}
