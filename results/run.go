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

	// The fields below are guarded by store.mu.
	state State
	final bool // no transition leaves state
	// machine is set while the run is running.
	machine *chart.Machine[State, trigger]
	started bool
	// startRecorded is true when the start of this run added the key to the store's
	// started keys.
	startRecorded bool
	// provenNotRun is true when the endpoint proved that it did not start the run.
	provenNotRun bool
	// text begins with the prefix; chunks describe the text that follows the prefix.
	text        []byte
	prefixBytes int
	prefixSpans []api.VersionSpan
	chunks      []chunk
	done        *wire.Done
	delivered   bool // a reader has passed done on
	refusal     *api.Refusal
	retention   time.Duration
	readers     int
	idleSince   time.Time     // when the last reader closed or the run became final, whichever was later
	changed     chan struct{} // closed and replaced at each change; nil once the run is final
	onAbort     func()        // nil once the run is final, since it references the request
	size        int           // bytes that store.bytes counts for the run
}

// chunk describes the text added by one call of Append.
type chunk struct {
	version uint64
	bytes   int
	tokens  int
}

// ID returns the id of the run, which is that of the attempt that created it.
func (r *Run) ID() string { return r.id }

// State returns the run's current state.
func (r *Run) State() State {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return r.state
}

// OnAbort sets the function that is called, without locks held, when the run is
// fenced or cancelled. If the run is already final, f is called at once.
func (r *Run) OnAbort(f func()) {
	r.store.mu.Lock()
	final := r.final
	if !final {
		r.onAbort = f
	}
	r.store.mu.Unlock()
	if final {
		f()
	}
}

// Start marks the run as sent to the endpoint. If it returns false, the run is not
// queued any more and must not be sent.
func (r *Run) Start() bool {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if !r.fire(triggerStart) {
		return false
	}
	r.started = true
	r.store.recordStart(r)
	r.resize()
	return true
}

// Append adds tokens that the endpoint generated. It does nothing unless the run is running.
func (r *Run) Append(text string, version uint64, tokens int) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.state != StateRunning || (text == "" && tokens == 0) {
		return
	}
	r.text = append(r.text, text...)
	r.chunks = append(r.chunks, chunk{version, len(text), tokens})
	r.resize()
	r.notifyReaders()
}

// FinishText completes a generation whose text was appended.
func (r *Run) FinishText(now time.Time, reason string) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	done := &wire.Done{RunID: r.id, Text: string(r.text), Spans: r.spans(), FinishReason: reason}
	r.finish(now, done)
}

// FinishAnswer completes a plain service's call.
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
	r.text, r.chunks, r.prefixSpans = nil, nil, nil
	r.finalize(now)
}

// Fail fails a started run that has no whole answer. Readers can still read the
// chunks so far. A refusal with not_run true allows the key to start again: the
// endpoint has proven that it did not start the run.
func (r *Run) Fail(now time.Time, refusal *api.Refusal) { r.endWith(now, triggerFail, refusal) }

// Refuse refuses a run that was not started and returns the refusal that its
// readers get: not_run is corrected when an earlier run of the key did start.
func (r *Run) Refuse(now time.Time, refusal *api.Refusal) *api.Refusal {
	refusal = r.store.correctNotRun(r.key, r.nonIdempotent, refusal)
	r.endWith(now, triggerRefuse, refusal)
	return refusal
}

func (r *Run) endWith(now time.Time, t trigger, refusal *api.Refusal) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.final || !r.fire(t) {
		return
	}
	r.refusal = refusal
	if t == triggerFail && refusal.NotRun == api.NotRunTrue {
		r.provenNotRun = true
		r.store.unrecordStart(r)
		r.refusal = r.store.correctNotRunLocked(r.key, r.nonIdempotent, refusal)
	}
	r.finalize(now)
}

// fire applies a trigger and reports whether the state chart accepts it in the
// current state. The machine is large, so it is kept only while the run is running.
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

// finalize wakes the readers, releases what a final run does not need, and drops
// the run from the store unless it is kept for late readers. It returns the
// function that OnAbort set. The caller holds store.mu.
func (r *Run) finalize(now time.Time) (onAbort func()) {
	onAbort = r.onAbort
	r.onAbort = nil
	r.idleSince = now
	close(r.changed)
	r.changed = nil
	r.resize()
	if !r.shouldKeep() {
		r.store.drop(r)
	}
	return onAbort
}

// unusableFor reports whether the run failed, or its result is too old for a
// request that needs minVersion.
func (r *Run) unusableFor(minVersion uint64) bool {
	if r.state == StateFailed {
		return true
	}
	return r.done != nil && len(r.done.Spans) > 0 && api.OldestVersion(r.done.Spans) < minVersion
}

// shouldKeep reports whether a final run is kept for late readers.
func (r *Run) shouldKeep() bool {
	switch r.state {
	case StateDone:
	case StateFailed:
		if r.provenNotRun {
			return false
		}
	default:
		return false
	}
	return r.retention > 0 || r.readers > 0
}

func (r *Run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// spans returns the version spans of the whole text, prefix included.
func (r *Run) spans() []api.VersionSpan {
	spans := append([]api.VersionSpan(nil), r.prefixSpans...)
	return spansOf(spans, r.chunks)
}

func spansOf(spans []api.VersionSpan, chunks []chunk) []api.VersionSpan {
	for _, m := range chunks {
		spans = endpoint.AddSpan(spans, m.version, m.tokens)
	}
	return spans
}
