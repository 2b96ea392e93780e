package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/platform"
	"mulberryscale.example/wire"
)

// TestGossipReachesAllEntries checks that an instance which one entry found on the list reaches
// all others in a few rounds of exchanges between neighbours, and is then no longer sent.
func TestGossipReachesAllEntries(t *testing.T) {
	const n, rounds = 205, 20
	entries := instanceList(n, 0, 26)
	index := map[string]int{}
	gossips := make([]*Gossip, n)
	for i, in := range entries {
		index[in.ID] = i
		gossips[i] = NewGossip()
	}
	fresh := platform.Instance{ID: "agent-new", Role: platform.RoleAgent, Zone: "zone-01", Addr: "10.9.9.9:1", State: platform.InstanceLive}
	gossips[0].AddNew(entries, append(entries[:n:n], fresh))
	rng := rand.New(rand.NewPCG(1, 2))
	knows := map[int]bool{0: true}
	sent := 0
	var allKnow int
	for round := range rounds {
		for i, in := range entries {
			peers := Neighbours(in.ID, append(entries[:i:i], entries[i+1:]...), 8)
			j := index[peers[rng.IntN(len(peers))].ID]
			offer, reply := gossips[i].NextBatch(), gossips[j].NextBatch()
			sent += len(offer) + len(reply)
			if len(gossips[j].Merge(offer)) > 0 {
				knows[j] = true
			}
			if len(gossips[i].Merge(reply)) > 0 {
				knows[i] = true
			}
		}
		if len(knows) == n && allKnow == 0 {
			allKnow = round + 1
		}
	}
	t.Logf("all %d entries know the instance after %d rounds, sent %d times", n, allKnow, sent)
	if len(knows) != n {
		t.Errorf("%d of %d entries know the instance", len(knows), n)
	}
	if sent > n*gossipTransmissions {
		t.Errorf("sent %d times by %d entries", sent, n)
	}
}

// TestGossipIsBounded checks that a flood of new instances grows neither the messages nor the
// queue beyond their bounds.
func TestGossipIsBounded(t *testing.T) {
	g := NewGossip()
	g.AddNew(instanceList(1, 0, 1), instanceList(0, 3000, 4))
	if len(g.queue) > maxQueuedMembers || len(g.seen) > 2*maxQueuedMembers {
		t.Errorf("%d queued members and %d seen keys", len(g.queue), len(g.seen))
	}
	if got := len(g.NextBatch()); got != membersPerMessage {
		t.Errorf("%d members in a message", got)
	}
	if fresh := g.Merge(make([]wire.Member, 100)); len(fresh) > 0 {
		t.Errorf("%d members without id and address were accepted", len(fresh))
	}
}

// TestMerge checks that a gossiped address replaces the listed one unless the agent is live.
func TestMerge(t *testing.T) {
	list := instanceList(0, 2, 1)
	view := NewView()
	view.ApplyList(list)
	view.ApplyReport(wire.Header{From: list[0].ID, Incarnation: "a"}, wire.Report{Seq: 1}, time.Unix(1000, 0))
	gossiped := []platform.Instance{{ID: list[0].ID, Addr: "10.1.1.1:1"}, {ID: list[1].ID, Addr: "10.1.1.2:1"}, {ID: "third", Addr: "10.1.1.3:1"}}
	merged := merge(list, gossiped, view.Snapshot())
	if len(merged) != 3 || merged[0].Addr != list[0].Addr || merged[1].Addr != "10.1.1.2:1" || merged[2].ID != "third" {
		t.Errorf("merged to %v", merged)
	}
}

// TestGossipedAgentIsWatched checks that an agent which another entry gossips is watched long
// before the list is read again.
func TestGossipedAgentIsWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		agents := instanceList(0, 2, 1)
		cfg := watcherConfig(serveAgents(ctx, t, &running, agents), agents[:1])
		cfg.ListInterval = time.Hour
		w := NewWatcher(cfg)
		running.Go(func() { w.Run(ctx) })
		time.Sleep(time.Second)
		in := agents[1]
		w.MergeGossip([]wire.Member{{ID: in.ID, Role: in.Role, Zone: in.Zone, Addr: in.Addr}})
		time.Sleep(time.Second)
		if a := cfg.View.Snapshot().Agent(in.ID); a == nil || a.State != StateLive {
			t.Errorf("the gossiped agent is %+v", a)
		}
	})
}
