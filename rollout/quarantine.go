package rollout

import (
	"errors"
	"fmt"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/quarantine"
)

var errQuarantined = errors.New("endpoints have ended under the sample")

// fingerprint identifies the sample's content to the quarantine: a sample that returns in a
// later step with the same id and parameters has the same fingerprint.
func (t *task) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(t.s.row.Name, t.req.ID, t.req.Prompt, fmt.Sprint(t.req.MaxTokens, t.req.Temperature, t.req.Seed))
}

// checkQuarantine refuses a sample whose content is quarantined, since endpoints have crashed
// under it; nil means that it may run. The refusal is final: the step continues without the
// sample and its other samples are not affected. There is no trial, since the step is over before
// one would be due.
func (t *task) checkQuarantine() *api.Refusal {
	state, _ := t.s.Quarantine.State(t.fingerprint(), quarantine.ItemLimit)
	if state == quarantine.Clear || state == quarantine.Suspect {
		return nil
	}
	t.s.Quarantine.CountRefused()
	return t.refusal(api.CodeQuarantined, errQuarantined, api.NotRunFalse)
}

// reportOutcome tells the quarantine whether the endpoint served an attempt or crashed during it.
func (t *task) reportOutcome(refusal *api.Refusal, took time.Duration) {
	switch {
	case refusal == nil:
		t.s.Quarantine.ReportServed(t.fingerprint())
	case refusal.EndpointCrashed:
		t.s.Quarantine.ReportCrashAtAgent(t.fingerprint(), refusal.Peer, took)
	}
}
