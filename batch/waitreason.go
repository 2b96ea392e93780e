package batch

import (
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
)

// waitReason says why an item that waits here is not sent to the engine; empty if it may be sent.
type waitReason string

const (
	waitStopping   waitReason = "stopping"          // this process stops
	waitUnlisted   waitReason = "engine_not_listed" // the engine is not in the list of instances, or drains
	waitEngineDown waitReason = "engine_down"       // the engine answers nothing
	waitWeights    waitReason = "weights"           // the engine's weights are too old or being changed
	waitRetryPause waitReason = "retry_pause"       // backoff after a run that failed
	waitSlot       waitReason = "slot"              // all slots of the engine are taken
)

// engineWaitReason returns why no item at all can be sent now. It is called with w.mu held.
func (w *Worker) engineWaitReason(listed bool) waitReason {
	switch {
	case w.stopping:
		return waitStopping
	case !listed:
		return waitUnlisted
	case !w.engine.up:
		return waitEngineDown
	}
	return ""
}

// itemWaitReason returns why an item cannot be sent now to an engine that takes items. It is called with w.mu
// held.
func (w *Worker) itemWaitReason(t *task, now time.Time) waitReason {
	switch {
	case t.notBefore.After(now):
		return waitRetryPause
	case !w.engine.canServe(t.j.job):
		return waitWeights
	}
	return ""
}

const (
	// idleLogAge is how long an item has been at no engine when it is logged: several times what a retry
	// or a handover takes. It is logged again after each idleLogInterval.
	idleLogAge      = 2 * time.Second
	idleLogInterval = 4 * time.Second
	// idleCheckInterval is how often an agent looks for such items.
	idleCheckInterval = time.Second
)

// logIdleItems logs and counts the items that have been at no engine for idleLogAge, with the reasons for
// which they wait here. Items that wait for a slot are a queue as expected; they are counted only. It is
// called with w.mu held.
func (w *Worker) logIdleItems(instance fleet.Instance, listed bool, now time.Time) {
	if now.Sub(w.idleChecked) < idleCheckInterval {
		return
	}
	w.idleChecked = now
	blocked := w.engineWaitReason(listed)
	for _, t := range w.waiting {
		idle := now.Sub(t.idleSince)
		if idle < idleLogAge || now.Sub(t.idleLogged) < idleLogInterval {
			continue
		}
		t.idleLogged = now
		reason := blocked
		if reason == "" {
			reason = w.itemWaitReason(t, now)
		}
		if reason == "" {
			reason = waitSlot
		}
		w.Counters.Add(observe.NameItemsIdle, string(reason), 1)
		if reason == waitSlot {
			continue
		}
		w.Log.WithFields(t.fields()).WithFields(logrus.Fields{
			"reason": reason, "idle_ms": idle.Milliseconds(), "running": len(w.running), "slots": instance.Slots, "avoid": t.avoid,
		}).Warn("item at no engine")
	}
}
