package node

import (
	"context"
	"errors"
	"net"
	"sync"

	"mulberryscale.example/duty"
	"mulberryscale.example/usage"
)

// subjectUsage is the duty subject of usage reports, of which there is only one.
const subjectUsage = "usage"

// countUsage counts the requests that endpoints begin to run and records the counts in
// the store, until ctx is cancelled.
func (e *Entry) countUsage(ctx context.Context, wg *sync.WaitGroup) {
	if !e.settings.ReportUsage {
		return
	}
	windows := usage.Windows{Length: e.settings.UsageWindow}
	counter := usage.NewCounter(windows)
	e.forwarder.OnRunStarted = counter.Add
	recorder := &usage.Recorder{
		Rows: e.rows, Counter: counter, Windows: windows, Zone: e.settings.Zone, Entry: e.settings.Node + "-" + e.incarnation,
		ReportDelay: usage.ReportDelay(e.settings.UsageDue), Log: e.log,
	}
	wg.Go(func() { recorder.Run(ctx) })
}

// reportUsage makes the agent a candidate for reporting usage, until ctx is cancelled.
// Agents do it rather than entries since all agents are known from the list of engines,
// while entries do not know each other.
func (a *Agent) reportUsage(ctx context.Context, wg *sync.WaitGroup) {
	if !a.settings.ReportUsage {
		return
	}
	reporter := &usage.Reporter{
		Rows: a.store, Windows: usage.Windows{Length: a.settings.UsageWindow}, Zones: a.settings.Zones,
		Delay: usage.ReportDelay(a.settings.UsageDue), Sender: a.duties, Log: a.log,
	}
	performer := &duty.Performer{
		Terms: a.termStore(subjectUsage),
		Order: &duty.CandidateOrder{
			Self: a.settings.IP, Others: a.agentHosts, PreferHolder: duty.ShouldPreferHolder(a.settings.UsageWindow, a.settings.Lease),
		},
		Work: reporter, Log: a.log, Counters: a.counters,
	}
	wg.Go(func() {
		if err := performer.Run(ctx); !errors.Is(err, context.Canceled) {
			a.log.WithError(err).Error("usage no longer reported")
		}
	})
}

// termStore returns this machine's access to the terms of a duty's subject.
func (a *Agent) termStore(subject string) *duty.TermStore {
	return &duty.TermStore{
		Rows: a.store, Clock: a.store, Subject: subject, Machine: a.settings.IP, Name: a.settings.Node, Lease: a.settings.Lease,
	}
}

// agentHosts returns the hosts of all agents, which are those of engines; only engines
// have weight versions.
func (a *Agent) agentHosts() []string {
	var machines []string
	for _, i := range a.view.Snapshot().Instances {
		if host, _, err := net.SplitHostPort(i.Addr); err == nil && len(i.Versions) > 0 { // the list holds ip:port only
			machines = append(machines, host)
		}
	}
	return machines
}
