package entry

import (
	"context"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/fleet"
	"mulberryscale.example/quarantine"
	"mulberryscale.example/wire"
)

// quarantineRefusal returns a refusal if the call's content is quarantined because
// endpoints crashed while running it, so that it does not crash all endpoints of its row.
func (e *Entry) quarantineRefusal(ctx context.Context, c *call) *api.Refusal {
	state, wait := e.quarantine.Admit(ctx, c.fingerprint)
	if state != quarantine.Quarantined {
		return nil
	}
	e.quarantine.CountRefused()
	return e.refusal(api.CodeQuarantined, "endpoints have ended under this request", StepRoute, wait)
}

// mayTryAnother reports whether the quarantine allows to send a failed call to one more
// endpoint.
func (e *Entry) mayTryAnother(c *call) bool {
	state, _ := e.quarantine.State(c.fingerprint)
	return state == quarantine.Clear || state == quarantine.Suspect
}

// reportOutcome reports to the quarantine whether an attempt was served or crashed the
// endpoint beside an agent.
func (e *Entry) reportOutcome(c *call, agent string, refusal *api.Refusal, took time.Duration) {
	switch {
	case refusal == nil:
		e.quarantine.ReportServed(c.fingerprint)
	case refusal.EndpointCrashed:
		e.quarantine.ReportCrashAtAgent(c.fingerprint, agent, took)
	}
}

// quarantineEvents returns the recent quarantine events, for gossip with other entries.
// For a crash beside an agent, the StartedAt of its endpoint is the time of the crash; see
// quarantine.Tracker.ReportCrashAtAgent.
func (e *Entry) quarantineEvents() (list []wire.ContentEvent) {
	for _, n := range e.quarantine.RecentEvents() {
		list = append(list, wire.ContentEvent{
			Content: string(n.Fingerprint), Kind: int(n.Kind), Agent: n.Endpoint.ID, CrashedAt: n.Endpoint.StartedAt,
			Took: n.Took, Trial: n.Trial, Age: n.Age,
		})
	}
	return list
}

// mergeQuarantineEvents adds the quarantine events from another entry's gossip.
func (e *Entry) mergeQuarantineEvents(list []wire.ContentEvent) {
	events := make([]quarantine.GossipEvent, 0, len(list))
	for _, n := range list {
		events = append(events, quarantine.GossipEvent{
			Fingerprint: quarantine.Fingerprint(n.Content), Kind: quarantine.GossipKind(n.Kind),
			Endpoint: fleet.Incarnation{ID: n.Agent, StartedAt: n.CrashedAt}, Took: n.Took, Trial: n.Trial, Age: n.Age,
		})
	}
	e.quarantine.MergeEvents(events)
}
