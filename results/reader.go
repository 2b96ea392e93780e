package results

import (
	"context"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/wire"
)

// Event is one item that a reader receives; exactly one field is set. Done or
// Refusal is the last event.
type Event struct {
	Chunk   *wire.Chunk
	Done    *wire.Done
	Refusal *api.Refusal
}

// Reader follows one run. It is used by one goroutine at a time.
type Reader struct {
	run *Run
	// attached is true when the run existed before the reader. Then sendWhole is
	// true until the reader has got all the text so far.
	attached   bool
	sendWhole  bool
	bytesRead  int
	chunksRead int
	closed     bool
}

// Run returns the run that the reader follows.
func (r *Reader) Run() *Run { return r.run }

// Attached reports whether the run existed before this reader.
func (r *Reader) Attached() bool { return r.attached }

// Next waits for the run's next event. A reader that attached to an existing run
// gets all the text so far as its first chunk, marked Whole. A slow reader gets
// several appended chunks as one. The error is that of ctx.
func (r *Reader) Next(ctx context.Context) (Event, error) {
	for {
		event, changed, ok := r.poll()
		if ok {
			return event, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Event{}, ctx.Err()
		}
	}
}

func (r *Reader) poll() (Event, <-chan struct{}, bool) {
	run := r.run
	run.store.mu.Lock()
	defer run.store.mu.Unlock()
	if run.done != nil {
		return Event{Done: run.done}, nil, true
	}
	if r.sendWhole {
		return r.takeWhole(), nil, true
	}
	if r.chunksRead < len(run.chunks) {
		return r.takeNew(), nil, true
	}
	if run.refusal != nil {
		return Event{Refusal: run.refusal}, nil, true
	}
	return Event{}, run.changed, false
}

func (r *Reader) takeWhole() Event {
	run := r.run
	r.sendWhole = false
	r.bytesRead, r.chunksRead = len(run.text), len(run.chunks)
	return Event{Chunk: &wire.Chunk{Text: string(run.text), Spans: run.spans(), Whole: true}}
}

func (r *Reader) takeNew() Event {
	run := r.run
	chunk := &wire.Chunk{
		Text:  string(run.text[r.bytesRead:]),
		Spans: spansOf(nil, run.chunks[r.chunksRead:]),
	}
	r.bytesRead, r.chunksRead = len(run.text), len(run.chunks)
	return Event{Chunk: chunk}
}

// MarkDelivered records that the run's result has been passed on to the caller.
func (r *Reader) MarkDelivered() {
	r.run.store.mu.Lock()
	defer r.run.store.mu.Unlock()
	r.run.delivered = true
}

// Close detaches the reader from the run. A run without readers and without a
// retention time is cancelled, except a non-idempotent run that has started: the
// outcome of a cancelled call would be unknown.
func (r *Reader) Close(now time.Time) {
	if onAbort := r.detach(now); onAbort != nil {
		onAbort()
	}
}

func (r *Reader) detach(now time.Time) (onAbort func()) {
	run := r.run
	s := run.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.closed {
		return nil
	}
	r.closed = true
	run.readers--
	if run.readers > 0 {
		return nil
	}
	run.idleSince = now
	if run.final {
		if !run.shouldKeep() {
			s.drop(run)
		}
		return nil
	}
	if run.retention > 0 || (run.nonIdempotent && run.started) {
		return nil
	}
	return run.cancel(now)
}

// cancel cancels the run. The caller holds store.mu and calls the returned
// function, if any, after it has released the lock.
func (r *Run) cancel(now time.Time) (onAbort func()) {
	if !r.fire(triggerCancel) {
		return nil
	}
	notRun := r.store.notRun(r.key, r.nonIdempotent)
	if r.started {
		notRun = api.NotRunFalse
	}
	r.refusal = r.store.refuse(api.CodeCancelled, "nobody waits for the run any more", notRun)
	return r.finalize(now)
}
