package quarantine

import (
	"cmp"
	"slices"
	"time"

	"mulberryscale.example/fleet"
)

// GossipEvent is what one process tells another that shares neither a store nor a clock
// with it.
type GossipEvent struct {
	Fingerprint Fingerprint
	Kind        GossipKind
	// Endpoint and Took are those of a run that an endpoint broke off as it ended.
	Endpoint fleet.Incarnation
	Took     time.Duration
	// Trial is the number of a trial.
	Trial int
	// Age is how long ago it happened.
	Age time.Duration
}

// GossipKind is what happened to a content.
type GossipKind int

// Kinds of news.
const (
	GossipCrash GossipKind = iota + 1
	GossipTrial
	GossipCleared
)

const (
	// newsTime is how long after an event it is told: several times what gossip takes
	// to reach every process.
	newsTime = 30 * time.Second
	// maxNews bounds one telling; the newest come first.
	maxNews = 32
)

// RecentEvents is what has happened lately.
func (k *Tracker) RecentEvents() []GossipEvent {
	now, _ := k.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []GossipEvent
	for s, h := range k.book.subjects {
		for of, run := range h.ends {
			list = append(list, GossipEvent{Fingerprint: s, Kind: GossipCrash, Endpoint: of, Took: run.ended - run.began, Age: now - run.ended})
		}
		for number, at := range h.trials {
			list = append(list, GossipEvent{Fingerprint: s, Kind: GossipTrial, Trial: number, Age: now - at})
		}
	}
	for s, at := range k.book.cleared {
		list = append(list, GossipEvent{Fingerprint: s, Kind: GossipCleared, Age: now - at})
	}
	k.book.forgetCleared(now)
	list = slices.DeleteFunc(list, func(n GossipEvent) bool { return n.Age > newsTime })
	slices.SortFunc(list, func(a, b GossipEvent) int { return cmp.Compare(a.Age, b.Age) })
	return list[:min(len(list), maxNews)]
}

// MergeEvents takes in what another process tells.
func (k *Tracker) MergeEvents(list []GossipEvent) {
	now, _ := k.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, n := range list[:min(len(list), maxNews)] {
		at := now - n.Age
		switch n.Kind {
		case GossipCleared:
			k.book.clear(n.Fingerprint, at)
		case GossipCrash:
			k.book.note(event{subject: n.Fingerprint, endpoint: n.Endpoint, trial: -1, mark: mark{At: at, Ran: n.Took}})
		case GossipTrial:
			k.book.note(event{subject: n.Fingerprint, trial: n.Trial, mark: mark{At: at}})
		}
	}
}
