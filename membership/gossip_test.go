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

// TestNewsReachesAll: what one entry reads of the list reaches the others in a
// few rounds of exchanges between neighbours, and is not told for ever.
func TestNewsReachesAll(t *testing.T) {
	const n, rounds = 205, 20
	entries := instanceList(n, 0, 26)
	index := map[string]int{}
	news := make([]*Gossip, n)
	for i, in := range entries {
		index[in.ID] = i
		news[i] = NewGossip()
	}
	fresh := platform.Instance{ID: "agent-new", Role: platform.RoleAgent, Zone: "zone-01", Addr: "10.9.9.9:1", State: platform.InstanceLive}
	news[0].AddNew(entries, append(entries[:n:n], fresh))
	rng := rand.New(rand.NewPCG(1, 2))
	knows := map[int]bool{0: true}
	told := 0
	var allKnow int
	for round := range rounds {
		for i, in := range entries {
			peers := Neighbours(in.ID, append(entries[:i:i], entries[i+1:]...), 8)
			j := index[peers[rng.IntN(len(peers))].ID]
			offer, reply := news[i].NextBatch(), news[j].NextBatch()
			told += len(offer) + len(reply)
			if len(news[j].Merge(offer)) > 0 {
				knows[j] = true
			}
			if len(news[i].Merge(reply)) > 0 {
				knows[i] = true
			}
		}
		if len(knows) == n && allKnow == 0 {
			allKnow = round + 1
		}
	}
	t.Logf("all %d entries know after %d rounds, %d tellings", n, allKnow, told)
	if len(knows) != n {
		t.Errorf("%d of %d entries know", len(knows), n)
	}
	if told > n*newsTellings {
		t.Errorf("told %d times by %d entries", told, n)
	}
}

// TestNewsIsBounded: a flood of news neither grows messages nor what is kept.
func TestNewsIsBounded(t *testing.T) {
	n := NewGossip()
	n.AddNew(instanceList(1, 0, 1), instanceList(0, 3000, 4))
	if len(n.pieces) > mostNews || len(n.seen) > 2*mostNews {
		t.Errorf("keeps %d pieces and %d keys", len(n.pieces), len(n.seen))
	}
	if got := len(n.NextBatch()); got != newsPerMessage {
		t.Errorf("told %d pieces in a message", got)
	}
	if fresh := n.Merge(make([]wire.Member, 100)); len(fresh) > 0 {
		t.Errorf("took in %d members without id and address", len(fresh))
	}
}

// TestMerge: news takes the place of a known address unless the agent is live.
func TestMerge(t *testing.T) {
	list := instanceList(0, 2, 1)
	view := NewView()
	view.ApplyList(list)
	view.ApplyReport(wire.Header{From: list[0].ID, Incarnation: "a"}, wire.Report{Seq: 1}, time.Unix(1000, 0))
	heard := []platform.Instance{{ID: list[0].ID, Addr: "10.1.1.1:1"}, {ID: list[1].ID, Addr: "10.1.1.2:1"}, {ID: "third", Addr: "10.1.1.3:1"}}
	merged := merge(list, heard, view.Snapshot())
	if len(merged) != 3 || merged[0].Addr != list[0].Addr || merged[1].Addr != "10.1.1.2:1" || merged[2].ID != "third" {
		t.Errorf("merged to %v", merged)
	}
}

// TestHeardAgentIsWatched: an agent that another entry tells of is watched long
// before the list is read again.
func TestHeardAgentIsWatched(t *testing.T) {
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
			t.Errorf("the agent heard of is %+v", a)
		}
	})
}
