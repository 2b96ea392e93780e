package batch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
	"mulberryscale.example/pace"
)

const (
	// changingReportInterval is how often the engine's report is fetched while it carries
	// out an order or is not known to be healthy. A report needs no network, since the
	// engine is on the same machine, but each one wakes up both processes.
	changingReportInterval = 100 * time.Millisecond
	// activeReportInterval is the interval of reports while the engine may have work,
	// whose events also show that it is healthy; idleReportInterval is the interval while
	// it has none.
	activeReportInterval = 200 * time.Millisecond
	idleReportInterval   = 500 * time.Millisecond
	// maxUnanswered is the number of consecutive reports and runs without an answer after
	// which an engine counts as down.
	maxUnanswered = 2
	// eventIntervalWeight is the weight of the newest event in the moving average
	// eventInterval.
	eventIntervalWeight = 0.1
)

// engineState is what this process knows of its engine. It is guarded by the mu of the
// worker.
type engineState struct {
	// startedAt is when the engine started, in Unix milliseconds, 0 while unknown.
	startedAt  int64
	up         bool // answers runs and requests for reports, as far as is known
	unanswered int  // consecutive reports and runs without an answer
	// versions are the weight versions by model; sequence is the number of orders
	// accepted.
	versions map[string]uint64
	sequence uint64
	reported bool // versions and sequence are those of a report
	// order is the order in progress, nil if none; orderedAt is when it was sent.
	order     *Order
	orderedAt time.Time
	// eventInterval is the mean time between two events of a run, 0 while unknown.
	eventInterval time.Duration
	// speed is the estimated pace of the engine and what it takes for the work of items.
	speed engineSpeed
	// stepped is the newest MinVersion+1 of the jobs seen, by model: the version whose
	// step has started.
	stepped map[string]uint64
}

func newEngineState() engineState {
	return engineState{up: true, versions: map[string]uint64{}, stepped: map[string]uint64{}}
}

// reset discards what was known of the former incarnation of a restarted engine, also the
// order that was in progress on it.
func (e *engineState) reset(startedAt int64) {
	stepped, speed := e.stepped, e.speed // what items take belongs to the jobs, not to the engine
	speed.pace = pace.Estimate{}
	*e = newEngineState()
	e.startedAt, e.stepped, e.speed = startedAt, stepped, speed
}

// canServe reports whether the weights of the engine are recent enough for a job and not
// about to change.
func (e *engineState) canServe(job *Job) bool {
	if e.order != nil && e.order.Model == job.Model {
		return false
	}
	if !e.reported {
		return false
	}
	return job.Model == "" || e.versions[job.Model] >= job.MinVersion
}

// recordEvent records the weight version of an event and, if measured is set, the time since
// the event before it. Any event shows that the engine is up.
func (e *engineState) recordEvent(model string, version uint64, gap time.Duration, measured bool) {
	e.unanswered, e.up = 0, true
	if e.versions[model] < version {
		e.versions[model] = version
	}
	if !measured {
		return
	}
	if e.eventInterval == 0 {
		e.eventInterval = gap
		return
	}
	e.eventInterval += time.Duration(eventIntervalWeight * float64(gap-e.eventInterval))
}

// recordStall counts a run that went without an event for too long; events of other runs
// reset the count. An answer that breaks off is not counted: some engines break off two
// answers in a hundred, and items whose answers break off on many engines one after the
// other would mark this engine as down and take all items from it.
func (e *engineState) recordStall() {
	e.unanswered++
	if e.unanswered >= maxUnanswered {
		e.up = false
	}
}

// watchEngine keeps the engine's state up to date and sends it orders until ctx is
// cancelled.
func (w *Worker) watchEngine(ctx context.Context) {
	reported := time.Time{}
	for ctx.Err() == nil {
		changed := w.View.Changed()
		if i, ok := w.View.Snapshot().AtAddr(w.Engine); ok {
			w.checkRestart(i.StartedAt)
		}
		if time.Since(reported) >= w.reportInterval() {
			w.updateReport(ctx)
			reported = time.Now()
		}
		w.sendDueOrder(ctx)
		select {
		case <-ctx.Done():
		case <-changed: // an order may be due
		case <-time.After(w.reportInterval() - time.Since(reported)):
		}
	}
}

// reportInterval returns how often the engine's report is fetched now.
func (w *Worker) reportInterval() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.engine.order != nil || !w.engine.up || !w.engine.reported {
		return changingReportInterval
	}
	for _, j := range w.jobs {
		if !j.ended && !j.finished && (len(j.tasks) > 0 || w.participates(j)) {
			return activeReportInterval
		}
	}
	return idleReportInterval
}

// checkRestart takes the start time of the engine from the instance list or a report and
// returns false if it is that of a former incarnation. After a restart it stops the runs
// that were sent to the former incarnation, where they are lost; they are retried from
// their last event.
func (w *Worker) checkRestart(startedAt int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	former := w.engine.startedAt
	if startedAt == 0 || startedAt == former {
		return true
	}
	if startedAt < former {
		return false
	}
	if former == 0 {
		w.engine.startedAt = startedAt
		return true
	}
	w.engine.reset(startedAt)
	for t := range w.running {
		if t.sentTo.StartedAt < startedAt {
			t.stop(errEngineRestarted)
		}
	}
	w.Log.WithFields(logrus.Fields{"engine": w.Engine, "born": startedAt, "former": former, "running": len(w.running)}).Warn("engine started again")
	return true
}

// updateReport fetches the engine's report and updates what is known of the engine.
func (w *Worker) updateReport(ctx context.Context) {
	r, err := w.Engines.Report(ctx, w.Engine)
	if err == nil && !w.checkRestart(r.StartedAt) {
		return // from a former incarnation
	}
	if err == nil && !w.listedSince(r.StartedAt) {
		w.View.ReportStale()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &w.engine
	was := e.up
	if err != nil {
		e.unanswered++
		if e.unanswered >= maxUnanswered {
			e.up = false
		}
		if was && !e.up {
			w.Log.WithError(err).WithField("engine", w.Engine).Warn("engine lost")
		}
		return
	}
	e.unanswered, e.up = 0, true
	if !was {
		w.Log.WithField("engine", w.Engine).Info("engine regained")
	}
	e.reported, e.sequence = true, r.Sequence
	e.versions = r.Versions
	if o := e.order; o != nil {
		w.checkOrder(o, r)
	}
	w.wake()
}

// listedSince reports whether the instance list has the incarnation of the engine that started at
// the given time, in Unix milliseconds; 0 stands for any.
func (w *Worker) listedSince(startedAt int64) bool {
	listed, ok := w.View.Snapshot().AtAddr(w.Engine)
	return ok && listed.StartedAt >= startedAt
}

// markEngineDown notes that the engine refuses connections, so that nothing is sent to it until it answers a request
// for its report, and its items go to other agents now. It is called with w.mu held.
func (w *Worker) markEngineDown(err error) {
	e := &w.engine
	if e.up {
		w.Log.WithError(err).WithField("engine", w.Engine).Warn("engine lost")
	}
	e.unanswered, e.up = maxUnanswered, false
	select {
	case w.engineLost <- struct{}{}:
	default:
	}
}

// engineAddrs returns the addresses of engine instances.
func engineAddrs(instances []fleet.Instance) []string {
	list := make([]string, 0, len(instances))
	for _, i := range instances {
		list = append(list, i.Addr)
	}
	return list
}
