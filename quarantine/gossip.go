package quarantine

import (
	"cmp"
	"slices"
	"time"

	"mulberryscale.example/fleet"
)

// GossipEvent is an event that one process reports to another which shares neither a store nor a
// clock with it.
type GossipEvent struct {
	Fingerprint Fingerprint
	Kind        GossipKind
	// Endpoint is the endpoint that crashed; Took is how long the run had lasted that its crash
	// broke off.
	Endpoint fleet.Incarnation
	Took     time.Duration
	// Trial is the number of the trial.
	Trial int
	// Age is the time since the event.
	Age time.Duration
}

// GossipKind says what happened to a content.
type GossipKind int

// Kinds of gossip events.
const (
	GossipCrash GossipKind = iota + 1
	GossipTrial
	GossipCleared
)

const (
	// gossipTTL is how long an event is gossiped: several times what gossip takes to reach every
	// process.
	gossipTTL = 30 * time.Second
	// maxGossip limits the events of one message; the newest come first.
	maxGossip = 32
)

// RecentEvents returns the events of the last gossipTTL, the newest first and at most maxGossip.
func (t *Tracker) RecentEvents() []GossipEvent {
	now, _ := t.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []GossipEvent
	for fp, h := range t.histories.byFingerprint {
		for endpoint, run := range h.crashes {
			list = append(list, GossipEvent{Fingerprint: fp, Kind: GossipCrash, Endpoint: endpoint, Took: run.end - run.start, Age: now - run.end})
		}
		for number, at := range h.trials {
			list = append(list, GossipEvent{Fingerprint: fp, Kind: GossipTrial, Trial: number, Age: now - at})
		}
	}
	for fp, at := range t.histories.cleared {
		list = append(list, GossipEvent{Fingerprint: fp, Kind: GossipCleared, Age: now - at})
	}
	t.histories.expireCleared(now)
	list = slices.DeleteFunc(list, func(n GossipEvent) bool { return n.Age > gossipTTL })
	slices.SortFunc(list, func(a, b GossipEvent) int { return cmp.Compare(a.Age, b.Age) })
	return list[:min(len(list), maxGossip)]
}

// MergeEvents records the events that another process reports.
func (t *Tracker) MergeEvents(list []GossipEvent) {
	now, _ := t.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range list[:min(len(list), maxGossip)] {
		at := now - n.Age
		switch n.Kind {
		case GossipCleared:
			t.histories.clear(n.Fingerprint, at)
		case GossipCrash:
			t.histories.record(event{fingerprint: n.Fingerprint, endpoint: n.Endpoint, trial: -1, value: rowValue{At: at, Ran: n.Took}})
		case GossipTrial:
			t.histories.record(event{fingerprint: n.Fingerprint, trial: n.Trial, value: rowValue{At: at}})
		}
	}
}
