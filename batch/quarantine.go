package batch

import (
	"context"
	"errors"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/quarantine"
)

// subjectOf names an item's content; an item that comes again in a later job under
// its id is the same. It is called with w.mu held.
func (w *Worker) subjectOf(t *task) quarantine.Fingerprint {
	if t.subject == "" {
		t.subject = quarantine.FingerprintOf(t.j.job.Organisation, t.j.job.Host, t.item.Path, t.item.ID, string(t.item.Body))
	}
	return t.subject
}

// isQuarantined reports whether engines have ended under an item. Such a one is not sent
// any more, so that the others beside it run on: its holder keeps it until its time
// is up, which is before a trial would be due. It is called with w.mu held.
func (w *Worker) isQuarantined(t *task) bool {
	if w.Quarantine == nil || w.Quarantine.Empty() {
		return false
	}
	verdict, _ := w.Quarantine.State(w.subjectOf(t), quarantine.ItemLimit)
	return verdict == quarantine.Quarantined || verdict == quarantine.TrialDue
}

// isCrashSuspect reports whether two engines have ended under an item, so that the next
// end decides: of such items an engine runs one at a time, or those that only stood
// beside the one that ends engines would meet the third end with it and be held. It
// is called with w.mu held.
func (w *Worker) isCrashSuspect(t *task) bool {
	if w.Quarantine == nil || w.Quarantine.Empty() {
		return false
	}
	verdict, _ := w.Quarantine.State(w.subjectOf(t), quarantine.ItemLimit-1)
	return verdict == quarantine.Quarantined || verdict == quarantine.TrialDue
}

// awaitsOtherSuspect reports whether an item that runs apart waits for another such one to
// end here. It is called with w.mu held.
func (w *Worker) awaitsOtherSuspect(t *task) bool {
	if !w.isCrashSuspect(t) {
		return false
	}
	for running := range w.running {
		if w.isCrashSuspect(running) {
			return true
		}
	}
	return false
}

// recordOutcome tells the quarantine what a run that came to an end did to its engine.
func (w *Worker) recordOutcome(ctx context.Context, t *task, engine fleet.Instance, err error, took time.Duration) {
	if w.Quarantine == nil {
		return
	}
	w.mu.Lock()
	run := quarantine.BrokenRun{Fingerprint: w.subjectOf(t), Endpoint: t.sentTo, Addr: engine.Addr, Took: took}
	w.mu.Unlock()
	switch {
	case err == nil, errors.Is(err, ErrFailed), errors.Is(err, ErrImpossible):
		w.Quarantine.ReportServed(run.Fingerprint)
	case errors.Is(context.Cause(ctx), errEngineRestarted):
		w.Quarantine.ReportCrash(run)
	case errors.Is(err, ErrBroken) && ctx.Err() == nil && !w.View.Snapshot().IsDraining(engine):
		w.Quarantine.ReportBroken(ctx, run)
	}
}
