package batch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// scoredRig returns a rig whose items have reward calls.
func scoredRig(t *testing.T, agents int) *workerRig {
	rig := newWorkerRig(t, agents)
	rig.withRewards = true
	return rig
}

// lastEventAt returns the time of the last event of an item's last run.
func (r *workerRig) lastEventAt(item string) time.Time {
	length := 10
	if n, ok := r.engines.lengths[item]; ok {
		length = n
	}
	runs := r.runsOf(item)
	last := runs[len(runs)-1]
	return last.at.Add(time.Duration(length-last.lastEventID) * eventGap)
}

func TestResultHasTheScoreOfItsOwnCall(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := scoredRig(t, 2)
		rig.submit("j", 8, nil)
		l := rig.await("j", 8, 3*time.Second)
		rig.requireComplete(l)
		for _, x := range l.Results {
			if !strings.HasSuffix(x.Score, " of "+rewardOf(x.ID)) {
				t.Errorf("item %s has the score %q", x.ID, x.Score)
			}
			calls := rig.rewards.sends(rewardOf(x.ID))
			if len(calls) != 1 || calls[0].at.Before(rig.lastEventAt(x.ID)) {
				t.Errorf("item %s: %d calls, the first before its last event", x.ID, len(calls))
			}
		}
	})
}

func TestItemWithoutRewardCallNeedsNoScore(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newWorkerRig(t, 1)
		rig.submit("j", 2, nil)
		l := rig.await("j", 2, 3*time.Second)
		rig.rewards.locked(func() {
			if l.Results[0].Score != "" || len(rig.rewards.calls) != 0 {
				t.Errorf("score %q, %d calls", l.Results[0].Score, len(rig.rewards.calls))
			}
		})
	})
}

// Only failures of the call by an endpoint itself count towards giving an item up;
// timeouts, broken answers and refusals do not, however often they occur.
func TestRewardCallsThatGetNoScore(t *testing.T) {
	failed, broken, notRun := fmt.Errorf("%w: 500", ErrFailed), ErrBroken, ErrNotRun
	for name, c := range map[string]struct {
		answers []error
		always  error
		state   State
		calls   int
	}{
		"fails once":              {[]error{failed}, nil, StateDone, 2},
		"fails three times":       {[]error{failed, failed, failed}, nil, StateDone, 4},
		"fails always":            {nil, failed, StateFailed, 4},
		"silent among failures":   {[]error{failed, broken, failed, notRun, broken, failed}, nil, StateDone, 7},
		"not run again and again": {[]error{notRun, notRun, notRun, notRun, notRun, notRun}, nil, StateDone, 7},
		"broken again and again":  {[]error{broken, broken, broken, broken, broken}, nil, StateDone, 6},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				rig := scoredRig(t, 1)
				rig.rewards.nextErrors[rewardOf("item-000")] = c.answers
				if c.always != nil {
					rig.rewards.laterErrors[rewardOf("item-000")] = c.always
				}
				rig.submit("j", 1, nil)
				l := rig.await("j", 1, 10*time.Second)
				if n := len(rig.rewards.sends(rewardOf("item-000"))); l.Results[0].State != c.state || n != c.calls {
					t.Fatalf("%s after %d calls, want %s after %d", l.Results[0].State, n, c.state, c.calls)
				}
				if n := len(rig.runsOf("item-000")); n != 1 {
					t.Fatalf("the item ran %d times, although only its score was missing", n)
				}
			})
		})
	}
}

// A complete text that waits for its score is not generated again after its agent has
// crashed.
func TestCompleteTextIsKeptAfterAgentCrash(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := scoredRig(t, 3)
		rig.rewards.latency = time.Hour
		rig.submit("j", 1, nil)
		time.Sleep(2 * time.Second) // generated after 0.4 s, saved within 0.7 s of that
		run := rig.runsOf("item-000")[0]
		for i := range 3 {
			if engineAddr(i) == run.engine {
				rig.kill(i)
			}
		}
		rig.rewards.locked(func() { rig.rewards.latency = 200 * time.Millisecond })
		rig.requireComplete(rig.await("j", 1, 6*time.Second))
		if n := len(rig.runsOf("item-000")); n != 1 {
			t.Fatalf("the item ran %d times", n)
		}
	})
}

func TestAllAgentsCrashDuringScoring(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := scoredRig(t, 2)
		rig.rewards.latency = time.Hour
		rig.submit("j", 4, nil)
		time.Sleep(2 * time.Second)
		rig.kill(0)
		rig.kill(1)
		rig.rewards.locked(func() { rig.rewards.latency = 200 * time.Millisecond })
		rig.start(0)
		rig.start(1)
		rig.requireComplete(rig.await("j", 4, 6*time.Second))
		if n := len(rig.runs()); n != 4 {
			t.Fatalf("%d runs of four items", n)
		}
	})
}

// Failures of a reward call are counted over all agents that hold the item in turn.
func TestRewardCallFailuresAreKeptAfterAgentCrash(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := scoredRig(t, 2)
		id := rewardOf("item-000")
		rig.rewards.nextErrors[id] = []error{ErrFailed, ErrFailed, ErrFailed}
		rig.rewards.laterErrors[id] = ErrBroken
		rig.submit("j", 1, nil)
		time.Sleep(3 * time.Second)
		run := rig.runsOf("item-000")[0]
		for i := range 2 {
			if engineAddr(i) == run.engine {
				rig.kill(i)
			}
		}
		before := len(rig.rewards.sends(id))
		rig.rewards.locked(func() { rig.rewards.laterErrors[id] = ErrFailed })
		l := rig.await("j", 1, 6*time.Second)
		if n := len(rig.rewards.sends(id)) - before; l.Results[0].State != StateFailed || n != 1 {
			t.Fatalf("%s after %d more failures, want one", l.Results[0].State, n)
		}
	})
}

// An agent that drains hands over complete texts that wait for their score, with the
// number of failures of their reward calls.
func TestStoppingAgentHandsOverCompleteTexts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := scoredRig(t, 2)
		rig.rewards.latency = time.Hour
		rig.submit("j", 4, nil)
		time.Sleep(time.Second)
		w := rig.peers.workers["10.0.0.1"]
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		w.Drain(ctx, time.Second)
		if n := w.itemsLeft(); n != 0 {
			t.Fatalf("%d items still here", n)
		}
		rig.rewards.locked(func() { rig.rewards.latency = 200 * time.Millisecond })
		rig.kill(0)
		rig.kill(1)
		rig.start(1)
		rig.requireComplete(rig.await("j", 4, 6*time.Second))
		if n := len(rig.runs()); n != 4 {
			t.Fatalf("%d runs of four items", n)
		}
	})
}

func TestEndingAJobCancelsItsRewardCalls(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := scoredRig(t, 2)
		rig.rewards.latency = time.Hour
		rig.submit("j", 4, nil)
		time.Sleep(time.Second)
		must(t, rig.ledger.End(t.Context(), "j"))
		ended := time.Now()
		time.Sleep(10 * time.Second)
		rig.rewards.locked(func() {
			if rig.rewards.cancelled != 4 {
				t.Errorf("%d of 4 calls cancelled", rig.rewards.cancelled)
			}
			for _, c := range rig.rewards.calls {
				if c.at.After(ended.Add(time.Second)) {
					t.Errorf("%s sent %v after the end", c.id, c.at.Sub(ended))
				}
			}
		})
	})
}

// An agent keeps scoring complete texts after its engine has crashed.
func TestScoringNeedsNoEngine(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := scoredRig(t, 1)
		rig.rewards.latency = 5 * time.Second
		rig.submit("j", 2, nil)
		time.Sleep(time.Second)
		rig.engine(0, func(e *fakeEngine) { e.down = true })
		rig.requireComplete(rig.await("j", 2, 8*time.Second))
	})
}

// Items that expire are listed as failed, whether they run, wait, have no score yet or
// are orphaned.
func TestExpiredItemsAreListedAsFailed(t *testing.T) {
	for name, stall := range map[string]func(r *workerRig){
		"waiting for the engine": func(r *workerRig) {
			r.engine(0, func(e *fakeEngine) { e.down = true })
			r.engine(1, func(e *fakeEngine) { e.down = true })
		},
		"running": func(r *workerRig) {
			for i := range 4 {
				r.engines.lengths[fmt.Sprintf("item-%03d", i)] = 10_000
			}
		},
		"without a score": func(r *workerRig) { r.rewards.latency = time.Hour },
		"orphaned": func(r *workerRig) {
			r.kill(0)
			time.AfterFunc(9*time.Second, func() { r.kill(1) })
			r.engine(1, func(e *fakeEngine) { e.down = true })
			time.AfterFunc(11*time.Second, func() { r.start(0) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				rig := scoredRig(t, 2)
				stall(rig)
				rig.submit("j", 4, func(j *Job) { j.ItemTTL = 10 * time.Second })
				time.Sleep(9900 * time.Millisecond)
				if l := rig.await("j", 0, 0); len(l.Results) != 0 {
					t.Fatalf("%d results before the items expired", len(l.Results))
				}
				l := rig.await("j", 4, 6*time.Second)
				for _, x := range l.Results {
					if x.State != StateFailed {
						t.Errorf("item %s is %s", x.ID, x.State)
					}
				}
			})
		})
	}
}

func TestJoinedSegmentsOfCompleteTexts(t *testing.T) {
	e := func(n int) []string { return make([]string, n) }
	for name, c := range map[string]struct {
		segments []segment
		events   int
		complete bool
		failures int
	}{
		"complete at once":            {[]segment{{Lineage: "a", Events: e(5), Complete: true}}, 5, true, 0},
		"complete in a later segment": {[]segment{{Lineage: "a", Events: e(5)}, {Lineage: "a", From: 5, Complete: true}}, 5, true, 0},
		"end after a gap":             {[]segment{{Lineage: "a", Events: e(5)}, {Lineage: "a", From: 9, Complete: true}}, 5, false, 0},
		"complete beats longer":       {[]segment{{Lineage: "a", Events: e(9)}, {Lineage: "b", Events: e(5), Complete: true}}, 5, true, 0},
		"failures of all agents":      {[]segment{{Lineage: "a", Events: e(5), Complete: true, RewardFailures: 2}, {Lineage: "b", Events: e(4), RewardFailures: 1}}, 5, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			got := joinSegments(c.segments)[0]
			if len(got.events) != c.events || got.complete != c.complete || got.rewardFailures != c.failures {
				t.Fatalf("got %d events, complete %v, %d failures", len(got.events), got.complete, got.rewardFailures)
			}
		})
	}
}
