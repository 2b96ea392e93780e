package rollout

import (
	"errors"
	"fmt"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/quarantine"
)

var errHeld = errors.New("endpoints have ended under the sample")

// subject names the sample's content; one that comes again in a later step under its
// id is the same.
func (t *task) subject() quarantine.Fingerprint {
	return quarantine.FingerprintOf(t.s.row.Name, t.req.ID, t.req.Prompt, fmt.Sprint(t.req.MaxTokens, t.req.Temperature, t.req.Seed))
}

// held refuses a sample under which endpoints have ended, for good: its step goes on
// without it, and the samples beside it run on. Its step is over before a trial would be due.
func (t *task) held() *api.Refusal {
	verdict, _ := t.s.Quarantine.State(t.subject(), quarantine.ItemLimit)
	if verdict == quarantine.Clear || verdict == quarantine.Suspect {
		return nil
	}
	t.s.Quarantine.CountRefused()
	return t.refusal(api.CodeHeld, errHeld, api.NotRunFalse)
}

// noteEnd tells the quarantine what an attempt did to its endpoint.
func (t *task) noteEnd(refusal *api.Refusal, took time.Duration) {
	switch {
	case refusal == nil:
		t.s.Quarantine.ReportServed(t.subject())
	case refusal.EndpointEnded:
		t.s.Quarantine.ReportCrashAtAgent(t.subject(), refusal.Peer, took)
	}
}
