package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/quarantine"
)

// lapseTime is how long after the end of an endpoint the list of instances has
// dropped it: three heartbeats and what the news takes.
const lapseTime = 5 * time.Second

// maxLost bounds the sends that are kept, the newest of them.
const maxLost = 256

// lostSend is a send that got no answer.
type lostSend struct {
	to   fleet.Instance
	sent time.Time
	// subject is its request's, gaveUp when that was given up.
	subject quarantine.Fingerprint
	gaveUp  time.Time
}

// lostSends are the sends of requests that were given up: a caller that leaves, or a
// timeout, hides that an endpoint ends under its request, and the list of instances
// tells it seconds later. It is safe for concurrent use.
type lostSends struct {
	mu   sync.Mutex
	list []lostSend
}

func (l *lostSends) add(sends ...lostSend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, sends...)
	l.list = l.list[max(0, len(l.list)-maxLost):]
}

// ended takes out those whose endpoints have gone from the list without notice, and
// forgets those that say nothing any more.
func (l *lostSends) ended(snap *fleet.Snapshot, now time.Time) (ended []lostSend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = slices.DeleteFunc(l.list, func(s lostSend) bool {
		gone := !snap.Lists(s.to)
		if gone {
			ended = append(ended, s)
		}
		return gone || snap.Leaves(s.to) || now.Sub(s.gaveUp) > lapseTime
	})
	return ended
}

// keepLost keeps the sends of a call that was given up.
func (c *call) keepLost() {
	for _, lost := range c.unanswered {
		lost.subject, lost.gaveUp = c.subject, time.Now()
		c.lost.add(lost)
	}
}

// noteLost tells the quarantine of the ends that the list of instances has told.
func (f *Forwarder) noteLost() {
	now := time.Now()
	for _, s := range f.lost.ended(f.View.Snapshot(), now) {
		f.Quarantine.ReportCrash(quarantine.BrokenRun{
			Fingerprint: s.subject, Endpoint: s.to.Incarnation(), Addr: s.to.Addr, Took: s.gaveUp.Sub(s.sent), Ago: now.Sub(s.gaveUp),
		})
	}
}

// WatchCrashes looks out for the ends of endpoints that left requests without an answer,
// until ctx ends.
func (f *Forwarder) WatchCrashes(ctx context.Context) {
	for {
		changed := f.View.Changed()
		f.noteLost()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
