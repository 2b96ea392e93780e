package batch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
)

const (
	// collectInterval is the mean pause between two removals by one process; collectMargin
	// is how long jobs are kept beyond their retention.
	collectInterval = 5 * time.Second
	collectMargin   = 30 * time.Second
	// uploadSweepInterval is the mean pause between two sweeps of uploads by one process.
	uploadSweepInterval = time.Minute
	// openRetention is the least retention of a job that its client has not ended.
	openRetention = 15 * time.Minute
)

// Collector removes jobs that are past their retention and uploads whose jobs were never
// accepted, so that the store does not fill up. Every entry runs one; removing a job twice does
// no harm. It implements store.Watcher
// for TableJobs.
type Collector struct {
	Ledger *Ledger
	// Retention is how long after its acceptance an ended job and its results are kept.
	Retention time.Duration
	Now       func() (time.Duration, bool) // the store's clock; false before it is known
	Log       logrus.FieldLogger

	mu   sync.Mutex
	jobs map[string]*trackedJob
}

// trackedJob is a job in the store; job is nil until its row has been read.
type trackedJob struct {
	job   *Job
	ended bool
}

// Replace implements store.Watcher.
func (c *Collector) Replace(s store.Snapshot) {
	c.mu.Lock()
	c.jobs = nil
	c.mu.Unlock()
	c.Apply(s)
}

// Lost implements store.Watcher. The other watcher of the table logs the loss.
func (c *Collector) Lost(error) {}

// Apply implements store.Watcher.
func (c *Collector) Apply(s store.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs == nil {
		c.jobs = map[string]*trackedJob{}
	}
	for _, row := range s.Rows {
		id, end := ParseJobRowName(row.Name)
		if row.Deleted {
			delete(c.jobs, id)
			continue
		}
		if c.jobs[id] == nil {
			c.jobs[id] = &trackedJob{}
		}
		if end {
			c.jobs[id].ended = true
			continue
		}
		if job, err := DecodeJob(row.Value); err == nil { // the table's other watcher logs rows that cannot be decoded
			c.jobs[id].job = job
		}
	}
}

// Run removes expired jobs and abandoned uploads until ctx is cancelled.
func (c *Collector) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { repeat(ctx, collectInterval, c.removeExpired) })
	wg.Go(func() { repeat(ctx, uploadSweepInterval, c.sweepUploads) })
	wg.Wait()
}

// repeat calls a function until ctx is cancelled, with pauses of interval on average. Pauses are
// random, so that the calls of several processes spread out.
func repeat(ctx context.Context, interval time.Duration, do func(context.Context)) {
	for pause.Sleep(ctx, time.Duration(float64(interval)*(0.5+rand.Float64()))) == nil {
		do(ctx)
	}
}

// removeExpired removes one expired job.
func (c *Collector) removeExpired(ctx context.Context) {
	job := c.expired()
	if job == nil {
		return
	}
	err := c.Ledger.Remove(ctx, job)
	c.Log.WithError(err).WithField(observe.FieldJob, job.ID).Info("job removed")
}

func (c *Collector) sweepUploads(ctx context.Context) {
	if err := c.Ledger.removeAbandonedUploads(ctx); err != nil {
		c.Log.WithError(err).Warn("abandoned uploads not removed")
	}
}

// expired returns a job that is past its retention, chosen at random; nil if there is
// none.
func (c *Collector) expired() *Job {
	now, ok := c.Now()
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.jobs { // map iteration order is random
		if x.job == nil {
			continue
		}
		retention := c.Retention + collectMargin
		if !x.ended {
			retention = max(retention, openRetention)
		}
		if now-x.job.Accepted > retention {
			return x.job
		}
	}
	return nil
}
