package batch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
)

// WorkerConfig holds the settings and dependencies of a Worker.
type WorkerConfig struct {
	// Node is the name of this process; Incarnation is unique to each of its starts.
	Node, Incarnation string
	// Engine is the address of the engine beside this process, Service the engine's service.
	Engine, Service string
	// PeerPort is the port on which all agents listen, on the machines of their engines.
	PeerPort int
	View     *fleet.View
	Ledger   *Ledger
	// Direct is this process's own path to the store, by which it makes calls for
	// others; nil means that it makes none.
	Direct store.Store
	// Demand is updated by the worker from the jobs it reads.
	Demand *Demand
	// JobsPace limits how often the feed of TableJobs is called.
	JobsPace store.Pace
	// StoreWriteRate is the number of write calls a second that the store takes from all
	// processes together; 0 means unknown.
	StoreWriteRate int
	Engines        EngineClient
	// Rewards scores complete texts; nil if no job has reward calls.
	Rewards RewardClient
	Peers   PeerClient
	// SharedSelection makes the agents of all engines defer the same groups while the jobs ask for more
	// than the engines can do in time, see edf.Select.
	SharedSelection bool
	// Speed is the speed of an engine as a multiple of the usual one; nil if speeds are unknown.
	Speed func(engine string) float64
	// Now returns the store's clock; false before it is known.
	Now      func() (time.Duration, bool)
	Log      logrus.FieldLogger
	Counters *observe.Counters
}

// Worker runs items of batch jobs on the engine beside it: its own part of each job,
// and items that other agents hand over or leave orphaned. It is safe for concurrent
// use.
type Worker struct {
	WorkerConfig
	// wakeup wakes the scheduler.
	wakeup chan struct{}
	// engineLost wakes the rebalancer when the engine refuses connections.
	engineLost chan struct{}
	// ctx is the context of Run; started is closed once it is set.
	ctx     context.Context
	started chan struct{}

	assignmentCache assignmentCache
	lostServices    *lostServices

	mu   sync.Mutex
	jobs map[string]*workJob
	// foreign are the jobs that other services run, by id; foreignChecked is the snapshot for which adoptJobs last
	// looked at them.
	foreign        map[string]*Job
	foreignChecked *fleet.Snapshot
	waiting        []*task // in the order of compareTasks
	running        map[*task]struct{}
	scoring        map[*task]struct{} // tasks with complete text that wait for their score
	stopping       bool
	engine         engineState
	// idleChecked is when items that are at no engine were last looked for.
	idleChecked time.Time
	// pace is how long the engine takes for items; overloaded is set while groups that cannot
	// be done in time are deferred.
	pace       workPace
	overloaded bool
	selection  selection
	// token is the fencing token of this incarnation's orders: the store's version at
	// its start, so that it does not decrease over restarts.
	token uint64
}

// workJob is a job as this worker knows it.
type workJob struct {
	job *Job
	// items is nil until it is read; owners holds for each item the index of its owner
	// in Job.Owners.
	items  []Item
	owners []int
	// tasks are the items held here, by index; done are those whose results this
	// process has appended or found in the store.
	tasks map[int]*task
	done  map[int]bool
	// transfers are the items that were handed over recently.
	transfers transfers
	// finished is true if all items are known to have results, ended if the client has
	// ended the job.
	finished bool
	ended    bool
	outbox   *outbox
	// positions are the positions of the groups in the order in which they are deferred, nil until
	// needed; deferred are the groups that were counted as deferred here.
	positions map[string]int
	deferred  map[string]bool
	// orphansChecked is when orphaned items of the job were last looked for.
	orphansChecked time.Time
}

// NewWorker returns a worker; it does nothing until Run is called.
func NewWorker(cfg WorkerConfig) *Worker {
	return &Worker{
		WorkerConfig: cfg, wakeup: make(chan struct{}, 1), engineLost: make(chan struct{}, 1), started: make(chan struct{}),
		lostServices: newLostServices(), jobs: map[string]*workJob{}, foreign: map[string]*Job{},
		running: map[*task]struct{}{}, scoring: map[*task]struct{}{}, engine: newEngineState(),
	}
}

// Run works until ctx is done; runs in progress are then cancelled. It is called once.
func (w *Worker) Run(ctx context.Context) {
	w.ctx = ctx
	close(w.started)
	var wg sync.WaitGroup
	wg.Go(func() { store.Follow(ctx, w.Ledger.Store, store.Source{Table: TableJobs, Pace: w.JobsPace}, w) })
	wg.Go(func() { w.schedule(ctx) })
	wg.Go(func() { w.watchEngine(ctx) })
	wg.Go(func() { w.rebalance(ctx) })
	wg.Go(func() { w.watchServices(ctx) })
	wg.Go(func() { w.saveTexts(ctx) })
	wg.Go(func() { w.expire(ctx) })
	wg.Wait()
}

// wake makes the scheduler run again.
func (w *Worker) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// Replace implements store.Watcher for TableJobs.
func (w *Worker) Replace(s store.Snapshot) {
	w.mu.Lock()
	if w.token == 0 {
		w.token = s.Version + 1 // an empty store has version 0, which is not a valid token
	}
	w.mu.Unlock()
	w.Apply(s)
}

// Lost implements store.Watcher.
func (w *Worker) Lost(err error) { store.LogLost(w.Log, TableJobs, err) }

// Regained implements store.Watcher.
func (w *Worker) Regained(after time.Duration) { store.LogRegained(w.Log, TableJobs, after) }

// Apply implements store.Watcher.
func (w *Worker) Apply(s store.Snapshot) {
	for _, row := range s.Rows {
		if id, end := ParseJobRowName(row.Name); end || row.Deleted {
			w.endJob(id, row.Deleted)
		}
	}
	for _, row := range s.Rows {
		if _, end := ParseJobRowName(row.Name); end || row.Deleted {
			continue
		}
		job, err := DecodeJob(row.Value)
		if err != nil {
			w.Log.WithError(err).WithField(observe.FieldJob, row.Name).Error("job not readable")
			continue
		}
		w.Demand.Add(job)
		w.addJob(job, s.Now)
	}
	w.removeExpiredJobs(s.Now)
}

// Load returns the number of items that run on the engine or wait for a slot.
func (w *Worker) Load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting) + len(w.running)
}

// instance returns the engine's instance; false unless it is registered and takes work.
func (w *Worker) instance() (fleet.Instance, bool) {
	i, ok := w.View.Snapshot().AtAddr(w.Engine)
	return i, ok && !i.Draining && i.Service == w.Service
}
