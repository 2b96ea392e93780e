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

// Rows of the counter of quarantine events.
const (
	rowCrash   = "endpoint_ended"
	rowRefused = "held"
	rowTrial   = "trial"
	rowCleared = "cleared"
)

// Tracker tracks which contents crash endpoints, as seen by this process and all others. Without
// Rows it shares its events with no store. It is safe for concurrent use.
type Tracker struct {
	// Rows is the store that all processes share; nil for none.
	Rows store.Rows
	// Clock returns the time of the clock that all processes share; false until it is known.
	Clock func() (time.Duration, bool)
	// Prober checks whether an endpoint that broke a connection has crashed.
	Prober Prober
	// Process is the name of this process.
	Process  string
	Log      logrus.FieldLogger
	Counters *observe.Counters

	mu        sync.Mutex
	histories *histories
	outbox    outbox
	synced    chan struct{}
	// claiming are the contents for which this process is claiming a trial.
	claiming map[Fingerprint]bool
	// disabled trackers record nothing, so that every content stays clear.
	disabled bool
}

// New returns a tracker without any events. Its exported fields are set before it is used.
func New() *Tracker {
	return &Tracker{histories: newHistories(), outbox: newOutbox(), synced: make(chan struct{}), claiming: map[Fingerprint]bool{}}
}

// Local returns a tracker that shares its events with no store.
func Local(prober Prober, log logrus.FieldLogger, counters *observe.Counters) *Tracker {
	t := New()
	began := time.Now()
	t.Clock = func() (time.Duration, bool) { return time.Since(began), true }
	t.Prober, t.Log, t.Counters = prober, log, counters
	return t
}

// Disabled returns a tracker that checks whether endpoints have crashed and quarantines nothing. It is for work
// that is handed in for later, which is owed whatever crashes under it.
func Disabled(prober Prober, log logrus.FieldLogger, counters *observe.Counters) *Tracker {
	t := Local(prober, log, counters)
	t.disabled = true
	return t
}

// State returns the state of a content and, for a quarantined one, how long it stays so.
func (t *Tracker) State(fp Fingerprint) (State, time.Duration) {
	now, known := t.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	state, wait := t.histories.state(fp, now)
	if state == TrialDue && !known {
		return Quarantined, trialDelays[0]
	}
	return state, wait
}

// Admit returns the state in which a content may be sent now. For a quarantined one whose trial
// is due it claims the trial for this process, and returns TrialDue if it gets it. A content that
// is not admitted may come back after wait.
func (t *Tracker) Admit(ctx context.Context, fp Fingerprint) (state State, wait time.Duration) {
	state, wait = t.State(fp)
	if state != TrialDue || t.claim(ctx, fp) {
		return state, wait
	}
	return Quarantined, trialDelays[0]
}

// BrokenRun is a run that an endpoint broke off.
type BrokenRun struct {
	Fingerprint Fingerprint
	Endpoint    fleet.Incarnation
	Addr        string
	// Took is the time from its sending to its end.
	Took time.Duration
	// Ago is how long ago it ended, for crashes that are noticed late.
	Ago time.Duration
}

// ReportBroken reports that an endpoint broke off a run just now. It checks whether the endpoint
// has crashed, records the crash only then, and returns the result.
func (t *Tracker) ReportBroken(ctx context.Context, r BrokenRun) bool {
	now, _ := t.Clock()
	if t.Prober == nil || !t.Prober.Refuses(ctx, r.Addr) {
		return false
	}
	t.recordCrash(r, now)
	return true
}

// ReportCrash records that an endpoint crashed during a run.
func (t *Tracker) ReportCrash(r BrokenRun) {
	now, _ := t.Clock()
	t.recordCrash(r, now-r.Ago)
}

// ReportCrashAtAgent is ReportCrash for an endpoint of which only the agent beside it is known.
func (t *Tracker) ReportCrashAtAgent(fp Fingerprint, agent string, took time.Duration) {
	t.ReportCrash(BrokenRun{Fingerprint: fp, Endpoint: fleet.Incarnation{ID: agent, StartedAt: time.Now().UnixMilli()}, Took: took})
}

func (t *Tracker) recordCrash(r BrokenRun, at time.Duration) {
	if t.disabled {
		return
	}
	e := event{fingerprint: r.Fingerprint, endpoint: r.Endpoint, trial: -1, value: rowValue{At: at, Ran: r.Took, By: t.Process}}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.histories.record(e) {
		return
	}
	t.Counters.Add(observe.NameQuarantine, rowCrash, 1)
	t.Log.WithFields(logrus.Fields{
		observe.FieldContent: r.Fingerprint, "engine": r.Endpoint.ID, "ends": t.histories.byFingerprint[r.Fingerprint].crashCount(),
	}).Warn("endpoint crashed while running a content")
	if t.Rows != nil {
		t.outbox.put(crashKey(r.Fingerprint, r.Endpoint), e.value)
	}
}

// ReportServed records that an endpoint answered a content without crashing: the content is
// harmless, and the earlier crashes had another cause.
func (t *Tracker) ReportServed(fp Fingerprint) {
	now, _ := t.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.drop(fp) {
		return
	}
	if t.Rows == nil {
		t.histories.clear(fp, now)
	}
	t.Counters.Add(observe.NameQuarantine, rowCleared, 1)
	t.Log.WithField(observe.FieldContent, fp).Info("content cleared")
}

// drop removes a content here and from the store, and reports whether it was known. It is called
// with t.mu held.
func (t *Tracker) drop(fp Fingerprint) bool {
	h := t.histories.take(fp)
	if h == nil || t.Rows == nil {
		return h != nil
	}
	for endpoint := range h.crashes {
		t.outbox.remove(crashKey(fp, endpoint))
	}
	for number := range h.trials {
		t.outbox.remove(trialKey(fp, number))
	}
	return true
}

// CountRefused counts a request that was refused because its content is quarantined.
func (t *Tracker) CountRefused() { t.Counters.Add(observe.NameQuarantine, rowRefused, 1) }
