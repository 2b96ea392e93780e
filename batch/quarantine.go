package batch

import (
	"context"
	"errors"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/quarantine"
)

// fingerprintOf returns the fingerprint of an item's content; an item that comes again
// under its id in a later job has the same. It is called with w.mu held.
func (w *Worker) fingerprintOf(t *task) quarantine.Fingerprint {
	if t.fingerprint == "" {
		t.fingerprint = quarantine.FingerprintOf(t.j.job.Organisation, t.j.job.Host, t.item.Path, t.item.ID, string(t.item.Body))
	}
	return t.fingerprint
}

// isQuarantined reports whether an item is quarantined because engines crashed while they
// ran it. Such an item is not sent any more, so that the others beside it keep running:
// its holder keeps it until its deadline, which is before a trial run would be due. It is
// called with w.mu held.
func (w *Worker) isQuarantined(t *task) bool {
	if w.Quarantine == nil || w.Quarantine.Empty() {
		return false
	}
	state, _ := w.Quarantine.State(w.fingerprintOf(t), quarantine.ItemLimit)
	return state == quarantine.Quarantined || state == quarantine.TrialDue
}

// isCrashSuspect reports whether two engines have crashed while they ran an item, so that
// a third crash quarantines it. An engine runs one such item at a time: otherwise items
// that merely ran beside the one that crashes engines would take part in the third crash
// too and be quarantined. It is called with w.mu held.
func (w *Worker) isCrashSuspect(t *task) bool {
	if w.Quarantine == nil || w.Quarantine.Empty() {
		return false
	}
	state, _ := w.Quarantine.State(w.fingerprintOf(t), quarantine.ItemLimit-1)
	return state == quarantine.Quarantined || state == quarantine.TrialDue
}

// awaitsOtherSuspect reports whether an item is a crash suspect and another one runs on
// this engine. It is called with w.mu held.
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

// recordOutcome tells the quarantine whether the engine answered a run, crashed under it
// or broke it off.
func (w *Worker) recordOutcome(ctx context.Context, t *task, engine fleet.Instance, err error, took time.Duration) {
	if w.Quarantine == nil {
		return
	}
	w.mu.Lock()
	run := quarantine.BrokenRun{Fingerprint: w.fingerprintOf(t), Endpoint: t.sentTo, Addr: engine.Addr, Took: took}
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
