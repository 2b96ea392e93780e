package node

import (
	"context"
	"errors"
	"net"
	"sync"

	"mulberryscale.example/duty"
	"mulberryscale.example/usage"
)

// subjectUsage is the one subject of all usage reports.
const subjectUsage = "usage"

// countUsage has an entry count the requests that endpoints begin, until ctx ends.
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

// reportUsage has an agent take its turns at reporting usage, until ctx ends. The
// list of engines tells all agents who they are, which entries do not know of
// each other.
func (a *Agent) reportUsage(ctx context.Context, wg *sync.WaitGroup) {
	if !a.settings.ReportUsage {
		return
	}
	reporter := &usage.Reporter{
		Rows: a.store, Windows: usage.Windows{Length: a.settings.UsageWindow}, Zones: a.settings.Zones,
		Delay: usage.ReportDelay(a.settings.UsageDue), Sender: a.duties, Log: a.log,
	}
	performer := &duty.Performer{
		Terms: a.seat(subjectUsage),
		Order: &duty.CandidateOrder{
			Self: a.settings.IP, Others: a.agents, PreferHolder: duty.ShouldPreferHolder(a.settings.UsageWindow, a.settings.Lease),
		},
		Work: reporter, Log: a.log, Counters: a.counters,
	}
	wg.Go(func() {
		if err := performer.Run(ctx); !errors.Is(err, context.Canceled) {
			a.log.WithError(err).Error("usage no longer reported")
		}
	})
}

// seat is this machine's view of a duty's subject.
func (a *Agent) seat(subject string) *duty.TermStore {
	return &duty.TermStore{
		Rows: a.store, Clock: a.store, Subject: subject, Machine: a.settings.IP, Name: a.settings.Node, Lease: a.settings.Lease,
	}
}

// agents are the machines of agents: those of engines, which alone have weight versions.
func (a *Agent) agents() []string {
	var machines []string
	for _, i := range a.view.Snapshot().Instances {
		if host, _, err := net.SplitHostPort(i.Addr); err == nil && len(i.Versions) > 0 { // the list holds ip:port only
			machines = append(machines, host)
		}
	}
	return machines
}
