package batch

import (
	"fmt"
	"time"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/observe"
)

// appendInterval is the minimum time between two appends of one process to one
// job. A job's part of the store takes 150 transactions a second from all
// processes together; callers poll about twice a second.
const appendInterval = 60 * time.Millisecond

// outbox appends the results of a job to the store in batches. Its fields are
// guarded by the worker's mu.
type outbox struct {
	w       *Worker
	j       *workJob
	pending []pendingResult
	sending bool
	batches int
}

type pendingResult struct {
	index  int
	result Result
}

func newOutbox(w *Worker, j *workJob) *outbox { return &outbox{w: w, j: j} }

// put queues a result for the next append. It is called with w.mu held.
func (o *outbox) put(index int, r Result) {
	o.pending = append(o.pending, pendingResult{index, r})
	if o.sending {
		return
	}
	o.sending = true
	go o.send()
}

// send appends batches until none is pending. A batch whose outcome is unknown is
// sent again under the same name until the outcome is known.
func (o *outbox) send() {
	for {
		o.w.mu.Lock()
		batch, name := o.next()
		if len(batch) == 0 {
			o.sending = false
			o.w.mu.Unlock()
			return
		}
		o.w.mu.Unlock()
		began := time.Now()
		results := make([]Result, len(batch))
		for i := range batch {
			results[i] = batch[i].result
		}
		err := o.w.Ledger.Append(o.w.ctx, o.j.job.ID, name, results)
		o.appended(batch, err, time.Since(began))
		if pause.Sleep(o.w.ctx, max(0, appendInterval-time.Since(began))) != nil {
			return
		}
	}
}

// next removes from pending a batch that fits into one transaction and returns it
// with its name. It is called with w.mu held.
func (o *outbox) next() ([]pendingResult, string) {
	n, bytes := 0, 0
	for n < len(o.pending) {
		bytes += o.pending[n].result.storedBytes()
		if n > 0 && bytes > maxAppendBytes {
			break
		}
		n++
	}
	batch := o.pending[:n:n]
	o.pending = o.pending[n:]
	o.batches++
	return batch, fmt.Sprintf("%s-%s-%06d", o.w.Node, o.w.Incarnation, o.batches)
}

// appended records the outcome of an append.
func (o *outbox) appended(batch []pendingResult, err error, took time.Duration) {
	log := o.w.Log.WithField(observe.FieldJob, o.j.job.ID).WithField("results", len(batch)).
		WithField("took_ms", took.Milliseconds())
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	for _, f := range batch {
		delete(o.j.tasks, f.index)
		if err == nil {
			o.j.done[f.index] = true
		}
	}
	if err != nil {
		log.WithError(err).Error("results not appended")
		return
	}
	o.w.Counters.Observe(observe.NameAppend, o.j.job.Route, took)
	log.Info("results appended")
}
