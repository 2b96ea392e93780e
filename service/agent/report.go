package agent

import (
	"context"
	"slices"
	"strings"
	"time"

	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// Bounds of the intervals that a watcher may request.
const (
	minWatchInterval = 10 * time.Millisecond
	maxWatchInterval = 10 * time.Second
)

// Report returns the agent's current state, with the next sequence number.
func (a *Agent) Report() *wire.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reports++
	load := a.queue.Load()
	r := &wire.Report{
		Seq:          a.reports,
		Zone:         a.cfg.Zone,
		Draining:     a.draining,
		Healthy:      a.engine.healthy,
		Slots:        a.queue.Slots(),
		Running:      load.Running,
		Queued:       load.Queued,
		QueuedTokens: load.QueuedTokens,
		Services:     a.cfg.Services,
		Rows:         load.Rows,
		Capacity:     load.Capacity,
	}
	for _, m := range a.engine.models {
		r.Models = append(r.Models, wire.ModelReport{
			Model:   m.model,
			Version: m.version,
			Ready:   a.modelReady(m.model),
		})
	}
	slices.SortFunc(r.Models, func(x, y wire.ModelReport) int { return strings.Compare(x.Model, y.Model) })
	return r
}

// answerWatch sends reports until the stream ends: the first at once, then one after
// each change, at most one per MinInterval, and at least one per MaxInterval as a
// heartbeat. An urgent change does not wait for MinInterval.
func (a *Agent) answerWatch(ctx context.Context, s transport.Stream, w *wire.Watch) {
	shortest := min(max(w.MinInterval, minWatchInterval), maxWatchInterval)
	longest := min(max(w.MaxInterval, shortest), maxWatchInterval)
	if w.MaxInterval <= 0 {
		longest = maxWatchInterval
	}
	for {
		changed, urgent := a.changed.Wait(), a.urgent.Wait()
		if a.reply(s, &wire.Reply{Report: a.Report()}) != nil {
			return
		}
		if !waitReport(ctx, shortest, longest, changed, urgent) {
			return
		}
	}
}

// waitReport waits until the next report is due. It returns false if ctx is done.
func waitReport(ctx context.Context, shortest, longest time.Duration, changed, urgent <-chan struct{}) bool {
	minimum := time.NewTimer(shortest)
	defer minimum.Stop()
	heartbeat := time.NewTimer(longest)
	defer heartbeat.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-urgent:
		return true
	case <-minimum.C:
	}
	select {
	case <-ctx.Done():
		return false
	case <-urgent:
	case <-changed:
	case <-heartbeat.C:
	}
	return true
}
