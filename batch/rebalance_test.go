package batch

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"mulberryscale.example/fleet"
)

// statusOf returns the status of an agent with items of one job.
func statusOf(interval time.Duration, waiting, running int) *Status {
	var s JobStatus
	for i := range waiting {
		s.Waiting = append(s.Waiting, i)
	}
	for i := range running {
		s.Running = append(s.Running, waiting+i)
	}
	return &Status{Up: true, EventInterval: interval, Jobs: map[string]JobStatus{"j": s}}
}

// TestSlowestEngineIsBusiestPeer compares an agent with items that wait for a moment and
// one whose engine is four times slower than that of the asking agent.
func TestSlowestEngineIsBusiestPeer(t *testing.T) {
	const interval = 50 * time.Millisecond
	for name, c := range map[string]struct {
		statuses map[string]*Status
		engine   string
		running  bool
		n        int
	}{
		"slow and waiting":   {map[string]*Status{"slow": statusOf(200*time.Millisecond, 0, 4), "full": statusOf(interval, 9, 12)}, "slow", true, 8},
		"slow with waiting":  {map[string]*Status{"slow": statusOf(200*time.Millisecond, 3, 4)}, "slow", true, 14},
		"a little slower":    {map[string]*Status{"slow": statusOf(70*time.Millisecond, 0, 4), "full": statusOf(interval, 9, 12)}, "full", false, 9},
		"interval not known": {map[string]*Status{"new": statusOf(0, 0, 4)}, "", false, 0},
		"nothing":            {map[string]*Status{"idle": statusOf(interval, 0, 0)}, "", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			engine, running, n := busiestPeer("j", c.statuses, interval)
			if engine != c.engine || running != c.running || n != c.n {
				t.Errorf("got %q, running %v, %d; want %q, %v, %d", engine, running, n, c.engine, c.running, c.n)
			}
		})
	}
}

func TestRunningItemsAreHandedOverLongestFirst(t *testing.T) {
	j := &workJob{tasks: map[int]*task{}}
	cancel := func(error) {}
	for i, c := range []struct{ expected, events int }{{100, 5}, {900, 9}, {900, 2}, {300, 0}} {
		j.tasks[i] = &task{index: i, item: &Item{ExpectedTokens: c.expected}, text: make([]string, c.events), cancel: context.CancelCauseFunc(cancel)}
	}
	j.tasks[9] = &task{index: 9, item: &Item{ExpectedTokens: 5000}} // waiting
	var got []int
	for _, t := range j.longestRunning(3) {
		got = append(got, t.index)
	}
	if len(got) != 3 || got[0] != 2 || got[1] != 1 || got[2] != 3 {
		t.Errorf("got %v, want [2 1 3]", got)
	}
}

// TestCallsOfAnAgentDoNotGrowWithTheAgents counts the calls of 30, 100 and 300 idle agents
// while one long item runs.
func TestCallsOfAnAgentDoNotGrowWithTheAgents(t *testing.T) {
	perSecond := func(agents int) (calls float64) {
		bubble(t, func(t *testing.T) {
			const seconds = 10
			rig := newWorkerRig(t, agents)
			rig.engines.lengths["item-000"] = 1000
			rig.submit("j", 1, nil)
			time.Sleep(seconds * time.Second)
			rig.peers.mu.Lock()
			defer rig.peers.mu.Unlock()
			total := 0
			for _, n := range rig.peers.callsByEngine {
				total += n
			}
			calls = float64(total) / float64(agents) / seconds
		})
		return calls
	}
	few := perSecond(30)
	if few > 12 {
		t.Errorf("%.1f calls a second by each of 30 agents", few)
	}
	for _, agents := range []int{100, 300} {
		if many := perSecond(agents); many > 1.3*few {
			t.Errorf("%.1f calls a second by each of %d agents, %.1f by each of 30", many, agents, few)
		}
	}
}

// TestOpenCallsOfAnAgentAreBounded lets 100, 300 and 1,000 agents look for orphaned items after one
// of them was lost, with calls that take 5 ms. The calls that an agent has open at a time must
// not grow with the agents: the answers to hundreds would come too late, and the items of those that
// answered late would be run twice.
func TestOpenCallsOfAnAgentAreBounded(t *testing.T) {
	for _, agents := range []int{100, 300, 1000} {
		bubble(t, func(t *testing.T) {
			rig := newWorkerRig(t, agents)
			rig.peers.latency = 5 * time.Millisecond
			rig.engines.lengths["item-000"] = 1000
			rig.submit("j", 1, nil)
			time.Sleep(time.Second)
			rig.kill(agents / 2)
			time.Sleep(3 * time.Second)
			rig.peers.mu.Lock()
			defer rig.peers.mu.Unlock()
			if rig.peers.mostOpen > statusParallelism {
				t.Errorf("%d agents: one had %d calls open at a time, want at most %d", agents, rig.peers.mostOpen, statusParallelism)
			}
		})
	}
}

// TestAgentsWatchOnlyJobsOfTheirModels checks that agents make no calls for a job of
// another model than their engine's: engines run two models, and only one model has an
// open job.
func TestAgentsWatchOnlyJobsOfTheirModels(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newWorkerRig(t, 8)
		rig.view.SetConfig(&fleet.Config{Version: 2, Services: []fleet.Service{{Name: "svc", Models: []string{"m", "n"}}}})
		snap := rig.view.Snapshot()
		assignment := AssignEngines(engineAddrs(snap.OfService("svc")), []string{"m", "n"}, NewDemand())["m"]
		rig.engines.lengths["item-000"] = 1000
		rig.submit("j", 1, func(j *Job) { j.Owners, j.MinVersion, j.Ready = assignment.All(), 2, len(assignment.All()) })
		time.Sleep(5 * time.Second)
		rig.peers.mu.Lock()
		defer rig.peers.mu.Unlock()
		for addr, n := range rig.peers.callsByEngine {
			if !assignment.Has(addr) && n > 0 {
				t.Errorf("%d calls by the agent of %s, which has nothing to do with the job", n, addr)
			}
		}
	})
}

// TestItemsOfACrashedAgentResumeSoon kills one of 3, 30 and 100 agents in the middle of its item,
// while all others have free slots.
func TestItemsOfACrashedAgentResumeSoon(t *testing.T) {
	for _, agents := range []int{3, 30, 100} {
		bubble(t, func(t *testing.T) {
			rig := newWorkerRig(t, agents)
			rig.submitLong("j", agents, "item-000")
			runs := rig.runsOf("item-000")
			holder := slices.IndexFunc(rig.addrs(), func(a string) bool { return a == runs[len(runs)-1].engine })
			rig.kill(holder)
			killed := time.Now()
			rig.requireComplete(rig.await("j", agents, 20*time.Second))
			runs = rig.runsOf("item-000")
			if took := runs[len(runs)-1].at.Sub(killed); took > 2*time.Second {
				t.Errorf("%d agents: sent again %s after the kill", agents, took)
			}
		})
	}
}

// TestLeavingItemsGoToTheirModelsAgents drains an engine of one model while jobs of two
// are open: its agent asks agents of its own model for free slots, and finds some.
func TestLeavingItemsGoToTheirModelsAgents(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newWorkerRig(t, 8)
		rig.view.SetConfig(&fleet.Config{Version: 2, Services: []fleet.Service{{Name: "svc", Models: []string{"m", "n"}}}})
		assignments := AssignEngines(engineAddrs(rig.view.Snapshot().OfService("svc")), []string{"m", "n"}, NewDemand())
		for i := range 16 {
			rig.engines.lengths[fmt.Sprintf("item-%03d", i)] = 100 // four seconds
		}
		for id, model := range map[string]string{"j": "m", "k": "n"} {
			rig.submit(id, 16, func(j *Job) {
				j.Model, j.Owners, j.MinVersion = model, assignments[model].All(), 1
				j.Ready = len(j.Owners)
			})
		}
		time.Sleep(time.Second)
		leaving := assignments["m"].All()[0]
		rig.peers.mu.Lock()
		clear(rig.peers.callsByPair)
		rig.peers.mu.Unlock()
		rig.register(slices.Index(rig.addrs(), leaving), true)
		time.Sleep(3 * time.Second)
		after := AssignEngines(engineAddrs(rig.view.Snapshot().OfService("svc")), []string{"m", "n"}, NewDemand())["m"]
		rig.peers.mu.Lock()
		defer rig.peers.mu.Unlock()
		asked := 0
		for pair, n := range rig.peers.callsByPair {
			if pair[0] != leaving {
				continue
			}
			asked += n
			if e := pair[1] + ":80"; !assignments["m"].Has(e) && !after.Has(e) {
				t.Errorf("%d calls to %s, which serves the other model", n, pair[1])
			}
		}
		if asked == 0 {
			t.Error("no agent was asked")
		}
	})
}

// TestCrashedNeighbourIsDetectedBetweenRounds kills an agent while the next scan of all agents
// by its predecessor in the ring is 36 s away.
func TestCrashedNeighbourIsDetectedBetweenRounds(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const agents = 30
		rig := newWorkerRig(t, agents)
		rig.submitLong("j", agents, "item-000")
		holder := slices.Index(rig.addrs(), rig.runsOf("item-000")[0].engine)
		sorted := slices.Sorted(slices.Values(rig.addrs()))
		predecessor := sorted[(slices.Index(sorted, engineAddr(holder))+agents-1)%agents]
		host, _, _ := net.SplitHostPort(predecessor)
		rig.kill(holder)
		latest := func() float64 { return 0.99 }
		h := &rebalancer{Worker: rig.peers.workers[host], orphanScans: newOrphanScans(latest)}
		h.orphanScans.due(time.Now(), agents)
		h.findOrphans(t.Context(), h.openJobs())
		time.Sleep(50 * time.Millisecond)
		if runs := rig.runsOf("item-000"); len(runs) != 2 {
			t.Errorf("sent %d times, want a second time right after the neighbour checked", len(runs))
		}
	})
}

// TestOnlyParticipantsTakeWork has an idle agent that does not participate in a job which
// its engine could run. Agents that look for orphans ask participants only, and would run
// items that it holds a second time.
func TestOnlyParticipantsTakeWork(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newWorkerRig(t, 3)
		outsider := engineAddr(2)
		r.submit("job", 60, func(j *Job) {
			j.Model = ""
			j.Owners = slices.DeleteFunc(j.Owners, func(e string) bool { return e == outsider })
			j.Ready = len(j.Owners)
		})
		r.requireComplete(r.await("job", 60, 60*time.Second))
		for _, run := range r.runs() {
			if run.engine == outsider {
				t.Fatalf("item %s ran at an engine whose agent does not participate in its job", run.item)
			}
		}
	})
}
