package agent

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/admission"
	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/observe"
	"mulberryscale.example/results"
	"mulberryscale.example/wire"
)

// job is a run in the queue or on the endpoint.
type job struct {
	run    *results.Run
	req    *wire.Run
	item   *admission.Item
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer // fires at the deadline
	queued time.Time   // when it entered the queue
	// The fields below are guarded by Agent.mu.
	deadline time.Time
	// started is when the job got a slot, zero before that. preempted is true once
	// the job was cancelled to free its slot for an interactive request.
	started   time.Time
	preempted bool
}

// Causes of the cancellation of a job's context.
var (
	errDeadline  = errors.New("the deadline passed")
	errAbandoned = errors.New("nobody waits for the run any more")
	errStalled   = errors.New("the engine stopped answering")
)

// enqueue queues a new run, or returns the refusal if the queue does not admit it.
func (a *Agent) enqueue(now time.Time, run *results.Run, req *wire.Run) *api.Refusal {
	a.mu.Lock()
	if a.base == nil {
		a.mu.Unlock()
		return a.refuseRetry(api.CodeDraining, api.NotRunTrue, stepAdmit, "the agent does not run")
	}
	if a.draining { // the drain may have begun after the check in admissionRefusal
		defer a.mu.Unlock()
		return a.drainingRefusal()
	}
	j := a.newJob(now, run, req)
	if refusal := a.queue.Push(now, j.item); refusal != nil {
		a.mu.Unlock()
		j.cancel(errAbandoned)
		return refusal
	}
	a.jobs[run] = j
	j.timer = time.AfterFunc(j.deadline.Sub(now), func() { a.expire(j) })
	a.mu.Unlock()
	a.changed.Fire()
	run.OnAbort(func() { a.abandon(j, errAbandoned) })
	return nil
}

func (a *Agent) newJob(now time.Time, run *results.Run, req *wire.Run) *job {
	j := &job{run: run, req: req, queued: now, deadline: now.Add(a.budget(req))}
	j.ctx, j.cancel = context.WithCancelCause(a.base)
	j.item = &admission.Item{
		Row:      req.Row,
		Class:    req.Class,
		Tokens:   expectedTokens(req),
		Bytes:    runBytes(req),
		Deadline: j.deadline,
		Value:    j,
	}
	if req.Generate != nil {
		j.item.Model = req.Generate.Model
	}
	if row, ok := a.cfg.Holder.Current().Row(req.Row); ok {
		j.item.Share = row.Share
		j.item.MaxQueue = row.MaxQueue
	}
	return j
}

// budget returns the request's time limit: its own, else its row's, else the default.
func (a *Agent) budget(req *wire.Run) time.Duration {
	if req.Budget > 0 {
		return req.Budget
	}
	if row, ok := a.cfg.Holder.Current().Row(req.Row); ok && row.Deadline > 0 {
		return row.Deadline
	}
	return a.cfg.Budget
}

func expectedTokens(req *wire.Run) int {
	if req.ExpectedTokens > 0 {
		return req.ExpectedTokens
	}
	if g := req.Generate; g != nil {
		return max(g.MaxTokens-countTokens(g.PrefixSpans), 1)
	}
	return 1
}

// dispatch starts queued runs while the endpoint has free slots, and preempts samples
// if interactive requests are still queued then.
func (a *Agent) dispatch() {
	for {
		a.mu.Lock()
		item, expired := a.queue.Pop(time.Now(), a.modelReady)
		if item != nil {
			j := item.Value.(*job)
			j.started = time.Now()
			a.engine.addRunning(item.Model, 1)
			a.tasks.Go(func() { a.execute(j) })
		} else {
			a.preempt()
		}
		a.mu.Unlock()
		for _, it := range expired {
			a.refuseExpired(it.Value.(*job))
		}
		if item == nil {
			return
		}
	}
}

// execute runs a job that has a slot on the endpoint, and releases the slot.
func (a *Agent) execute(j *job) {
	tokens := 0
	if refusal := a.staleRefusal(j); refusal != nil {
		j.run.Refuse(time.Now(), refusal)
	} else if j.run.Start() {
		a.logRun(j).Debug("run starts")
		began := time.Now()
		a.cfg.Counters.Observe(observe.NameQueueWait, j.req.Row, began.Sub(j.queued))
		tokens = a.runOnEndpoint(j)
		a.cfg.Counters.Observe(observe.NameRunTime, j.req.Row, time.Since(began))
	}
	a.release(j, tokens)
}

func (a *Agent) runOnEndpoint(j *job) (tokens int) {
	if j.req.Generate != nil {
		return a.generate(j)
	}
	a.call(j)
	return 1
}

// staleRefusal returns a refusal if the engine's weights are too old for the job's
// generation, which has not started.
func (a *Agent) staleRefusal(j *job) *api.Refusal {
	if j.req.Generate == nil || j.req.MinVersion == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.engine.models[j.req.Generate.Model]
	if ok && m.version >= j.req.MinVersion {
		return nil
	}
	return a.refuseRetry(api.CodeStale, api.NotRunTrue, stepQueue, "the engine's weights are older than the staleness bound")
}

// release frees the job's slot and starts queued runs.
func (a *Agent) release(j *job, tokens int) {
	a.mu.Lock()
	a.queue.Done(time.Now(), j.item, tokens)
	a.engine.addRunning(j.item.Model, -1)
	a.forgetJob(j)
	a.reconcile(time.Now(), j.item.Model)
	a.mu.Unlock()
	j.cancel(errAbandoned)
	a.changed.Fire()
	a.finished.Fire()
	a.dispatch()
}

func (a *Agent) forgetJob(j *job) {
	delete(a.jobs, j.run)
	if j.timer != nil {
		j.timer.Stop()
	}
}

// dequeue removes a job from the queue. It returns false if the job is not queued.
func (a *Agent) dequeue(j *job) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.queue.Remove(j.item) {
		return false
	}
	a.forgetJob(j)
	return true
}

// abandon removes a job from the queue, or cancels it if it runs on the endpoint.
func (a *Agent) abandon(j *job, cause error) {
	a.dequeue(j)
	j.cancel(cause)
	a.changed.Fire()
	a.finished.Fire()
}

// expire refuses a queued job, or cancels a running one, when its deadline has passed.
func (a *Agent) expire(j *job) {
	a.mu.Lock()
	left := time.Until(j.deadline)
	if left > 0 { // the deadline was extended
		j.timer.Reset(left)
		a.mu.Unlock()
		return
	}
	a.mu.Unlock()
	if a.dequeue(j) {
		a.refuseExpired(j)
		return
	}
	j.cancel(errDeadline)
}

// refuseExpired refuses a job that was in the queue when its deadline passed.
func (a *Agent) refuseExpired(j *job) {
	a.mu.Lock()
	a.forgetJob(j)
	a.mu.Unlock()
	j.run.Refuse(time.Now(), a.refuse(api.CodeDeadline, api.NotRunTrue, stepQueue, "the deadline passed in the queue"))
	j.cancel(errDeadline)
	a.changed.Fire()
	a.finished.Fire()
}

// extend moves a run's deadline to budget after now, for a request that has attached
// to the run. It never shortens the time limit; without a budget it does nothing.
func (a *Agent) extend(now time.Time, run *results.Run, budget time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j, ok := a.jobs[run]
	if !ok || budget <= 0 {
		return
	}
	if d := now.Add(budget); d.After(j.deadline) {
		j.deadline = d
		j.item.Deadline = d
	}
}

// everyItem matches all queued items.
func everyItem(*admission.Item) bool { return true }

// refuseQueued removes the queued runs that match from the queue and refuses them, so
// that they are placed elsewhere. match is called with a.mu held.
func (a *Agent) refuseQueued(refusal *api.Refusal, match func(*admission.Item) bool) {
	a.mu.Lock()
	items := a.queue.RemoveMatching(match)
	for _, it := range items {
		a.forgetJob(it.Value.(*job))
	}
	a.mu.Unlock()
	for _, it := range items {
		j := it.Value.(*job)
		j.run.Refuse(time.Now(), refusal)
		j.cancel(errAbandoned)
	}
	if len(items) > 0 {
		a.changed.Fire()
		a.finished.Fire()
	}
}

// notStarted reports whether the error proves that the endpoint did not run the request.
func notStarted(err error) bool {
	var e *endpoint.NotStartedError
	return errors.As(err, &e)
}

func (a *Agent) logRun(j *job) *logrus.Entry {
	return a.log.WithFields(logrus.Fields{observe.FieldRequest: j.run.ID(), observe.FieldRow: j.req.Row, observe.FieldSample: j.req.Key})
}
