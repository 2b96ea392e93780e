package batch

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
)

// Causes for which a run is stopped.
var (
	errJobEnded = errors.New("batch: the job has ended")
	errGiven    = errors.New("batch: given to another agent")
	errStalled  = errors.New("batch: no event for too long")
	errReborn   = errors.New("batch: the engine started again")
	errExpired  = errors.New("batch: the item's time is up")
)

const (
	// stallTimeout is how long a run may go without an event. Events come every
	// 40 ms, on an engine that is slowed down tenfold every 400 ms; the first
	// one also waits for the prompt to be read.
	stallTimeout = 1500 * time.Millisecond
	// busyPause is the pause before an engine that did not take a run is asked again.
	busyPause = 40 * time.Millisecond
	// maxBreaks is how many broken answers without any event in between an item
	// may meet here before another agent is asked to take it. It does not come back.
	maxBreaks = 2
)

// task is an item that is held here.
type task struct {
	j     *workJob
	item  *Item
	index int
	// text are the events so far, versions those that generated them.
	text     []string
	versions []uint64
	// lineage names the text; saved is how many of its events are in the store.
	lineage string
	saved   int
	// whole says that the text has its last event; such a task waits for its
	// score or for its result to be appended, and needs the engine no more.
	whole bool
	// failures counts the engine's failures, breaks its broken answers since
	// the last event.
	failures int
	breaks   int
	// rewardFailures counts the failures that the reward call was answered
	// with, by all holders of the item as far as is known.
	rewardFailures int
	// savedWhole says that the store knows the text as whole, savedFailures how
	// many failures of the reward call it knows of.
	savedWhole    bool
	savedFailures int
	// avoid are engines where it broke off again and again.
	avoid []string
	// notBefore is when it may be sent again.
	notBefore time.Time
	// cancel stops the run, or the scoring of a whole text; nil while none of
	// them goes on.
	cancel context.CancelCauseFunc
	// stopped is closed when the run or the scoring has ended.
	stopped chan struct{}
	// engineBorn is the birth of the engine that it was last sent to.
	engineBorn int64
	// finished says that the outbox has the result.
	finished bool
}

// compareTasks orders tasks by when they should start: those of the older job
// first, since a trainer's next step waits for it; within a job those that ran
// before, then the longest, since the longest decides when a job is done.
func compareTasks(a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.j.job.Accepted, b.j.job.Accepted),
		cmp.Compare(len(b.text), len(a.text)),
		cmp.Compare(b.item.expected(), a.item.expected()),
		cmp.Compare(a.item.ID, b.item.ID),
	)
}

// stop ends the run if there is one. It is called with the worker's mu held.
func (t *task) stop(cause error) {
	if t.cancel != nil {
		t.cancel(cause)
	}
}

// fits reports whether the text may be used under the job's bounds.
func (t *task) fits() bool { return t.j.job.fits(t.versions) }

// fits reports whether text of some versions may be used in the job.
func (j *Job) fits(versions []uint64) bool {
	if len(versions) == 0 {
		return true
	}
	if slices.Min(versions) < j.MinVersion {
		return false
	}
	return !j.SingleVersion || len(versions) == 1
}

// restart drops the text.
func (t *task) restart() {
	t.text, t.versions, t.whole = nil, nil, false
	t.beginLineage()
}

// beginLineage names the text anew, so that the store knows nothing of it yet.
func (t *task) beginLineage() {
	t.lineage, t.saved, t.savedWhole, t.savedFailures = newLineage(), 0, false, 0
}

// newLineage names a new text.
func newLineage() string { return uuid.NewString() }

// add takes an event.
func (t *task) add(e Event) {
	t.text = append(t.text, e.Data)
	t.breaks = 0
	if !slices.Contains(t.versions, e.Version) {
		t.versions = append(t.versions, e.Version)
	}
}

func (t *task) fields() logrus.Fields {
	return logrus.Fields{
		observe.FieldItem: t.item.ID, observe.FieldJob: t.j.job.ID, "events": len(t.text),
		"versions": t.versions, "failures": t.failures, "breaks": t.breaks,
	}
}

// schedule starts what waits whenever something changes.
func (w *Worker) schedule(ctx context.Context) {
	for ctx.Err() == nil {
		next := w.startWaiting(ctx)
		select {
		case <-ctx.Done():
		case <-w.changed:
		case <-time.After(next):
		}
	}
}

// idleCheck is how often the scheduler looks by itself.
const idleCheck = 200 * time.Millisecond

// startWaiting starts what can start and says when to look again.
func (w *Worker) startWaiting(ctx context.Context) time.Duration {
	instance, ok := w.instance()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !ok || !w.engine.up || w.stopping {
		return idleCheck
	}
	now := time.Now()
	next := idleCheck
	for i := 0; i < len(w.waiting) && len(w.running) < instance.Slots; {
		t := w.waiting[i]
		if wait := t.notBefore.Sub(now); wait > 0 {
			next = min(next, wait)
			i++
			continue
		}
		if !w.engine.serves(t.j.job) {
			i++
			continue
		}
		w.waiting = slices.Delete(w.waiting, i, i+1)
		w.start(ctx, t, instance)
	}
	return next
}

// start runs a task. It is called with w.mu held.
func (w *Worker) start(ctx context.Context, t *task, instance fleet.Instance) {
	ctx, t.cancel = context.WithCancelCause(ctx)
	t.stopped = make(chan struct{})
	if !t.fits() {
		t.restart()
	}
	w.running[t] = struct{}{}
	t.engineBorn = w.engine.born
	run := Run{
		Addr: instance.Addr, Instance: instance.ID, Host: t.j.job.Host, Item: t.item, After: len(t.text),
		Deadline: w.timeLeft(t.j.job),
	}
	w.Log.WithFields(t.fields()).WithFields(logrus.Fields{
		"instance": instance.ID, "running": len(w.running), "slots": instance.Slots, "waiting": len(w.waiting),
	}).Info("item sent")
	go func() {
		began := time.Now()
		err := w.stream(ctx, t, run)
		w.settle(ctx, t, err, time.Since(began))
	}()
}

// timeLeft is how long an item of a job may still run.
func (w *Worker) timeLeft(job *Job) time.Duration {
	now, ok := w.Now()
	if !ok {
		return job.ItemTTL
	}
	return max(time.Second, job.ItemTTL-(now-job.Accepted))
}

// stream reads a run's answer to its end; nil says that the answer is whole.
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
		w.engine.observe(t.j.job.Model, event.Version, now.Sub(last), event.ID > run.After+1)
		fits := t.fits()
		w.mu.Unlock()
		last = now
		if !fits {
			return errVersion
		}
	}
}

var errVersion = errors.New("batch: weight version out of the job's bounds")

// cause prefers the reason for which ctx was cancelled.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// settle decides what follows from the end of a run.
func (w *Worker) settle(ctx context.Context, t *task, err error, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(t.stopped)
	defer w.wake()
	delete(w.running, t)
	stopped := context.Cause(ctx)
	t.cancel(nil)
	t.cancel = nil
	log := w.Log.WithFields(t.fields()).WithField("took_ms", took.Milliseconds())
	switch {
	case err == nil:
		w.engine.up = true
		log.Info("item done")
		w.textWhole(t)
		return
	case errors.Is(stopped, errJobEnded), errors.Is(stopped, errGiven), w.ctx.Err() != nil:
		w.forget(t)
		return
	case errors.Is(stopped, errExpired):
		log.Warn("item given up: its time is up")
		w.finish(t, StateFailed, "")
		return
	}
	w.Counters.Retry(t.j.job.Route, retryReason(err))
	log.WithError(err).Info("item not done")
	w.again(t, err)
}

// again lets a task wait for another run, or fails it for good. It is called
// with w.mu held.
func (w *Worker) again(t *task, err error) {
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
		t.notBefore = t.notBefore.Add(busyPause)
	case errors.Is(err, errVersion):
		t.restart()
		t.notBefore = t.notBefore.Add(busyPause)
	case errors.Is(err, errReborn):
	default: // broken or stalled
		t.breaks++
		if errors.Is(err, errStalled) {
			w.engine.stalled()
		}
		t.notBefore = t.notBefore.Add(busyPause << min(t.breaks, 4))
	}
	if t.j.ended {
		w.forget(t)
		return
	}
	at, _ := slices.BinarySearchFunc(w.waiting, t, compareTasks)
	w.waiting = slices.Insert(w.waiting, at, t)
}

// finish hands a result to the outbox. It is called with w.mu held.
func (w *Worker) finish(t *task, state State, score string) {
	t.finished = true
	r := Result{ID: t.item.ID, State: state}
	if state == StateDone {
		r.Output, r.Versions, r.Score = strings.Join(t.text, "\n"), t.versions, score
	}
	t.j.outbox.put(t.index, r)
}

// forget lets go of a task. It is called with w.mu held.
func (w *Worker) forget(t *task) {
	if t.j.tasks[t.index] == t {
		delete(t.j.tasks, t.index)
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(o *task) bool { return o == t })
}

// Reasons for which an item is run again.
const (
	reasonNotRun  = "not_run"
	reasonFailed  = "failed"
	reasonVersion = "version"
	reasonStalled = "stalled"
	reasonReborn  = "engine_started_again"
	reasonBroken  = "broken"
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
	case errors.Is(err, errReborn):
		return reasonReborn
	}
	return reasonBroken
}
