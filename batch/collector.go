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
	// collectInterval is the mean pause between two removals of one process, and
	// collectMargin how much longer than owed a job is kept.
	collectInterval = 5 * time.Second
	collectMargin   = 30 * time.Second
	// openRetention is how long a job that nobody ended is kept.
	openRetention = 15 * time.Minute
)

// Collector removes jobs whose results are no longer owed, so that the store
// does not fill up. Every entry runs one; removing a job twice does no harm. It
// is a store.Watcher of TableJobs.
type Collector struct {
	Ledger *Ledger
	// Retention is how long after its submission an ended job's results are owed.
	Retention time.Duration
	Now       func() (time.Duration, bool)
	Log       logrus.FieldLogger

	mu   sync.Mutex
	jobs map[string]*trackedJob
}

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

// Lost implements store.Watcher; whoever follows the same table logs it.
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
		if job, err := DecodeJob(row.Value); err == nil { // its reader logs an unreadable one
			c.jobs[id].job = job
		}
	}
}

// Run removes one job at a time until ctx ends.
func (c *Collector) Run(ctx context.Context) {
	for pause.Sleep(ctx, time.Duration(float64(collectInterval)*(0.5+rand.Float64()))) == nil {
		job := c.expired()
		if job == nil {
			continue
		}
		err := c.Ledger.Remove(ctx, job)
		c.Log.WithError(err).WithField(observe.FieldJob, job.ID).Info("job removed")
	}
}

// expired picks a job that is no longer owed, at random.
func (c *Collector) expired() *Job {
	now, ok := c.Now()
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.jobs { // a map's order is random
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
