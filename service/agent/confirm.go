package agent

import (
	"context"
	"time"

	"mulberryscale.example/observe"
)

// fenceReader is implemented by a Fencer that can also read the newest number
// drawn, without drawing one.
type fenceReader interface {
	Newest(ctx context.Context) (uint64, error)
}

// fenceConfirmed reports whether an order may be sent with this agent's fencing
// number: either the engine checks the number itself, or a check within
// FenceFreshness found no newer one. The caller holds a.mu.
func (a *Agent) fenceConfirmed(now time.Time) bool {
	if _, ok := a.cfg.Fencer.(fenceReader); !ok || a.engine.checksFence {
		return true
	}
	return now.Sub(a.engine.fenceCheckedAt) <= a.cfg.FenceFreshness
}

// startFenceCheck checks in the background whether a newer fencing number was
// drawn, and if not reconciles all models. The caller holds a.mu.
func (a *Agent) startFenceCheck(now time.Time) {
	if a.engine.fenceChecking || now.Before(a.engine.fenceCheckAfter) || a.base == nil || a.base.Err() != nil {
		return
	}
	a.engine.fenceChecking = true
	a.tasks.Go(a.checkFence)
}

func (a *Agent) checkFence() {
	began := time.Now()
	ctx, cancel := context.WithTimeout(a.base, targetTimeout)
	defer cancel()
	newest, err := a.cfg.Fencer.(fenceReader).Newest(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.engine.fenceChecking = false
	switch {
	case err != nil:
		a.engine.fenceCheckAfter = time.Now().Add(a.jitter(a.cfg.TargetInterval))
		a.log.WithError(err).Warn("fencing number not confirmed; the engine keeps its weights")
		return
	case newest > a.fence:
		a.supersede()
		return
	}
	a.engine.fenceCheckedAt = began
	for name := range a.engine.models {
		a.reconcile(time.Now(), name)
	}
}

// supersede stops this agent from giving orders: a newer agent of the engine has
// drawn a larger fencing number. The caller holds a.mu.
func (a *Agent) supersede() {
	a.engine.superseded = true
	a.log.Error("a newer agent gives this engine its orders; this one gives no more")
}

// stillConfirmed repeats the check of fenceConfirmed right before an order is
// sent, since the process may have been frozen in between. If it fails, the order
// is dropped and the model's state follows the next status.
func (a *Agent) stillConfirmed(m *modelState) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.fenceConfirmed(now) {
		return true
	}
	a.cfg.Counters.Add(observe.NameOrdersFailed, "", 1)
	m.ordering = false
	if a.distribution.relay != nil {
		m.fetched = m.ordered
	}
	m.ordered = 0
	m.returnedAt = now
	a.wakePoll()
	return false
}
