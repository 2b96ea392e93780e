package batch

import (
	"context"
	"testing"
	"time"
)

// statusOf is an agent's state with items of one job.
func statusOf(pace time.Duration, waiting, running int) *Status {
	var s JobStatus
	for i := range waiting {
		s.Waiting = append(s.Waiting, i)
	}
	for i := range running {
		s.Running = append(s.Running, waiting+i)
	}
	return &Status{Up: true, Pace: pace, Jobs: map[string]JobStatus{"j": s}}
}

// TestHelpGoesToTheSlowEngineFirst has one agent with items that wait for a
// moment and one whose engine is four times slower than the helper's.
func TestHelpGoesToTheSlowEngineFirst(t *testing.T) {
	const pace = 50 * time.Millisecond
	for name, c := range map[string]struct {
		statuses map[string]*Status
		engine   string
		running  bool
		n        int
	}{
		"slow and waiting":     {map[string]*Status{"slow": statusOf(200*time.Millisecond, 0, 4), "full": statusOf(pace, 9, 12)}, "slow", true, 8},
		"slow with waiting":    {map[string]*Status{"slow": statusOf(200*time.Millisecond, 3, 4)}, "slow", true, 14},
		"a little slower":      {map[string]*Status{"slow": statusOf(70*time.Millisecond, 0, 4), "full": statusOf(pace, 9, 12)}, "full", false, 9},
		"pace not known there": {map[string]*Status{"new": statusOf(0, 0, 4)}, "", false, 0},
		"nothing":              {map[string]*Status{"idle": statusOf(pace, 0, 0)}, "", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			engine, running, n := richest("j", c.statuses, pace)
			if engine != c.engine || running != c.running || n != c.n {
				t.Errorf("got %q, running %v, %d; want %q, %v, %d", engine, running, n, c.engine, c.running, c.n)
			}
		})
	}
}

func TestRunningItemsAreGivenLongestFirst(t *testing.T) {
	j := &workJob{tasks: map[int]*task{}}
	cancel := func(error) {}
	for i, c := range []struct{ expected, events int }{{100, 5}, {900, 9}, {900, 2}, {300, 0}} {
		j.tasks[i] = &task{index: i, item: &Item{ExpectedTokens: c.expected}, text: make([]string, c.events), cancel: context.CancelCauseFunc(cancel)}
	}
	j.tasks[9] = &task{index: 9, item: &Item{ExpectedTokens: 5000}} // waits
	var got []int
	for _, t := range j.longestRunning(3) {
		got = append(got, t.index)
	}
	if len(got) != 3 || got[0] != 2 || got[1] != 1 || got[2] != 3 {
		t.Errorf("got %v, want [2 1 3]", got)
	}
}

// TestCallsOfAnAgentDoNotGrowWithTheAgents lets many idle agents look after one
// long item: each makes about as many calls however many they are.
func TestCallsOfAnAgentDoNotGrowWithTheAgents(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const agents, seconds = 60, 10
		rig := newWorkerRig(t, agents)
		rig.engines.lengths["item-000"] = 1000
		rig.submit("j", 1, nil)
		time.Sleep(seconds * time.Second)
		rig.peers.mu.Lock()
		defer rig.peers.mu.Unlock()
		perSecond := rig.peers.calls[engineAddr(0)] / seconds
		if rounds := int(time.Second / helpInterval); perSecond > 2*askFew*rounds || perSecond < askFew*rounds {
			t.Errorf("%d calls a second by one of %d agents", perSecond, agents)
		}
	})
}
