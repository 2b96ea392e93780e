package batch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
)

// schedule starts waiting tasks, at each wake-up and at least every scheduleInterval,
// until ctx is done.
func (w *Worker) schedule(ctx context.Context) {
	for ctx.Err() == nil {
		next := w.startWaiting(ctx)
		select {
		case <-ctx.Done():
		case <-w.wakeup:
		case <-time.After(next):
		}
	}
}

// scheduleInterval is the maximum time between two runs of the scheduler.
const scheduleInterval = 200 * time.Millisecond

// startWaiting starts the waiting tasks that can run now and returns the time until
// the next run of the scheduler.
func (w *Worker) startWaiting(ctx context.Context) time.Duration {
	instance, ok := w.instance()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.logIdleItems(instance, ok, now)
	if w.engineWaitReason(ok) != "" {
		return scheduleInterval
	}
	next := scheduleInterval
	for _, t := range w.startOrder(instance.Slots) {
		if len(w.running) >= instance.Slots {
			break
		}
		reason := w.itemWaitReason(t, now)
		if reason == waitRetryPause {
			next = min(next, t.notBefore.Sub(now))
		}
		if reason != "" {
			continue
		}
		w.waiting = slices.DeleteFunc(w.waiting, func(o *task) bool { return o == t })
		w.start(ctx, t, instance)
	}
	return next
}

// start sends a task to the engine. It is called with w.mu held.
func (w *Worker) start(ctx context.Context, t *task, instance fleet.Instance) {
	ctx, t.cancel = context.WithCancelCause(ctx)
	t.stopped = make(chan struct{})
	if !t.textAllowed() {
		t.discardText()
	}
	w.running[t] = struct{}{}
	t.sentTo = fleet.Incarnation{ID: instance.ID, StartedAt: w.engine.startedAt}
	run := Run{
		Addr: instance.Addr, Instance: instance.ID, Host: t.j.job.Host, Organisation: t.j.job.Organisation, Item: t.item, LastEventID: len(t.text),
		Deadline: w.timeLeft(t.j.job),
	}
	w.Log.WithFields(t.fields()).WithFields(logrus.Fields{
		"instance": instance.ID, "running": len(w.running), "slots": instance.Slots, "waiting": len(w.waiting),
	}).Info("item sent")
	go func() {
		began := time.Now()
		err := w.stream(ctx, t, run)
		took := time.Since(began)
		w.handleRunEnd(ctx, t, run.LastEventID, err, took)
	}()
}

// timeLeft returns the time left until the items of a job expire, at least a second.
func (w *Worker) timeLeft(job *Job) time.Duration {
	now, ok := w.Now()
	if !ok {
		return job.ItemTTL
	}
	return max(time.Second, job.ItemTTL-(now-job.Accepted))
}
