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

// Tracker is a process's part of the quarantine: what it and all others have seen
// contents do to endpoints. Without rows it keeps to itself what it sees. It is safe
// for concurrent use.
type Tracker struct {
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
	claiming map[Fingerprint]bool
}

// New returns a keeper that knows nothing yet. Its exported fields are set before it
// is used.
func New() *Tracker {
	return &Tracker{book: newBook(), outbox: newOutbox(), listed: make(chan struct{}), claiming: map[Fingerprint]bool{}}
}

// Local returns a keeper that keeps to itself what it sees.
func Local(prober Prober, log logrus.FieldLogger, counters *observe.Counters) *Tracker {
	k := New()
	began := time.Now()
	k.Clock = func() (time.Duration, bool) { return time.Since(began), true }
	k.Prober, k.Log, k.Counters = prober, log, counters
	return k
}

// Empty reports whether nothing is known of any content.
func (k *Tracker) Empty() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.book.subjects) == 0
}

// State says how a content may be sent, and how long a held one stays held.
func (k *Tracker) State(s Fingerprint, limit Limit) (State, time.Duration) {
	now, known := k.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	verdict, wait := k.book.judge(s, limit, now)
	if verdict == TrialDue && !known {
		return Quarantined, trialPauses[0]
	}
	return verdict, wait
}

// Admit says whether a content may be sent now, and as what; a held one whose time
// for a trial has come is claimed for this process. A content that is not admitted
// may come back after wait.
func (k *Tracker) Admit(ctx context.Context, s Fingerprint, limit Limit) (verdict State, wait time.Duration) {
	verdict, wait = k.State(s, limit)
	if verdict != TrialDue || k.claim(ctx, s, limit) {
		return verdict, wait
	}
	return Quarantined, trialPauses[0]
}

// BrokenRun is one that an endpoint broke off.
type BrokenRun struct {
	Fingerprint Fingerprint
	Endpoint    fleet.Incarnation
	Addr        string
	// Took is the time from its sending to its end.
	Took time.Duration
	// Ago is how long ago it ended, for ends that are noticed late.
	Ago time.Duration
}

// ReportBroken takes in that an endpoint broke a run off just now, and reports whether it
// has ended; only then does it count.
func (k *Tracker) ReportBroken(ctx context.Context, r BrokenRun) bool {
	now, _ := k.Clock()
	if k.Prober == nil || !k.Prober.Refuses(ctx, r.Addr) {
		return false
	}
	k.ended(r, now)
	return true
}

// ReportCrash takes in that an endpoint ended under a run.
func (k *Tracker) ReportCrash(r BrokenRun) {
	now, _ := k.Clock()
	k.ended(r, now-r.Ago)
}

// ReportCrashAtAgent is Ended for an endpoint of which only the agent beside it is known.
func (k *Tracker) ReportCrashAtAgent(s Fingerprint, agent string, took time.Duration) {
	k.ReportCrash(BrokenRun{Fingerprint: s, Endpoint: fleet.Incarnation{ID: agent, Born: time.Now().UnixMilli()}, Took: took})
}

func (k *Tracker) ended(r BrokenRun, at time.Duration) {
	e := event{subject: r.Fingerprint, endpoint: r.Endpoint, trial: -1, mark: mark{At: at, Ran: r.Took, By: k.Process}}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.book.note(e) {
		return
	}
	k.Counters.Add(observe.NameQuarantine, rowEnded, 1)
	k.Log.WithFields(logrus.Fields{
		observe.FieldContent: r.Fingerprint, "engine": r.Endpoint.ID, "ends": k.book.subjects[r.Fingerprint].count(),
	}).Warn("endpoint ended under a content")
	if k.Rows != nil {
		k.outbox.put(endKey(r.Fingerprint, r.Endpoint), e.mark)
	}
}

// ReportServed takes in that an endpoint answered a content and lived: it is no danger,
// and what was held against it was another's doing.
func (k *Tracker) ReportServed(s Fingerprint) {
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
func (k *Tracker) drop(s Fingerprint) bool {
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

// CountRefused counts a request or item that was held.
func (k *Tracker) CountRefused() { k.Counters.Add(observe.NameQuarantine, rowHeld, 1) }
