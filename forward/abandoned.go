package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/quarantine"
)

// unlistTime is the time after an endpoint's crash within which it is removed from the list of
// instances: three heartbeats and the propagation of the change.
const unlistTime = 5 * time.Second

// maxAbandoned limits the sends that are kept; the oldest are dropped.
const maxAbandoned = 256

// abandonedSend is a send without an answer.
type abandonedSend struct {
	to   fleet.Instance
	sent time.Time
	// fingerprint identifies the request's content; abandonedAt is when the request was given up.
	fingerprint quarantine.Fingerprint
	abandonedAt time.Time
}

// abandonedSends holds the unanswered sends of requests that were given up. If the caller leaves
// or a timeout passes, nobody sees that the endpoint crashes under the request; the list of
// instances shows it seconds later. It is safe for concurrent use.
type abandonedSends struct {
	mu   sync.Mutex
	list []abandonedSend
}

func (l *abandonedSends) add(sends ...abandonedSend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, sends...)
	l.list = l.list[max(0, len(l.list)-maxAbandoned):]
}

// takeCrashed removes and returns the sends whose endpoints have left the list without announcing
// it. It also drops sends whose endpoints are shutting down and those older than unlistTime.
func (l *abandonedSends) takeCrashed(snap *fleet.Snapshot, now time.Time) (crashed []abandonedSend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, func(s abandonedSend) bool {
		gone := !snap.Contains(s.to)
		if gone {
			crashed = append(crashed, s)
		}
		return gone || snap.IsDraining(s.to) || now.Sub(s.abandonedAt) > unlistTime
	})
	return crashed
}

// keepAbandoned keeps the unanswered sends of a call that was given up.
func (c *call) keepAbandoned() {
	for _, send := range c.unanswered {
		send.fingerprint, send.abandonedAt = c.fingerprint, time.Now()
		c.abandoned.add(send)
	}
}

// reportAbandonedCrashes reports to the quarantine the crashes that the list of instances shows.
func (f *Forwarder) reportAbandonedCrashes() {
	now := time.Now()
	for _, s := range f.abandoned.takeCrashed(f.View.Snapshot(), now) {
		f.Quarantine.ReportCrash(quarantine.BrokenRun{
			Fingerprint: s.fingerprint, Endpoint: s.to.Incarnation(), Addr: s.to.Addr, Took: s.abandonedAt.Sub(s.sent), Ago: now.Sub(s.abandonedAt),
		})
	}
}

// WatchCrashes watches the list of instances for crashes of endpoints that left requests without
// an answer, until ctx is cancelled.
func (f *Forwarder) WatchCrashes(ctx context.Context) {
	for {
		changed := f.View.Changed()
		f.reportAbandonedCrashes()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
