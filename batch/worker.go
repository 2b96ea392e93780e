package batch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
)

// WorkerConfig is what a Worker runs with.
type WorkerConfig struct {
	// Node names this process; Incarnation is new at each start.
	Node, Incarnation string
	// Engine is the address of the engine beside this process, Service its service.
	Engine, Service string
	// PeerPort is where the agents listen, on the machines of their engines.
	PeerPort int
	View     *fleet.View
	Ledger   *Ledger
	// Demand is fed by the worker.
	Demand *Demand
	// StoreWrites is the store's write calls a second for all processes; 0 is unknown.
	StoreWrites int
	Engines     Engine
	Peers       PeerCaller
	// Now is the store's clock; false before it is known.
	Now      func() (time.Duration, bool)
	Log      logrus.FieldLogger
	Counters *observe.Counters
}

// Worker runs the items of batch jobs on the engine beside it: its own part of
// each job, and what other agents give or leave. It is safe for concurrent use.
type Worker struct {
	WorkerConfig
	// changed wakes the scheduler.
	changed chan struct{}
	ctx     context.Context

	mu       sync.Mutex
	jobs     map[string]*workJob
	waiting  []*task // in the order in which they are to start
	running  map[*task]struct{}
	stopping bool
	engine   engineState
	// token is the fencing token of this incarnation's orders: the store's
	// version at its start, so that it grows over restarts.
	token uint64
}

// workJob is a job that is open as far as is known here.
type workJob struct {
	job *Job
	// items are nil until they have been read.
	items  []Item
	owners []int
	// tasks are the items held here, by index; done are those whose results
	// this process has appended or found in the store.
	tasks map[int]*task
	done  map[int]bool
	// finished says that every item is known to be listed.
	finished bool
	ended    bool
	outbox   *outbox
	// checked is when the items without a holder were last looked for.
	checked time.Time
}

// NewWorker returns a worker; Run must run.
func NewWorker(cfg WorkerConfig) *Worker {
	return &Worker{
		WorkerConfig: cfg, changed: make(chan struct{}, 1), jobs: map[string]*workJob{},
		running: map[*task]struct{}{}, engine: newEngineState(),
	}
}

// Run works until ctx ends; what still runs then is cut off.
func (w *Worker) Run(ctx context.Context) {
	w.ctx = ctx
	var wg sync.WaitGroup
	wg.Go(func() { store.Follow(ctx, w.Ledger.Store, TableJobs, "", w) })
	wg.Go(func() { w.schedule(ctx) })
	wg.Go(func() { w.watchEngine(ctx) })
	wg.Go(func() { w.help(ctx) })
	wg.Go(func() { w.save(ctx) })
	wg.Wait()
}

// wake makes the scheduler look again.
func (w *Worker) wake() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Replace implements store.Watcher for TableJobs.
func (w *Worker) Replace(s store.Snapshot) {
	w.mu.Lock()
	if w.token == 0 {
		w.token = s.Version + 1 // an empty store has version 0, which is no token
	}
	w.mu.Unlock()
	w.Apply(s)
}

// Lost implements store.Watcher.
func (w *Worker) Lost(err error) { store.LogLoss(w.Log, TableJobs, err) }

// Apply implements store.Watcher.
func (w *Worker) Apply(s store.Snapshot) {
	for _, row := range s.Rows {
		if id, end := HeadOf(row.Name); end || row.Deleted {
			w.drop(id, row.Deleted)
		}
	}
	for _, row := range s.Rows {
		if _, end := HeadOf(row.Name); end || row.Deleted {
			continue
		}
		job, err := DecodeJob(row.Value)
		if err != nil {
			w.Log.WithError(err).WithField(observe.FieldJob, row.Name).Error("job not readable")
			continue
		}
		w.Demand.See(job)
		w.see(job, s.Now)
	}
	w.forgetOld(s.Now)
}

// see takes a job of this worker's service.
func (w *Worker) see(job *Job, now time.Duration) {
	if job.Service != w.Service || now-job.Accepted > job.ItemTTL {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.jobs[job.ID]; known {
		return
	}
	j := &workJob{job: job, tasks: map[int]*task{}, done: map[int]bool{}, checked: time.Now()}
	j.outbox = newOutbox(w, j)
	w.jobs[job.ID] = j
	owner := slices.Contains(job.Owners, w.Engine)
	log := w.Log.WithFields(logrus.Fields{
		observe.FieldJob: job.ID, "model": job.Model, "items": job.Items, "owners": len(job.Owners), "owner": owner,
		"min_version": job.MinVersion, "age_ms": (now - job.Accepted).Milliseconds(),
	})
	log.Log(levelOf(owner), "job seen")
	if owner {
		go w.begin(j, now-job.Accepted > freshAge)
	}
}

// levelOf is the level of lines about a job: those that have nothing to do
// with it here would only repeat what its owners say.
func levelOf(involved bool) logrus.Level {
	if involved {
		return logrus.InfoLevel
	}
	return logrus.DebugLevel
}

// freshAge is the age above which a job may have results already: the store
// tells of a new job within milliseconds, and the shortest items take some
// hundred.
const freshAge = 300 * time.Millisecond

// begin reads a job's items and takes this worker's part of them.
func (w *Worker) begin(j *workJob, old bool) {
	for !w.read(j, old) {
		if pause(w.ctx, writePause) != nil {
			return
		}
	}
	saved := w.savedTexts(j, old)
	w.mu.Lock()
	defer w.mu.Unlock()
	self := slices.Index(j.job.Owners, w.Engine)
	for i, owner := range j.owners {
		if owner == self {
			w.take(j, &task{index: i, text: saved[i].events, versions: saved[i].versions})
		}
	}
	w.wake()
}

// savedTexts are the texts that a job's items can go on from: those that were
// saved while they ran before, and those that earlier jobs left unfinished.
func (w *Worker) savedTexts(j *workJob, old bool) map[int]savedText {
	texts := map[int]savedText{}
	if old {
		saved, err := w.Ledger.progress(w.ctx, j.job)
		if err != nil {
			w.Log.WithError(err).WithField(observe.FieldJob, j.job.ID).Warn("saved text not read")
		}
		maps.Copy(texts, saved)
	}
	left := w.leftovers(j)
	for i := range j.items {
		if l, ok := left[j.items[i].ID]; ok && len(l.events) > len(texts[i].events) {
			texts[i] = l
		}
	}
	maps.DeleteFunc(texts, func(_ int, text savedText) bool { return !j.job.fits(text.versions) })
	if len(texts) > 0 {
		w.Log.WithFields(logrus.Fields{observe.FieldJob: j.job.ID, "items": len(texts)}).Info("saved text found")
	}
	return texts
}

// read reads what is not known yet of a job; it reports whether all is known.
func (w *Worker) read(j *workJob, results bool) bool {
	w.mu.Lock()
	known := j.items != nil
	w.mu.Unlock()
	if !known {
		items, err := w.Ledger.Items(w.ctx, j.job)
		if err != nil {
			w.Log.WithError(err).WithField(observe.FieldJob, j.job.ID).Warn("items not read")
			return false
		}
		w.mu.Lock()
		j.items, j.owners = items, Split(j.job, items)
		w.mu.Unlock()
	}
	if !results {
		return true
	}
	listing, err := w.Ledger.Results(w.ctx, j.job.ID)
	if err != nil {
		w.Log.WithError(err).WithField(observe.FieldJob, j.job.ID).Warn("results not read")
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range j.items {
		if listing.Listed(j.items[i].ID) {
			j.done[i] = true
		}
	}
	return true
}

// take adds an item to those that wait here, unless it is held or done. It is
// called with w.mu held.
func (w *Worker) take(j *workJob, t *task) bool {
	if j.ended || j.done[t.index] || j.tasks[t.index] != nil {
		return false
	}
	t.j, t.item, t.lineage = j, &j.items[t.index], newLineage()
	j.tasks[t.index] = t
	at, _ := slices.BinarySearchFunc(w.waiting, t, compareTasks)
	w.waiting = slices.Insert(w.waiting, at, t)
	return true
}

// drop ends a job here: what waits is dropped, what runs is stopped.
func (w *Worker) drop(id string, removed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		// It may be seen later, out of order: remember that it ended.
		w.jobs[id] = &workJob{job: &Job{ID: id}, ended: true, finished: true}
		return
	}
	if removed {
		delete(w.jobs, id)
	}
	if j.ended {
		return
	}
	j.ended = true
	w.waiting = slices.DeleteFunc(w.waiting, func(t *task) bool { return t.j == j })
	left := map[string]savedText{}
	for _, t := range j.tasks {
		if len(t.text) >= saveAfter {
			left[t.item.ID] = savedText{slices.Clone(t.text), slices.Clone(t.versions)}
		}
		t.stop(errJobEnded)
	}
	w.Log.WithFields(logrus.Fields{observe.FieldJob: id, "unfinished": len(j.tasks)}).
		Log(levelOf(j.items != nil), "job ended")
	if len(left) > 0 {
		go w.saveLeftovers(j, left)
	}
	w.wake()
}

// forgetAfter bounds the memory of jobs beyond their items' time.
const forgetJobAfter = 10 * time.Second

// forgetOld drops jobs whose time is up.
func (w *Worker) forgetOld(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		if now-j.job.Accepted <= j.job.ItemTTL+forgetJobAfter {
			continue
		}
		if len(j.tasks) == 0 {
			delete(w.jobs, id)
		}
	}
}

// instance is the engine's incarnation, if it is registered and takes work.
func (w *Worker) instance() (fleet.Instance, bool) {
	i, ok := w.View.Snapshot().AtAddr(w.Engine)
	return i, ok && !i.Draining && i.Service == w.Service
}

// Drain takes no new items, lets those that run go on for a while, hands over
// the rest and waits for the results to be in the store.
func (w *Worker) Drain(ctx context.Context, runOn time.Duration) {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	runCtx, cancel := context.WithTimeout(ctx, runOn)
	defer cancel()
	for w.heldNow() > 0 && pause(runCtx, drainPoll) == nil {
		w.giveWaiting(ctx)
	}
	for w.heldNow() > 0 && pause(ctx, drainPoll) == nil {
		statuses, _ := w.ask(ctx, w.openJobs(), true)
		w.giveAll(ctx, statuses, true)
	}
	for w.unappended() && pause(ctx, drainPoll) == nil {
	}
}

// drainPoll is how often a drain looks at what is left.
const drainPoll = 100 * time.Millisecond

func (w *Worker) heldNow() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held()
}

// giveWaiting gives away what does not run yet.
func (w *Worker) giveWaiting(ctx context.Context) {
	w.mu.Lock()
	n := len(w.waiting)
	w.mu.Unlock()
	if n > 0 {
		statuses, _ := w.ask(ctx, w.openJobs(), true)
		w.giveAll(ctx, statuses, false)
	}
}

func (w *Worker) unappended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if j.outbox != nil && j.outbox.sending {
			return true
		}
	}
	return false
}
