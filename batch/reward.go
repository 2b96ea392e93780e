package batch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/observe"
)

// RewardRequest is one send of a reward call.
type RewardRequest struct {
	Call *RewardCall
	// QueueTime orders calls that wait for each other, the lowest first.
	QueueTime time.Duration
	// TimeLeft is how long the item may still take.
	TimeLeft time.Duration
}

// RewardResponse is what came of a send that the service answered.
type RewardResponse struct {
	// Score is the signature of the answer.
	Score string
	// Failures are the endpoints' own failures of just this call that were met,
	// also if the call got a score after them.
	Failures int
	// MaxAttempts is how many failures the route allows the call; it is set for
	// ErrFailed too.
	MaxAttempts int
}

// RewardClient sends reward calls.
type RewardClient interface {
	// Score sends a call to endpoints of its route until one has answered. Its
	// error is, or wraps, ErrNotRun, ErrFailed or ErrBroken; ErrFailed says that
	// Failures is above 0.
	Score(ctx context.Context, ask RewardRequest) (RewardResponse, error)
}

const (
	// rewardRetryPause is the pause before a reward call that got no score is sent
	// again, a fifth of the 200 ms that one takes. It doubles with each send in
	// a row that no endpoint answered.
	rewardRetryPause = 40 * time.Millisecond
	// maxRewardDoublings bounds that pause at 640 ms.
	maxRewardDoublings = 4
)

// scoreOrFinish lets a task whose text has its last event be scored, or finishes it
// if it needs no score. It is called with w.mu held.
func (w *Worker) scoreOrFinish(t *task) {
	t.complete = true
	if t.item.Reward == nil {
		w.finish(t, StateDone, "")
		return
	}
	if t.j.ended {
		w.removeTask(t)
		return
	}
	ctx, cancel := context.WithCancelCause(w.ctx)
	t.cancel, t.stopped = cancel, make(chan struct{})
	w.scoring[t] = struct{}{}
	go func() {
		score, err := w.score(ctx, t)
		w.handleScore(ctx, t, score, err)
	}()
}

// score sends a task's reward call until it has a score. ErrFailed says that
// the call failed as often as its route allows; any other error is ctx's.
func (w *Worker) score(ctx context.Context, t *task) (string, error) {
	for silent := 0; ; {
		began := time.Now()
		answer, err := w.Rewards.Score(ctx, RewardRequest{Call: t.item.Reward, QueueTime: t.j.job.queueTime(), TimeLeft: w.timeLeft(t.j.job)})
		if err == nil {
			return answer.Score, nil
		}
		if ctx.Err() != nil {
			return "", context.Cause(ctx)
		}
		silent++
		if errors.Is(err, ErrFailed) {
			silent = 0
			if w.addRewardFailures(t, answer.Failures) >= answer.MaxAttempts {
				return "", err
			}
		}
		w.Counters.Retry(t.j.job.Route, rewardReason(err))
		w.rewardLogger(t).WithError(err).WithField("took_ms", time.Since(began).Milliseconds()).Info("item not scored yet")
		if err := pause.Sleep(ctx, rewardRetryPause<<min(silent, maxRewardDoublings)); err != nil {
			return "", err
		}
	}
}

// addRewardFailures counts failures of a reward call and returns how many there were.
func (w *Worker) addRewardFailures(t *task, failures int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.rewardFailures += failures
	return t.rewardFailures
}

// handleScore decides what follows from the end of a task's scoring.
func (w *Worker) handleScore(ctx context.Context, t *task, score string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(t.stopped)
	delete(w.scoring, t)
	stopped := context.Cause(ctx)
	t.cancel(nil)
	t.cancel = nil
	log := w.rewardLogger(t)
	switch {
	case err == nil:
		log.Info("item scored")
		w.finish(t, StateDone, score)
	case errors.Is(err, ErrFailed):
		log.WithError(err).Warn("item given up: its reward call fails")
		w.finish(t, StateFailed, "")
	case errors.Is(stopped, errExpired):
		log.Warn("item given up: its time is up before it has a score")
		w.finish(t, StateFailed, "")
	default: // its job ended, another agent has it, or this process ends
		w.removeTask(t)
	}
}

// rewardLogger is the logger of what happens to a task's reward call.
func (w *Worker) rewardLogger(t *task) logrus.FieldLogger {
	return w.Log.WithFields(logrus.Fields{
		observe.FieldItem: t.item.ID, observe.FieldJob: t.j.job.ID, observe.FieldReward: t.item.Reward.ID,
		"reward_failures": t.rewardFailures,
	})
}

// Reasons for which a reward call is sent again.
const (
	reasonRewardNotRun = "reward_not_run"
	reasonRewardFailed = "reward_failed"
	reasonRewardBroken = "reward_broken"
)

func rewardReason(err error) string {
	switch {
	case errors.Is(err, ErrNotRun):
		return reasonRewardNotRun
	case errors.Is(err, ErrFailed):
		return reasonRewardFailed
	}
	return reasonRewardBroken
}
