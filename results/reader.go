package results

import (
	"context"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/wire"
)

// Event is what a reader gets next; exactly one field is set. Done and Refusal are the last.
type Event struct {
	Chunk   *wire.Chunk
	Done    *wire.Done
	Refusal *api.Refusal
}

// Reader follows one run. It is used by one goroutine at a time.
type Reader struct {
	run *Run
	// attached is true when the run existed before; whole is still to be sent then.
	attached bool
	whole    bool
	bytes    int
	marks    int
	closed   bool
}

// Run is the run that is read.
func (r *Reader) Run() *Run { return r.run }

// Attached says whether the run existed before this reader.
func (r *Reader) Attached() bool { return r.attached }

// Next waits for news of the run. A reader that attached gets all the text so
// far as its first chunk, marked Whole. A slow reader gets several appended
// chunks as one. The error is the context's.
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
	if r.whole {
		return r.takeWhole(), nil, true
	}
	if r.marks < len(run.marks) {
		return r.takeNew(), nil, true
	}
	if run.refusal != nil {
		return Event{Refusal: run.refusal}, nil, true
	}
	return Event{}, run.changed, false
}

func (r *Reader) takeWhole() Event {
	run := r.run
	r.whole = false
	r.bytes, r.marks = len(run.text), len(run.marks)
	return Event{Chunk: &wire.Chunk{Text: string(run.text), Spans: run.spans(), Whole: true}}
}

func (r *Reader) takeNew() Event {
	run := r.run
	chunk := &wire.Chunk{
		Text:  string(run.text[r.bytes:]),
		Spans: spansOf(nil, run.marks[r.marks:]),
	}
	r.bytes, r.marks = len(run.text), len(run.marks)
	return Event{Chunk: chunk}
}

// MarkDelivered notes that the run's result has been passed on.
func (r *Reader) MarkDelivered() {
	r.run.store.mu.Lock()
	defer r.run.store.mu.Unlock()
	r.run.delivered = true
}

// Close leaves the run. When nobody reads it any more and it does not linger,
// it is cancelled; a non-idempotent one goes on, since a cancelled call's
// outcome would be unknown.
func (r *Reader) Close(now time.Time) {
	if end := r.leave(now); end != nil {
		end()
	}
}

func (r *Reader) leave(now time.Time) (onEnd func()) {
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
		if !run.keep() {
			s.drop(run)
		}
		return nil
	}
	if run.linger > 0 || (run.nonIdempotent && run.started) {
		return nil
	}
	return run.cancel(now)
}

// cancel ends an unwanted run; the caller calls what it returns without the lock.
func (r *Run) cancel(now time.Time) (onEnd func()) {
	if !r.fire(triggerCancel) {
		return nil
	}
	notRun := r.store.notRun(r.key, r.nonIdempotent)
	if r.started {
		notRun = api.NotRunFalse
	}
	r.refusal = r.store.refuse(api.CodeCancelled, "nobody waits for the run any more", notRun)
	return r.ended(now)
}
