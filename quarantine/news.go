package quarantine

import (
	"cmp"
	"slices"
	"time"

	"mulberryscale.example/fleet"
)

// News is what one process tells another that shares neither a store nor a clock
// with it.
type News struct {
	Subject Subject
	Kind    NewsKind
	// Endpoint and Took are those of a run that an endpoint broke off as it ended.
	Endpoint fleet.Incarnation
	Took     time.Duration
	// Trial is the number of a trial.
	Trial int
	// Age is how long ago it happened.
	Age time.Duration
}

// NewsKind is what happened to a content.
type NewsKind int

// Kinds of news.
const (
	NewsEnd NewsKind = iota + 1
	NewsTrial
	NewsCleared
)

const (
	// newsTime is how long after an event it is told: several times what gossip takes
	// to reach every process.
	newsTime = 30 * time.Second
	// maxNews bounds one telling; the newest come first.
	maxNews = 32
)

// News is what has happened lately.
func (k *Keeper) News() []News {
	now, _ := k.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []News
	for s, h := range k.book.subjects {
		for of, run := range h.ends {
			list = append(list, News{Subject: s, Kind: NewsEnd, Endpoint: of, Took: run.ended - run.began, Age: now - run.ended})
		}
		for number, at := range h.trials {
			list = append(list, News{Subject: s, Kind: NewsTrial, Trial: number, Age: now - at})
		}
	}
	for s, at := range k.book.cleared {
		list = append(list, News{Subject: s, Kind: NewsCleared, Age: now - at})
	}
	k.book.forgetCleared(now)
	list = slices.DeleteFunc(list, func(n News) bool { return n.Age > newsTime })
	slices.SortFunc(list, func(a, b News) int { return cmp.Compare(a.Age, b.Age) })
	return list[:min(len(list), maxNews)]
}

// Hear takes in what another process tells.
func (k *Keeper) Hear(list []News) {
	now, _ := k.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, n := range list[:min(len(list), maxNews)] {
		at := now - n.Age
		switch n.Kind {
		case NewsCleared:
			k.book.clear(n.Subject, at)
		case NewsEnd:
			k.book.note(event{subject: n.Subject, endpoint: n.Endpoint, trial: -1, mark: mark{At: at, Ran: n.Took}})
		case NewsTrial:
			k.book.note(event{subject: n.Subject, trial: n.Trial, mark: mark{At: at}})
		}
	}
}
