package batch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/observe"
)

// RewardRequest is one attempt of a reward call.
type RewardRequest struct {
	Call *RewardCall
	// QueueTime orders waiting calls, the lowest first, see Job.queueTime.
	QueueTime time.Duration
	// Expires is when the item expires.
	Expires time.Time
}

// RewardResponse is the outcome of an attempt that the service answered.
type RewardResponse struct {
	// Score is the signature of the service's response.
	Score string
	// Failures is the number of failures that endpoints themselves returned for this
	// call, also if it got a score after them.
	Failures int
	// MaxAttempts is the number of failures that the route allows for the call; it is
	// also set with ErrFailed.
	MaxAttempts int
}

// RewardClient sends reward calls.
type RewardClient interface {
	// Score sends a call to endpoints of its route until one has answered. Its error
	// is or wraps ErrNotRun, ErrFailed or ErrBroken; with ErrFailed, Failures is above 0.
	Score(ctx context.Context, req RewardRequest) (RewardResponse, error)
}

const (
	// rewardRetryPause is the backoff before a reward call that got no score is
	// retried, a fifth of the 200 ms that a call takes. It doubles with each
	// consecutive attempt that no endpoint answered.
	rewardRetryPause = 40 * time.Millisecond
	// maxRewardDoublings bounds the backoff at 640 ms.
	maxRewardDoublings = 4
)

// scoreOrFinish starts to score a task whose text is complete, or finishes it if it
// needs no score. It is called with w.mu held.
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

// score retries a task's reward call until it has a score. ErrFailed means that the
// call failed as often as its route allows; any other error is the context's.
func (w *Worker) score(ctx context.Context, t *task) (string, error) {
	for unanswered := 0; ; {
		began := time.Now()
		response, err := w.Rewards.Score(ctx, RewardRequest{Call: t.item.Reward, QueueTime: t.j.job.queueTime(), Expires: time.Now().Add(w.timeLeft(t.j.job))})
		if err == nil {
			return response.Score, nil
		}
		if ctx.Err() != nil {
			return "", context.Cause(ctx)
		}
		unanswered++
		if errors.Is(err, ErrFailed) {
			unanswered = 0
			if w.addRewardFailures(t, response.Failures) >= response.MaxAttempts {
				return "", err
			}
		}
		w.Counters.Retry(t.j.job.Route, rewardReason(err))
		w.rewardLogger(t).WithError(err).WithField("took_ms", time.Since(began).Milliseconds()).Info("item not scored yet")
		if err := pause.Sleep(ctx, rewardRetryPause<<min(unanswered, maxRewardDoublings)); err != nil {
			return "", err
		}
	}
}

// addRewardFailures adds to a task's count of reward failures and returns the sum.
func (w *Worker) addRewardFailures(t *task, failures int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.rewardFailures += failures
	return t.rewardFailures
}

// handleScore finishes or removes a task after its scoring returned.
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
	default: // its job has ended, it is handed over, or this process stops
		w.removeTask(t)
	}
}

// rewardLogger returns the logger for a task's reward call.
func (w *Worker) rewardLogger(t *task) logrus.FieldLogger {
	return w.Log.WithFields(logrus.Fields{
		observe.FieldItem: t.item.ID, observe.FieldJob: t.j.job.ID, observe.FieldReward: t.item.Reward.ID,
		"reward_failures": t.rewardFailures,
	})
}

// Reasons for which a reward call is retried.
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
