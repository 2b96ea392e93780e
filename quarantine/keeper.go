package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
)

// Rows of the counter of what became of contents.
const (
	rowEnded   = "endpoint_ended"
	rowHeld    = "held"
	rowTrial   = "trial"
	rowCleared = "cleared"
)

// Keeper is a process's part of the quarantine: what it and all others have seen
// contents do to endpoints. Without rows it keeps to itself what it sees. It is safe
// for concurrent use.
type Keeper struct {
	// Rows are where all processes tell each other; nil is nowhere.
	Rows store.Rows
	// Clock is the clock that all processes share; false before it is known.
	Clock func() (time.Duration, bool)
	// Prober tells whether an endpoint that broke off has ended.
	Prober Prober
	// Process names this one.
	Process  string
	Log      logrus.FieldLogger
	Counters *observe.Counters

	mu     sync.Mutex
	book   *book
	outbox outbox
	listed chan struct{}
	// claiming are the contents for which this process claims a trial now.
	claiming map[Subject]bool
}

// New returns a keeper that knows nothing yet. Its exported fields are set before it
// is used.
func New() *Keeper {
	return &Keeper{book: newBook(), outbox: newOutbox(), listed: make(chan struct{}), claiming: map[Subject]bool{}}
}

// Local returns a keeper that keeps to itself what it sees.
func Local(prober Prober, log logrus.FieldLogger, counters *observe.Counters) *Keeper {
	k := New()
	began := time.Now()
	k.Clock = func() (time.Duration, bool) { return time.Since(began), true }
	k.Prober, k.Log, k.Counters = prober, log, counters
	return k
}

// Empty reports whether nothing is known of any content.
func (k *Keeper) Empty() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.book.subjects) == 0
}

// Judge says how a content may be sent, and how long a held one stays held.
func (k *Keeper) Judge(s Subject, limit Limit) (Verdict, time.Duration) {
	now, known := k.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	verdict, wait := k.book.judge(s, limit, now)
	if verdict == Due && !known {
		return Held, trialPauses[0]
	}
	return verdict, wait
}

// Admit says whether a content may be sent now, and as what; a held one whose time
// for a trial has come is claimed for this process. A content that is not admitted
// may come back after wait.
func (k *Keeper) Admit(ctx context.Context, s Subject, limit Limit) (verdict Verdict, wait time.Duration) {
	verdict, wait = k.Judge(s, limit)
	if verdict != Due || k.claim(ctx, s, limit) {
		return verdict, wait
	}
	return Held, trialPauses[0]
}

// Run is one that an endpoint broke off.
type Run struct {
	Subject  Subject
	Endpoint fleet.Incarnation
	Addr     string
	// Took is the time from its sending to its end.
	Took time.Duration
	// Ago is how long ago it ended, for ends that are noticed late.
	Ago time.Duration
}

// Broken takes in that an endpoint broke a run off just now, and reports whether it
// has ended; only then does it count.
func (k *Keeper) Broken(ctx context.Context, r Run) bool {
	now, _ := k.Clock()
	if k.Prober == nil || !k.Prober.Refuses(ctx, r.Addr) {
		return false
	}
	k.ended(r, now)
	return true
}

// Ended takes in that an endpoint ended under a run.
func (k *Keeper) Ended(r Run) {
	now, _ := k.Clock()
	k.ended(r, now-r.Ago)
}

// EndedBeside is Ended for an endpoint of which only the agent beside it is known.
func (k *Keeper) EndedBeside(s Subject, agent string, took time.Duration) {
	k.Ended(Run{Subject: s, Endpoint: fleet.Incarnation{ID: agent, Born: time.Now().UnixMilli()}, Took: took})
}

func (k *Keeper) ended(r Run, at time.Duration) {
	e := event{subject: r.Subject, endpoint: r.Endpoint, trial: -1, mark: mark{At: at, Ran: r.Took, By: k.Process}}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.book.note(e) {
		return
	}
	k.Counters.Add(observe.NameQuarantine, rowEnded, 1)
	k.Log.WithFields(logrus.Fields{
		observe.FieldContent: r.Subject, "engine": r.Endpoint.ID, "ends": k.book.subjects[r.Subject].count(),
	}).Warn("endpoint ended under a content")
	if k.Rows != nil {
		k.outbox.put(endKey(r.Subject, r.Endpoint), e.mark)
	}
}

// Served takes in that an endpoint answered a content and lived: it is no danger,
// and what was held against it was another's doing.
func (k *Keeper) Served(s Subject) {
	now, _ := k.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.drop(s) {
		return
	}
	if k.Rows == nil {
		k.book.clear(s, now)
	}
	k.Counters.Add(observe.NameQuarantine, rowCleared, 1)
	k.Log.WithField(observe.FieldContent, s).Info("content cleared")
}

// drop forgets a content here and in the store, and reports whether it was known.
// It is called with k.mu held.
func (k *Keeper) drop(s Subject) bool {
	h := k.book.forget(s)
	if h == nil || k.Rows == nil {
		return h != nil
	}
	for of := range h.ends {
		k.outbox.remove(endKey(s, of))
	}
	for number := range h.trials {
		k.outbox.remove(trialKey(s, number))
	}
	return true
}

// Refused counts a request or item that was held.
func (k *Keeper) Refused() { k.Counters.Add(observe.NameQuarantine, rowHeld, 1) }
