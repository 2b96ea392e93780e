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

// job is one run on its way through the queue and the endpoint.
type job struct {
	run    *results.Run
	req    *wire.Run
	item   *admission.Item
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer // fires at the deadline
	queued time.Time   // when it arrived
	// The rest is guarded by the agent's lock.
	deadline time.Time
	// started is when it got a slot, zero before; preempted says that it was
	// told to give it up.
	started   time.Time
	preempted bool
}

// Causes for which a job's context ends.
var (
	errDeadline = errors.New("the deadline passed")
	errUnwanted = errors.New("nobody waits for the run any more")
	errStalled  = errors.New("the engine stopped answering")
)

// enqueue puts a new run into the queue.
func (a *Agent) enqueue(now time.Time, run *results.Run, req *wire.Run) *api.Refusal {
	a.mu.Lock()
	if a.base == nil {
		a.mu.Unlock()
		return a.refuseRetry(api.CodeDraining, api.NotRunTrue, stepAdmit, "the agent does not run")
	}
	if a.draining { // it may have begun since the run was let in
		defer a.mu.Unlock()
		return a.drainingRefusal()
	}
	j := a.newJob(now, run, req)
	if refusal := a.queue.Push(now, j.item); refusal != nil {
		a.mu.Unlock()
		j.cancel(errUnwanted)
		return refusal
	}
	a.jobs[run] = j
	j.timer = time.AfterFunc(j.deadline.Sub(now), func() { a.expire(j) })
	a.mu.Unlock()
	a.changed.Fire()
	run.OnEnd(func() { a.abandon(j, errUnwanted) })
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

// budget is the time that the request has: its own, its row's, or the default.
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

// dispatch starts as many waiting runs as the endpoint has slots for.
func (a *Agent) dispatch() {
	for {
		a.mu.Lock()
		item, expired := a.queue.Pop(time.Now(), a.modelReady)
		if item != nil {
			j := item.Value.(*job)
			j.started = time.Now()
			a.engine.count(item.Model, 1)
			a.tasks.Go(func() { a.execute(j) })
		} else {
			a.preempt()
		}
		a.mu.Unlock()
		for _, it := range expired {
			a.expired(it.Value.(*job))
		}
		if item == nil {
			return
		}
	}
}

// execute runs a job that has a slot, and gives the slot back.
func (a *Agent) execute(j *job) {
	tokens := 0
	if refusal := a.stale(j); refusal != nil {
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

// stale refuses a generation whose engine has too old weights, before it starts.
func (a *Agent) stale(j *job) *api.Refusal {
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

// release frees the job's slot and starts what waits.
func (a *Agent) release(j *job, tokens int) {
	a.mu.Lock()
	a.queue.Done(time.Now(), j.item, tokens)
	a.engine.count(j.item.Model, -1)
	a.forgetJob(j)
	a.consider(time.Now(), j.item.Model)
	a.mu.Unlock()
	j.cancel(errUnwanted)
	a.changed.Fire()
	a.settled.Fire()
	a.dispatch()
}

func (a *Agent) forgetJob(j *job) {
	delete(a.jobs, j.run)
	if j.timer != nil {
		j.timer.Stop()
	}
}

// dequeue takes a waiting job out; false says that it waits no more.
func (a *Agent) dequeue(j *job) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.queue.Remove(j.item) {
		return false
	}
	a.forgetJob(j)
	return true
}

// abandon takes a job out of the queue or cancels it on the endpoint.
func (a *Agent) abandon(j *job, cause error) {
	a.dequeue(j)
	j.cancel(cause)
	a.changed.Fire()
	a.settled.Fire()
}

// expire ends a job at its deadline.
func (a *Agent) expire(j *job) {
	a.mu.Lock()
	left := time.Until(j.deadline)
	if left > 0 { // it was extended
		j.timer.Reset(left)
		a.mu.Unlock()
		return
	}
	a.mu.Unlock()
	if a.dequeue(j) {
		a.expired(j)
		return
	}
	j.cancel(errDeadline)
}

// expired refuses a job whose deadline passed in the queue.
func (a *Agent) expired(j *job) {
	a.mu.Lock()
	a.forgetJob(j)
	a.mu.Unlock()
	j.run.Refuse(time.Now(), a.refuse(api.CodeDeadline, api.NotRunTrue, stepQueue, "the deadline passed in the queue"))
	j.cancel(errDeadline)
	a.changed.Fire()
	a.settled.Fire()
}

// extend gives a run that was attached to the longer of the two deadlines.
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

// everyItem matches all items of a queue.
func everyItem(*admission.Item) bool { return true }

// refuseQueued takes the waiting runs that match out with one reason, so that
// they are placed elsewhere. Match is called under the agent's lock.
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
		j.cancel(errUnwanted)
	}
	if len(items) > 0 {
		a.changed.Fire()
		a.settled.Fire()
	}
}

// notStarted says whether the error proves that the endpoint did not run the request.
func notStarted(err error) bool {
	var e *endpoint.NotStartedError
	return errors.As(err, &e)
}

func (a *Agent) logRun(j *job) *logrus.Entry {
	return a.log.WithFields(logrus.Fields{observe.FieldRequest: j.run.ID(), observe.FieldRow: j.req.Row, observe.FieldSample: j.req.Key})
}
