package agent

import (
	"context"

	"github.com/gravitational/trace"

	"mulberryscale.example/admission"
	"mulberryscale.example/api"
	"mulberryscale.example/wire"
)

// Drain stops the agent gracefully: watchers learn of it at once, new runs and
// waiting samples are refused as not run, so that they are placed elsewhere.
// Running ones and waiting interactive ones, which may have nowhere to go when
// everything stops at once, end and are answered; they can be attached to until
// then. Results that nobody has fetched are kept for
// HandOverTimeout. It returns when nothing runs any more; the caller then ends Run's
// context. The error is the context's.
func (a *Agent) Drain(ctx context.Context) error {
	a.beginDrain("")
	if err := a.awaitIdle(ctx); err != nil {
		return err
	}
	a.handOver(ctx)
	return a.awaitIdle(ctx)
}

// handOver waits until all results have been fetched, for at most HandOverTimeout.
func (a *Agent) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.HandOverTimeout)
	defer cancel()
	for {
		settled := a.settled.Wait()
		if a.results.Undelivered() == 0 {
			return
		}
		select {
		case <-settled:
		case <-ctx.Done():
			a.log.WithField("results", a.results.Undelivered()).Warn("agent stops with results that nobody fetched")
			return
		}
	}
}

func (a *Agent) awaitIdle(ctx context.Context) error {
	for {
		settled := a.settled.Wait()
		if a.idle() {
			return nil
		}
		select {
		case <-settled:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "agent %s: step %s", a.cfg.ID, stepDrain)
		}
	}
}

// RequestDrain stops taking new work and closes DrainRequested, on which the
// daemon calls Drain and ends.
func (a *Agent) RequestDrain(reason string) {
	a.beginDrain(reason)
	a.drainOnce.Do(func() { close(a.drainRequested) })
}

// DrainRequested is closed when a peer has asked the agent to drain.
func (a *Agent) DrainRequested() <-chan struct{} { return a.drainRequested }

func (a *Agent) beginDrain(reason string) {
	a.mu.Lock()
	already := a.draining
	a.draining = true
	refusal := a.drainingRefusal()
	a.mu.Unlock()
	if already {
		return
	}
	a.log.WithField("reason", reason).Info("agent drains")
	a.urgent.Fire()
	a.refuseQueued(refusal, isTraining)
}

// isTraining matches the waiting samples of trainers.
func isTraining(it *admission.Item) bool { return it.Class == wire.ClassTraining }

func (a *Agent) drainingRefusal() *api.Refusal {
	return a.refuseRetry(api.CodeDraining, api.NotRunTrue, stepDrain, "the agent is stopping")
}

func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.jobs) == 0 && a.answering == 0
}
