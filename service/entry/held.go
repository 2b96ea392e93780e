package entry

import (
	"context"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/quarantine"
)

// admitContent refuses a call under whose content endpoints have ended, at once, so
// that all endpoints of its row do not end under it.
func (e *Entry) admitContent(ctx context.Context, c *call) *api.Refusal {
	verdict, wait := e.quarantine.Admit(ctx, c.subject, quarantine.RequestLimit)
	if verdict != quarantine.Held {
		return nil
	}
	e.quarantine.Refused()
	return e.refusal(api.CodeHeld, "endpoints have ended under this request", StepRoute, wait)
}

// mayEndAnother reports whether a call that failed may go to one more endpoint.
func (e *Entry) mayEndAnother(c *call) bool {
	verdict, _ := e.quarantine.Judge(c.subject, quarantine.RequestLimit)
	return verdict == quarantine.Clear || verdict == quarantine.Suspect
}

// noteEnd tells the quarantine what an attempt did to the endpoint beside an agent.
func (e *Entry) noteEnd(c *call, agent string, refusal *api.Refusal, took time.Duration) {
	switch {
	case refusal == nil:
		e.quarantine.Served(c.subject)
	case refusal.EndpointEnded:
		e.quarantine.EndedBeside(c.subject, agent, took)
	}
}
