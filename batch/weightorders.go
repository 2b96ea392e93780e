package batch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
)

const (
	// stepGracePeriod is how long after a version was announced an engine waits for the
	// step that belongs to it. That step may use the previous version, so it runs at once
	// and the new version is loaded after it.
	stepGracePeriod = 2500 * time.Millisecond
	// orderTimeout is the time after which an order that was not carried out is sent
	// again.
	orderTimeout = 4 * time.Second
)

// checkOrder clears the order in progress once it is carried out or has timed out. It is
// called with w.mu held.
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

// sendDueOrder sends the engine the order that is due, if any.
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

// dueOrder returns the order for a model whose weights should change now and makes it the
// order in progress; nil if none is due.
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
	assignment := w.assignments(snap)
	for _, model := range service.Models {
		version := snap.NamedVersions[model]
		if version <= e.versions[model] {
			continue
		}
		if !w.weightChangeDue(model, version, assignment[model], time.Since(snap.NamedVersionsAt[model])) {
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

// weightChangeDue reports whether the weights of a model should change now: at once if
// items wait for them or if the engine is in the half that loads this version; otherwise
// once no items of the model are left here and the step of that version has started, or
// has not started for stepGracePeriod. It is called with w.mu held.
func (w *Worker) weightChangeDue(model string, version uint64, assignment Assignment, age time.Duration) bool {
	hasItems, stepStarted := false, false
	for _, j := range w.jobs {
		if j.ended || j.job.Model != model {
			continue
		}
		stepStarted = stepStarted || j.job.MinVersion+1 >= version
		for _, t := range j.tasks {
			if t.complete {
				continue // no longer needs the engine
			}
			if t.cancel == nil && j.job.MinVersion > w.engine.versions[model] {
				return true
			}
			hasItems = true
		}
		hasItems = hasItems || (j.items == nil && slices.Contains(j.job.Owners, w.Engine))
	}
	if !assignment.Has(w.Engine) {
		return false
	}
	if assignment.LoadsAtOnce(w.Engine, version) {
		return true
	}
	if assignment.Alternates() && w.engine.versions[model]+1 >= version {
		return false // recent enough for the current step; this engine loads the next version
	}
	return !hasItems && (stepStarted || age > stepGracePeriod)
}
