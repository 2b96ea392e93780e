package batch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/store"
)

// demandWindow is over how many of a model's last jobs its demand is averaged:
// estimates of lengths are wrong by half for one item, by a twentieth for the
// mean of some hundred, and the deal of engines should not follow noise. Of 41
// engines 36 change their model in 60 steps with the mean of 8 jobs, 10 with 16, 6
// with 24 or more (TestHalvesAreStable); the store keeps jobs for 150 s, in which
// a trainer that takes a step each 8 s submits 18, and all processes must see the same.
const demandWindow = 16

// Demand is how much work the jobs of each model are. All processes read it
// from the same rows. It is safe for concurrent use.
type Demand struct {
	mu       sync.Mutex
	jobs     map[string][]demandJob // by model, the newest last
	revision uint64                 // jobs seen so far
}

type demandJob struct {
	id       string
	accepted time.Duration
	work     int
}

// NewDemand returns a demand that knows no jobs.
func NewDemand() *Demand { return &Demand{jobs: map[string][]demandJob{}} }

// Add takes a job.
func (d *Demand) Add(job *Job) {
	if job.Model == "" || job.Work == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.jobs[job.Model]
	if slices.ContainsFunc(list, func(j demandJob) bool { return j.id == job.ID }) {
		return
	}
	list = append(list, demandJob{id: job.ID, accepted: job.Accepted, work: job.Work})
	slices.SortFunc(list, func(a, b demandJob) int {
		return cmp.Or(cmp.Compare(a.accepted, b.accepted), cmp.Compare(a.id, b.id))
	})
	d.jobs[job.Model] = list[max(0, len(list)-demandWindow):]
	d.revision++
}

// Revision is the number of jobs seen; the demand stays the same while it does.
func (d *Demand) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// Work is the mean work of a model's last jobs, in generated tokens; 0 while
// none is known.
func (d *Demand) Work(model string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.jobs[model]
	if len(list) == 0 {
		return 0
	}
	sum := 0
	for _, j := range list {
		sum += j.work
	}
	return sum / len(list)
}

// Watcher feeds a demand, and a collector, from TableJobs.
func (d *Demand) Watcher(c *Collector, log logrus.FieldLogger) store.Watcher {
	return &demandWatcher{d, c, log}
}

type demandWatcher struct {
	demand    *Demand
	collector *Collector
	log       logrus.FieldLogger
}

func (w *demandWatcher) Replace(s store.Snapshot) {
	w.collector.Replace(s)
	w.addJobs(s)
}

func (w *demandWatcher) Lost(err error) { store.LogLost(w.log, TableJobs, err) }

func (w *demandWatcher) Regained(after time.Duration) { store.LogRegained(w.log, TableJobs, after) }

func (w *demandWatcher) Apply(s store.Snapshot) {
	w.collector.Apply(s)
	w.addJobs(s)
}

func (w *demandWatcher) addJobs(s store.Snapshot) {
	for _, row := range s.Rows {
		if _, end := ParseJobRowName(row.Name); end || row.Deleted {
			continue
		}
		job, err := DecodeJob(row.Value)
		if err != nil {
			w.log.WithError(err).WithField("job", row.Name).Error("job not readable")
			continue
		}
		w.demand.Add(job)
	}
}
