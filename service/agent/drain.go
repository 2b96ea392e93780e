package agent

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/admission"
	"mulberryscale.example/api"
	"mulberryscale.example/wire"
)

// drainNotice is how long an agent that stops refuses calls at least: watchers hear of the drain some
// milliseconds after its begin, and what they have sent until then is refused as not run.
const drainNotice = 100 * time.Millisecond

// Drain prepares a graceful stop. It notifies the watchers at once and refuses new
// runs and queued training samples as not run, so that they are placed elsewhere.
// Running requests, and queued interactive ones, which may have no other endpoint
// when all agents stop at once, are completed and answered, and readers may attach
// to them until then. Finished results are kept until they have been fetched, for at
// most HandOverTimeout. Drain returns when no job and no reply is left, and not before
// drainNotice is over; the caller then cancels Run's context. The error is ctx's.
func (a *Agent) Drain(ctx context.Context) error {
	notice := time.NewTimer(drainNotice)
	defer notice.Stop()
	a.beginDrain("")
	if err := a.awaitIdle(ctx); err != nil {
		return err
	}
	a.handOver(ctx)
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	return a.awaitIdle(ctx)
}

// handOver waits until all results have been delivered, for at most HandOverTimeout.
func (a *Agent) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.HandOverTimeout)
	defer cancel()
	for {
		finished := a.finished.Wait()
		if a.results.Undelivered() == 0 {
			return
		}
		select {
		case <-finished:
		case <-ctx.Done():
			a.log.WithField("results", a.results.Undelivered()).Warn("agent stops with undelivered results")
			return
		}
	}
}

func (a *Agent) awaitIdle(ctx context.Context) error {
	for {
		finished := a.finished.Wait()
		if a.idle() {
			return nil
		}
		select {
		case <-finished:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "agent %s: step %s", a.cfg.ID, stepDrain)
		}
	}
}

// RequestDrain makes the agent refuse new work and closes the channel of
// DrainRequested, upon which the daemon calls Drain and exits.
func (a *Agent) RequestDrain(reason string) {
	a.beginDrain(reason)
	a.drainOnce.Do(func() { close(a.drainRequested) })
}

// DrainRequested returns a channel that is closed once a peer has requested a drain.
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
	a.log.WithField("reason", reason).Info("agent starts to drain")
	a.urgent.Fire()
	a.refuseQueued(refusal, isTraining)
}

// isTraining reports whether a queued item is a training sample.
func isTraining(it *admission.Item) bool { return it.Class == wire.ClassTraining }

func (a *Agent) drainingRefusal() *api.Refusal {
	return a.refuseRetry(api.CodeDraining, api.NotRunTrue, stepDrain, "the agent is stopping")
}

func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.jobs) == 0 && a.answering == 0
}
