package entry

import (
	"context"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/fleet"
	"mulberryscale.example/quarantine"
	"mulberryscale.example/wire"
)

// admitContent refuses a call under whose content endpoints have ended, at once, so
// that all endpoints of its row do not end under it.
func (e *Entry) admitContent(ctx context.Context, c *call) *api.Refusal {
	verdict, wait := e.quarantine.Admit(ctx, c.subject, quarantine.RequestLimit)
	if verdict != quarantine.Quarantined {
		return nil
	}
	e.quarantine.CountRefused()
	return e.refusal(api.CodeQuarantined, "endpoints have ended under this request", StepRoute, wait)
}

// mayEndAnother reports whether a call that failed may go to one more endpoint.
func (e *Entry) mayEndAnother(c *call) bool {
	verdict, _ := e.quarantine.State(c.subject, quarantine.RequestLimit)
	return verdict == quarantine.Clear || verdict == quarantine.Suspect
}

// noteEnd tells the quarantine what an attempt did to the endpoint beside an agent.
func (e *Entry) noteEnd(c *call, agent string, refusal *api.Refusal, took time.Duration) {
	switch {
	case refusal == nil:
		e.quarantine.ReportServed(c.subject)
	case refusal.EndpointCrashed:
		e.quarantine.ReportCrashAtAgent(c.subject, agent, took)
	}
}

// contentNews is what the quarantine tells other entries.
func (e *Entry) contentNews() (list []wire.ContentEvent) {
	for _, n := range e.quarantine.RecentEvents() {
		list = append(list, wire.ContentEvent{
			Content: string(n.Fingerprint), Kind: int(n.Kind), Agent: n.Endpoint.ID, CrashedAt: n.Endpoint.StartedAt,
			Took: n.Took, Trial: n.Trial, Age: n.Age,
		})
	}
	return list
}

// hearContents takes in what another entry tells.
func (e *Entry) hearContents(list []wire.ContentEvent) {
	heard := make([]quarantine.GossipEvent, 0, len(list))
	for _, n := range list {
		heard = append(heard, quarantine.GossipEvent{
			Fingerprint: quarantine.Fingerprint(n.Content), Kind: quarantine.GossipKind(n.Kind),
			Endpoint: fleet.Incarnation{ID: n.Agent, StartedAt: n.CrashedAt}, Took: n.Took, Trial: n.Trial, Age: n.Age,
		})
	}
	e.quarantine.MergeEvents(heard)
}
