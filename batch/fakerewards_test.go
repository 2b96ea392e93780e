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
	// took is how long a call takes.
	took time.Duration
	// answers are the errors of a call's next sends, by its id; nil is a score.
	answers map[string][]error
	// always is what each further send of a call is answered with.
	always map[string]error
	calls  []rewardCall
	// ended counts the calls that were given up while they ran.
	ended int
}

type rewardCall struct {
	id string
	at time.Time
}

func (f *fakeRewards) Score(ctx context.Context, ask RewardRequest) (RewardResponse, error) {
	f.mu.Lock()
	f.calls = append(f.calls, rewardCall{ask.Call.ID, time.Now()})
	n := len(f.calls)
	err := f.always[ask.Call.ID]
	if list := f.answers[ask.Call.ID]; len(list) > 0 {
		err, f.answers[ask.Call.ID] = list[0], list[1:]
	}
	took := f.took
	f.mu.Unlock()
	if pause.Sleep(ctx, took) != nil {
		f.mu.Lock()
		f.ended++
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

// of are the sends of a call.
func (f *fakeRewards) of(id string) []rewardCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.calls), func(c rewardCall) bool { return c.id != id })
}

// set changes or reads the stand-in.
func (f *fakeRewards) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// rewardOf is the id of an item's reward call.
func rewardOf(item string) string { return "reward of " + item }
