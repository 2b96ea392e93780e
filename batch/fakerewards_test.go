package batch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"mulberryscale.example/internal/pause"
)

// fakeRewards stands in for the service that scores texts.
type fakeRewards struct {
	mu sync.Mutex
	// latency is how long a call takes.
	latency time.Duration
	// nextErrors are the errors of the next sends of a call, by its id; nil is a score.
	nextErrors map[string][]error
	// laterErrors is the error of each further send of a call, by its id.
	laterErrors map[string]error
	calls       []rewardCall // all sends so far
	// cancelled counts the sends that were cancelled while they ran.
	cancelled int
}

// rewardCall is one send of a reward call.
type rewardCall struct {
	id string
	at time.Time
}

func (f *fakeRewards) Score(ctx context.Context, ask RewardRequest) (RewardResponse, error) {
	f.mu.Lock()
	f.calls = append(f.calls, rewardCall{ask.Call.ID, time.Now()})
	n := len(f.calls)
	err := f.laterErrors[ask.Call.ID]
	if list := f.nextErrors[ask.Call.ID]; len(list) > 0 {
		err, f.nextErrors[ask.Call.ID] = list[0], list[1:]
	}
	took := f.latency
	f.mu.Unlock()
	if pause.Sleep(ctx, took) != nil {
		f.mu.Lock()
		f.cancelled++
		f.mu.Unlock()
		return RewardResponse{}, ErrBroken
	}
	if err != nil {
		answer := RewardResponse{MaxAttempts: 4}
		if errors.Is(err, ErrFailed) {
			answer.Failures = 1
		}
		return answer, err
	}
	return RewardResponse{Score: fmt.Sprintf("score-%d of %s", n, ask.Call.ID), MaxAttempts: 4}, nil
}

// sends returns the sends of a call.
func (f *fakeRewards) sends(id string) []rewardCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.calls), func(c rewardCall) bool { return c.id != id })
}

// locked calls change with the lock held, to change or read fields.
func (f *fakeRewards) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// rewardOf is the id of an item's reward call.
func rewardOf(item string) string { return "reward of " + item }
