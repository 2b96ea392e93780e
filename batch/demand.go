package batch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/store"
)

// demandWindow is the number of a model's last jobs over which its demand is averaged:
// estimates of lengths are off by half for one item and by a twentieth for the mean of
// some hundred, and the assignment of engines should not follow noise. Of 41 engines 36
// change their model in 60 steps with the mean of 8 jobs, 10 with 16, 6 with 24 or more
// (TestHalvesAreStable). The store keeps jobs for 150 s, in which a trainer that takes a
// step every 8 s submits 18, and all processes must see the same jobs.
const demandWindow = 16

// Demand is the recent work of the jobs of each model. All processes compute it from the
// same rows. It is safe for concurrent use.
type Demand struct {
	// OnPaces, if set, is called by the watcher for each job that states paces of engines.
	OnPaces func()

	mu       sync.Mutex
	jobs     map[string][]demandJob // by model, the newest last
	revision uint64                 // number of jobs added
}

type demandJob struct {
	id       string
	accepted time.Duration
	work     int
}

// NewDemand returns a demand without jobs.
func NewDemand() *Demand { return &Demand{jobs: map[string][]demandJob{}} }

// Add counts a job, unless it was counted before or has no model or no work.
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

// Revision is the number of jobs added; the demand changes only when it does.
func (d *Demand) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// Work is the mean work of the last jobs of a model, in generated tokens; 0 while no job
// is known.
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

// Watcher returns a watcher of TableJobs that feeds the demand and a collector.
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
		if len(job.Paces) > 0 && w.demand.OnPaces != nil {
			w.demand.OnPaces()
		}
	}
}
