package batch

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"time"
)

// Causes for which a run is cancelled.
var (
	errJobEnded        = errors.New("batch: the job has ended")
	errHandedOver      = errors.New("batch: handed over to another agent")
	errStalled         = errors.New("batch: no event for too long")
	errEngineRestarted = errors.New("batch: the engine restarted")
	errExpired         = errors.New("batch: the item has expired")
)

const (
	// stallTimeout is how long a run may go without an event. Events come every
	// 40 ms, on an engine that is slowed down tenfold every 400 ms; the first one
	// also waits for the engine to process the prompt.
	stallTimeout = 1500 * time.Millisecond
	// runRetryPause is the backoff before a run that the engine did not take is retried.
	runRetryPause = 40 * time.Millisecond
	// maxBrokenAnswers is the number of broken or stalled answers, without any event in
	// between, after which an item is handed over to another agent. It is not handed
	// back to this one.
	maxBrokenAnswers = 2
)

// stream starts a run and reads its events; nil means that the answer is complete.
func (w *Worker) stream(ctx context.Context, t *task, run Run) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	s, err := w.Engines.Start(ctx, run)
	if err != nil {
		return cause(ctx, err)
	}
	defer s.Close()
	last := time.Now()
	if p, ok := s.(PaceReporter); ok {
		w.mu.Lock()
		w.engine.speed.pace.Observe(last, p.Pace())
		w.mu.Unlock()
	}
	for {
		event, err := s.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return cause(ctx, err)
		}
		now := time.Now()
		stall.Reset(stallTimeout)
		w.mu.Lock()
		t.add(event)
		w.engine.recordEvent(t.j.job.Model, event.Version, now.Sub(last), event.ID > run.LastEventID+1)
		if event.ID > run.LastEventID+1 {
			w.engine.speed.pace.ObserveGap(now, now.Sub(last))
		}
		allowed := t.textAllowed()
		w.mu.Unlock()
		last = now
		if !allowed {
			return errVersion
		}
	}
}

var errVersion = errors.New("batch: weight version out of the job's bounds")

// cause returns the cause for which ctx was cancelled, or err if it was not.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// handleRunEnd scores, finishes, removes or retries a task after its run returned, which began
// after resumedFrom events of its text.
func (w *Worker) handleRunEnd(ctx context.Context, t *task, resumedFrom int, err error, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(t.stopped)
	defer w.wake()
	delete(w.running, t)
	stopped := context.Cause(ctx)
	t.cancel(nil)
	t.cancel = nil
	if !errors.Is(err, ErrNotRun) {
		t.idleSince = time.Now()
	}
	log := w.Log.WithFields(t.fields()).WithField("took_ms", took.Milliseconds())
	switch {
	case err == nil:
		w.engine.up = true
		if resumedFrom == 0 {
			w.pace.observe(t.item.expectedWork(), took)
			w.engine.speed.recordRun(time.Now(), t.item.expectedWork(), len(t.text), took)
		}
		log.Info("item done")
		w.scoreOrFinish(t)
		return
	case errors.Is(stopped, errJobEnded), errors.Is(stopped, errHandedOver), w.ctx.Err() != nil:
		w.removeTask(t)
		return
	case errors.Is(stopped, errExpired):
		log.Warn("item given up: its time is up")
		w.finish(t, StateFailed, "")
		return
	}
	w.Counters.Retry(t.j.job.Route, retryReason(err))
	log.WithError(err).Info("item not done")
	w.retryOrFail(t, err)
}

// retryOrFail queues a task for another run, or finishes it as failed. It is called
// with w.mu held.
func (w *Worker) retryOrFail(t *task, err error) {
	t.notBefore = time.Now()
	switch {
	case errors.Is(err, ErrImpossible):
		w.finish(t, StateFailed, "")
		return
	case errors.Is(err, ErrFailed):
		t.failures++
		if t.failures >= t.j.job.MaxAttempts {
			w.finish(t, StateFailed, "")
			return
		}
	case errors.Is(err, ErrNotRun):
		if errors.Is(err, ErrMisdirected) {
			w.View.ReportStale()
		}
		if errors.Is(err, ErrUnreachable) {
			w.markEngineDown(err)
		}
		t.notBefore = t.notBefore.Add(runRetryPause)
	case errors.Is(err, errVersion):
		t.discardText()
		t.notBefore = t.notBefore.Add(runRetryPause)
	case errors.Is(err, errEngineRestarted):
	default: // broken or stalled
		t.brokenAnswers++
		if errors.Is(err, errStalled) {
			w.engine.recordStall()
		}
		t.notBefore = t.notBefore.Add(runRetryPause << min(t.brokenAnswers, 4))
	}
	if t.j.ended {
		w.removeTask(t)
		return
	}
	at, _ := slices.BinarySearchFunc(w.waiting, t, compareTasks)
	w.waiting = slices.Insert(w.waiting, at, t)
}

// finish puts a task's result into the outbox. It is called with w.mu held.
func (w *Worker) finish(t *task, state State, score string) {
	t.finished = true
	r := Result{ID: t.item.ID, State: state, Group: t.item.Group}
	if state == StateDone {
		r.Output, r.Versions, r.Score = strings.Join(t.text, "\n"), t.versions, score
	}
	t.j.outbox.put(t.index, r)
}

// removeTask removes a task from its job and from the waiting ones. It is called with
// w.mu held.
func (w *Worker) removeTask(t *task) {
	if t.j.tasks[t.index] == t {
		delete(t.j.tasks, t.index)
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(o *task) bool { return o == t })
}

// Reasons for which a run is retried.
const (
	reasonNotRun          = "not_run"
	reasonFailed          = "failed"
	reasonVersion         = "version"
	reasonStalled         = "stalled"
	reasonEngineRestarted = "engine_started_again"
	reasonBroken          = "broken"
)

func retryReason(err error) string {
	switch {
	case errors.Is(err, ErrNotRun):
		return reasonNotRun
	case errors.Is(err, ErrFailed), errors.Is(err, ErrImpossible):
		return reasonFailed
	case errors.Is(err, errVersion):
		return reasonVersion
	case errors.Is(err, errStalled):
		return reasonStalled
	case errors.Is(err, errEngineRestarted):
		return reasonEngineRestarted
	}
	return reasonBroken
}
