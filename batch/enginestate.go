package batch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
)

const (
	// changingReportInterval is how often the engine is asked for its report while it
	// carries out an order or is not known to be well; the report is free on its
	// own machine, but each costs both of them a wake-up.
	changingReportInterval = 100 * time.Millisecond
	// activeReportInterval is the same while it may have work, and tells by its events
	// that it is well, and quietInterval while it has none.
	activeReportInterval = 200 * time.Millisecond
	idleReportInterval   = 500 * time.Millisecond
	// maxUnanswered is how many reports and runs without an answer, in a row, make
	// an engine count as down.
	maxUnanswered = 2
	// stepGracePeriod is how long after a version was named an engine waits for the
	// step that goes with it. That step may use the version before, so it runs
	// at once instead of waiting for the load, and the load follows it.
	stepGracePeriod = 2500 * time.Millisecond
	// orderTimeout is after how long an order that was not carried out is given again.
	orderTimeout = 4 * time.Second
	// paceWeight is the weight of the newest event in the mean pace.
	paceWeight = 0.1
)

// engineState is what is believed of the engine beside this process. It is
// guarded by the worker's mu.
type engineState struct {
	// startedAt is the Unix millisecond of its start, 0 while unknown.
	startedAt  int64
	up         bool
	unanswered int
	// versions are the weights by model; sequence is the number of orders accepted.
	versions map[string]uint64
	sequence uint64
	reported bool
	// order is the order being carried out, nil if none.
	order     *Order
	orderedAt time.Time
	// pace is the mean time between two events of a run, 0 while unknown.
	pace time.Duration
	// stepped is the newest MinVersion+1 of the jobs seen, by model: the version
	// whose step has come.
	stepped map[string]uint64
}

func newEngineState() engineState {
	return engineState{up: true, versions: map[string]uint64{}, stepped: map[string]uint64{}}
}

// reset starts the belief anew for an engine that started again: it knows nothing
// of before, and an order in flight belonged to its former incarnation.
func (e *engineState) reset(born int64) {
	stepped := e.stepped // of jobs, not of the engine
	*e = newEngineState()
	e.startedAt, e.stepped = born, stepped
}

// canServe reports whether the engine's weights are recent enough for a job and
// not about to change.
func (e *engineState) canServe(job *Job) bool {
	if e.order != nil && e.order.Model == job.Model {
		return false
	}
	if !e.reported {
		return false
	}
	return job.Model == "" || e.versions[job.Model] >= job.MinVersion
}

// recordEvent takes an event of a run.
func (e *engineState) recordEvent(model string, version uint64, gap time.Duration, paced bool) {
	e.unanswered, e.up = 0, true
	if e.versions[model] < version {
		e.versions[model] = version
	}
	if !paced {
		return
	}
	if e.pace == 0 {
		e.pace = gap
		return
	}
	e.pace += time.Duration(paceWeight * float64(gap-e.pace))
}

// recordStall counts a run that heard nothing; events of others make up for it.
// An answer that is merely broken says nothing of the engine: some spoil two in
// a hundred, and items that many break one after the other would empty it.
func (e *engineState) recordStall() {
	e.unanswered++
	if e.unanswered >= maxUnanswered {
		e.up = false
	}
}

// watchEngine keeps the engine's state abreast and gives it orders.
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

// reportInterval is how often the engine is asked for its report now.
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

// checkRestart takes what the list or a report says of the engine's birth; false
// says that it is a former one's. What ran on the former incarnation is lost
// there and goes on after its last event.
func (w *Worker) checkRestart(born int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	was := w.engine.startedAt
	if born == 0 || born == was {
		return true
	}
	if born < was {
		return false
	}
	if was == 0 {
		w.engine.startedAt = born
		return true
	}
	w.engine.reset(born)
	for t := range w.running {
		if t.sentTo.StartedAt < born {
			t.stop(errEngineRestarted)
		}
	}
	w.Log.WithFields(logrus.Fields{"engine": w.Engine, "born": born, "former": was, "running": len(w.running)}).Warn("engine started again")
	return true
}

// updateReport asks the engine for its state.
func (w *Worker) updateReport(ctx context.Context) {
	r, err := w.Engines.Report(ctx, w.Engine)
	if err == nil && !w.checkRestart(r.StartedAt) {
		return // a former incarnation's
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

// checkOrder sees whether the order in progress is done. It is called with w.mu held.
func (w *Worker) checkOrder(o *Order, r Report) {
	took := time.Since(w.engine.orderedAt)
	log := w.Log.WithFields(logrus.Fields{
		"model": o.Model, "version": o.Version, "took_ms": took.Milliseconds(), "sequence": r.Sequence,
	})
	switch {
	case r.Versions[o.Model] >= o.Version:
		log.Info("weights changed")
		w.engine.order = nil
	case took > orderTimeout && !r.Busy:
		log.Warn("order not carried out")
		w.engine.order = nil
	}
}

// sendDueOrder gives the engine the order that is due, if any.
func (w *Worker) sendDueOrder(ctx context.Context) {
	instance, ok := w.instance()
	if !ok {
		return
	}
	o := w.dueOrder(instance)
	if o == nil {
		return
	}
	err := w.Engines.Order(ctx, *o)
	log := w.Log.WithFields(logrus.Fields{
		"model": o.Model, "version": o.Version, "token": o.Token, "sequence": o.Sequence, "engine": o.Instance,
	})
	if err == nil {
		log.Info("order given")
		return
	}
	log.WithError(err).Warn("order not answered or refused")
}

// dueOrder picks the model whose weights should change now.
func (w *Worker) dueOrder(instance fleet.Instance) *Order {
	snap := w.View.Snapshot()
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &w.engine
	if e.order != nil || !e.reported || !e.up || w.token == 0 || w.stopping || snap.Config == nil {
		return nil
	}
	service := snap.Config.Service(w.Service)
	if service == nil {
		return nil
	}
	deal := w.assignments(snap)
	for _, model := range service.Models {
		version := snap.Named[model]
		if version <= e.versions[model] {
			continue
		}
		if !w.weightChangeDue(model, version, deal[model], time.Since(snap.NamedAt[model])) {
			continue
		}
		e.order = &Order{
			Addr: w.Engine, Instance: instance.ID, Model: model, Version: version, KeepRunning: true,
			Holder: w.Node, Token: w.token, Sequence: e.sequence,
		}
		e.orderedAt = time.Now()
		return e.order
	}
	return nil
}

// weightChangeDue reports whether a model's weights should change now: at once when items
// wait for them or when it is this engine's turn; otherwise when the step of
// that version has come and nothing of it is left here, or has not come for a
// while. It is called with w.mu held.
func (w *Worker) weightChangeDue(model string, version uint64, deal Assignment, age time.Duration) bool {
	held, stepped := false, false
	for _, j := range w.jobs {
		if j.ended || j.job.Model != model {
			continue
		}
		stepped = stepped || j.job.MinVersion+1 >= version
		for _, t := range j.tasks {
			if t.complete {
				continue // needs the engine no more
			}
			if t.cancel == nil && j.job.MinVersion > w.engine.versions[model] {
				return true
			}
			held = true
		}
		held = held || (j.items == nil && slices.Contains(j.job.Owners, w.Engine))
	}
	if !deal.Has(w.Engine) {
		return false
	}
	if deal.LoadsAtOnce(w.Engine, version) {
		return true
	}
	if deal.Alternates() && w.engine.versions[model]+1 >= version {
		return false // recent enough for the step at hand; the next version is this engine's
	}
	return !held && (stepped || age > stepGracePeriod)
}

func engineAddrs(instances []fleet.Instance) []string {
	list := make([]string, 0, len(instances))
	for _, i := range instances {
		list = append(list, i.Addr)
	}
	return list
}
