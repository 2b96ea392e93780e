package batch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/observe"
)

const (
	// relayAfter is how long an append may take before other agents are asked
	// to make it as well: thirty times its usual time. A process can lose its
	// path to the store for seconds while all others keep theirs.
	relayAfter = 400 * time.Millisecond
	// relayTimeout bounds one relayed append.
	relayTimeout = 1500 * time.Millisecond
	// relayPause is the pause between two tries to relay.
	relayPause = 200 * time.Millisecond
)

// append brings a batch to the store, by itself and, if that takes long,
// through other agents too. The batch's name makes it take effect once.
func (w *Worker) append(ctx context.Context, j *workJob, b *Batch) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 2)
	go func() { done <- w.Ledger.Append(ctx, b.Job, b.Name, b.Results) }()
	select {
	case err := <-done:
		return err
	case <-time.After(relayAfter):
	}
	go func() { done <- w.appendThroughPeers(ctx, j, b) }()
	return <-done
}

// appendThroughPeers asks one agent after the other until one has appended the batch.
func (w *Worker) appendThroughPeers(ctx context.Context, j *workJob, b *Batch) error {
	for {
		peers := slices.DeleteFunc(w.participants(j), func(e string) bool { return e == w.Engine })
		rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
		for _, e := range peers {
			reply, err := w.callFor(ctx, e, &PeerRequest{Relay: b}, relayTimeout)
			if err == nil && reply.Appended {
				w.Log.WithFields(logrus.Fields{
					observe.FieldJob: b.Job, "results": len(b.Results), "through": e,
				}).Info("results relayed")
				return nil
			}
		}
		if err := pause(ctx, relayPause); err != nil {
			return err
		}
	}
}

// relay appends a batch for another agent.
func (w *Worker) relay(from string, b *Batch) bool {
	ctx, cancel := context.WithTimeout(w.ctx, relayTimeout)
	defer cancel()
	err := w.Ledger.Append(ctx, b.Job, b.Name, b.Results)
	w.Log.WithError(err).WithFields(logrus.Fields{
		observe.FieldJob: b.Job, "results": len(b.Results), "from": from,
	}).Info("results appended for another agent")
	return err == nil
}
