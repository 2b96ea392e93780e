package results

import (
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/chart"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/wire"
)

// Run is one run of a request. Its methods are safe for concurrent use.
type Run struct {
	store         *Store
	id            string
	key           string
	nonIdempotent bool
	generation    bool

	// All below is guarded by store.mu.
	state State
	final bool // nothing leaves state
	// machine is set while the run is running.
	machine *chart.Machine[State, trigger]
	started bool
	// remembered is true when this run's start made the store remember the key.
	remembered bool
	// freed is true when the endpoint proved that it ran nothing.
	freed bool
	// text begins with the prefix; marks say which tokens made up what follows it.
	text        []byte
	prefixBytes int
	prefixSpans []api.VersionSpan
	marks       []mark
	done        *wire.Done
	delivered   bool // a reader has passed done on
	refusal     *api.Refusal
	linger      time.Duration
	readers     int
	idleSince   time.Time     // when the last reader left or the run ended, whichever was later
	changed     chan struct{} // closed by news; nil once the run has ended
	onEnd       func()        // nil once the run has ended, since it holds the request
	size        int           // what store.bytes counts for the run
}

// mark is one appended chunk.
type mark struct {
	version uint64
	bytes   int
	tokens  int
}

// ID is the id of the run, that of the attempt which began it.
func (r *Run) ID() string { return r.id }

// State is the run's state now.
func (r *Run) State() State {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return r.state
}

// OnAbort sets what is called, without locks held, when the run ends by a fence
// or because nobody wants it any more. If that has come already, it is called at once.
func (r *Run) OnAbort(f func()) {
	r.store.mu.Lock()
	ended := r.final
	if !ended {
		r.onEnd = f
	}
	r.store.mu.Unlock()
	if ended {
		f()
	}
}

// Start marks the run as sent to the endpoint. When it returns false the run
// has ended and must not be sent.
func (r *Run) Start() bool {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if !r.fire(triggerStart) {
		return false
	}
	r.started = true
	r.store.remember(r)
	r.resize()
	return true
}

// Append adds tokens that the endpoint generated. It does nothing once the run has ended.
func (r *Run) Append(text string, version uint64, tokens int) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.state != StateRunning || (text == "" && tokens == 0) {
		return
	}
	r.text = append(r.text, text...)
	r.marks = append(r.marks, mark{version, len(text), tokens})
	r.resize()
	r.wake()
}

// FinishText ends a generation whose text was appended.
func (r *Run) FinishText(now time.Time, reason string) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	done := &wire.Done{RunID: r.id, Text: string(r.text), Spans: r.spans(), FinishReason: reason}
	r.finish(now, done)
}

// FinishAnswer ends a plain service's call.
func (r *Run) FinishAnswer(now time.Time, answer *wire.Answer) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.finish(now, &wire.Done{RunID: r.id, Answer: answer})
}

func (r *Run) finish(now time.Time, done *wire.Done) {
	if r.final || !r.fire(triggerFinish) {
		return
	}
	r.done = done
	// Readers take the whole text from done.
	r.text, r.marks, r.prefixSpans = nil, nil, nil
	r.ended(now)
}

// Fail ends a started run without a whole answer. Chunks so far stay readable.
// A refusal with not_run true frees the key: the endpoint has proven that it
// did not start the run.
func (r *Run) Fail(now time.Time, refusal *api.Refusal) { r.end(now, triggerFail, refusal) }

// Refuse ends a run that was not started and returns the refusal that its
// readers get: not_run is corrected when an earlier run of the key did start.
func (r *Run) Refuse(now time.Time, refusal *api.Refusal) *api.Refusal {
	refusal = r.store.lockedTruthful(r.key, r.nonIdempotent, refusal)
	r.end(now, triggerRefuse, refusal)
	return refusal
}

func (r *Run) end(now time.Time, t trigger, refusal *api.Refusal) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.final || !r.fire(t) {
		return
	}
	r.refusal = refusal
	if t == triggerFail && refusal.NotRun == api.NotRunTrue {
		r.freed = true
		r.store.unremember(r)
		r.refusal = r.store.truthful(r.key, r.nonIdempotent, refusal)
	}
	r.ended(now)
}

// fire applies a trigger and says whether the chart takes it there. The
// machine, which is large, lives no longer than it is needed.
func (r *Run) fire(t trigger) bool {
	m := r.machine
	if r.state == StateQueued {
		m = newMachine()
	}
	if m == nil || m.Fire(t) != nil {
		return false
	}
	r.state, r.final = m.State(), m.Final()
	r.machine = m
	if r.final {
		r.machine = nil
	}
	return true
}

// ended wakes the readers, lets go of what an ended run does not need, and
// frees the key of a run that is of no more use. It returns what OnEnd set.
func (r *Run) ended(now time.Time) (onEnd func()) {
	onEnd = r.onEnd
	r.onEnd = nil
	r.idleSince = now
	close(r.changed)
	r.changed = nil
	r.resize()
	if !r.keep() {
		r.store.drop(r)
	}
	return onEnd
}

// useless says whether a run ended with nothing for a request that needs minVersion.
func (r *Run) useless(minVersion uint64) bool {
	if r.state == StateFailed {
		return true
	}
	return r.done != nil && len(r.done.Spans) > 0 && api.OldestVersion(r.done.Spans) < minVersion
}

// keep says whether an ended run stays for late readers.
func (r *Run) keep() bool {
	switch r.state {
	case StateDone:
	case StateFailed:
		if r.freed {
			return false
		}
	default:
		return false
	}
	return r.linger > 0 || r.readers > 0
}

func (r *Run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// spans are the spans of the whole text, prefix included.
func (r *Run) spans() []api.VersionSpan {
	spans := append([]api.VersionSpan(nil), r.prefixSpans...)
	return spansOf(spans, r.marks)
}

func spansOf(spans []api.VersionSpan, marks []mark) []api.VersionSpan {
	for _, m := range marks {
		spans = endpoint.AddSpan(spans, m.version, m.tokens)
	}
	return spans
}
