package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/quarantine"
)

// unlistTime is how long after the end of an endpoint the list of instances has
// dropped it: three heartbeats and what the news takes.
const unlistTime = 5 * time.Second

// maxAbandoned bounds the sends that are kept, the newest of them.
const maxAbandoned = 256

// abandonedSend is a send that got no answer.
type abandonedSend struct {
	to   fleet.Instance
	sent time.Time
	// fingerprint is its request's, abandonedAt when that was given up.
	fingerprint quarantine.Fingerprint
	abandonedAt time.Time
}

// abandonedSends are the sends of requests that were given up: a caller that leaves, or a
// timeout, hides that an endpoint ends under its request, and the list of instances
// tells it seconds later. It is safe for concurrent use.
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

// takeCrashed takes out those whose endpoints have gone from the list without notice, and
// forgets those that say nothing any more.
func (l *abandonedSends) takeCrashed(snap *fleet.Snapshot, now time.Time) (ended []abandonedSend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, func(s abandonedSend) bool {
		gone := !snap.Lists(s.to)
		if gone {
			ended = append(ended, s)
		}
		return gone || snap.Leaves(s.to) || now.Sub(s.abandonedAt) > unlistTime
	})
	return ended
}

// keepAbandoned keeps the sends of a call that was given up.
func (c *call) keepAbandoned() {
	for _, lost := range c.unanswered {
		lost.fingerprint, lost.abandonedAt = c.fingerprint, time.Now()
		c.abandoned.add(lost)
	}
}

// reportAbandonedCrashes tells the quarantine of the ends that the list of instances has told.
func (f *Forwarder) reportAbandonedCrashes() {
	now := time.Now()
	for _, s := range f.abandoned.takeCrashed(f.View.Snapshot(), now) {
		f.Quarantine.ReportCrash(quarantine.BrokenRun{
			Fingerprint: s.fingerprint, Endpoint: s.to.Incarnation(), Addr: s.to.Addr, Took: s.abandonedAt.Sub(s.sent), Ago: now.Sub(s.abandonedAt),
		})
	}
}

// WatchCrashes looks out for the ends of endpoints that left requests without an answer,
// until ctx ends.
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
