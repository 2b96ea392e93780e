package weights

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/platform"
	"mulberryscale.example/table"
)

func drawAgents(t *rapid.T) []platform.Instance {
	zones := rapid.IntRange(1, 6).Draw(t, "zones")
	var agents []platform.Instance
	for i := range rapid.IntRange(1, 200).Draw(t, "agents") {
		agents = append(agents, platform.Instance{
			ID: fmt.Sprintf("agent-%d", i), Role: platform.RoleAgent,
			Zone: fmt.Sprintf("zone-%d", rapid.IntRange(0, zones-1).Draw(t, "zone")),
		})
	}
	return agents
}

// TestTree checks that there is one root, that every other agent is a child of its
// first source, that parts cross into a zone once, and that sources come earlier in
// the order.
func TestTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := drawAgents(t)
		version := rapid.Uint64().Draw(t, "version")
		fanout := rapid.IntRange(1, 4).Draw(t, "fanout")
		positions := make(map[string]Position)
		zoneOf := make(map[string]string)
		for _, a := range agents {
			positions[a.ID] = TreePosition(a, "guide", version, agents, fanout)
			zoneOf[a.ID] = a.Zone
		}
		roots, crossings, children := 0, make(map[string]int), 0
		for _, a := range agents {
			p := positions[a.ID]
			children += len(p.Children)
			if len(p.Sources) == 0 {
				roots++
				continue
			}
			parent := p.Sources[0]
			if !slices.ContainsFunc(positions[parent.ID].Children, func(c platform.Instance) bool { return c.ID == a.ID }) {
				t.Fatalf("%s is not a child of its first source %s", a.ID, parent.ID)
			}
			if parent.Zone != a.Zone {
				crossings[a.Zone]++
			}
			for _, s := range p.Sources {
				if positions[s.ID].Rank >= p.Rank {
					t.Fatalf("%s of rank %d has source %s of rank %d", a.ID, p.Rank, s.ID, positions[s.ID].Rank)
				}
			}
		}
		if roots != 1 || children != len(agents)-1 {
			t.Fatalf("%d roots and %d children of %d agents", roots, children, len(agents))
		}
		for zone, n := range crossings {
			if n > 1 {
				t.Fatalf("parts cross into %s %d times", zone, n)
			}
		}
	})
}

// TestTreeWithDifferentLists checks that agents with different lists never wait for
// each other in a cycle.
func TestTreeWithDifferentLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := drawAgents(t)
		all := rank(agents[0], "guide", 7, agents)
		for _, a := range agents {
			listed := slices.DeleteFunc(slices.Clone(agents), func(platform.Instance) bool {
				return rapid.IntRange(0, 3).Draw(t, "drop") == 0
			})
			for _, s := range TreePosition(a, "guide", 7, listed, 2).Sources {
				if indexOf(all, s.ID) >= indexOf(all, a.ID) {
					t.Fatalf("%s has source %s, which comes later in the order", a.ID, s.ID)
				}
			}
		}
	})
}

func TestTreeDepth(t *testing.T) {
	var agents []platform.Instance
	for i := range 10000 {
		agents = append(agents, platform.Instance{ID: fmt.Sprint(i), Role: platform.RoleAgent, Zone: fmt.Sprint(i % 26)})
	}
	order := rank(agents[0], "guide", 1, agents)
	heads, zone := zoneLevels(order, "0")
	depth := func(n int) (d int) {
		for i := n - 1; i > 0; i = (i - 1) / DefaultFanout {
			d++
		}
		return d
	}
	if got := depth(len(heads)) + depth(len(zone)); got > 12 {
		t.Fatalf("10,000 agents in 26 zones form a tree of depth %d", got)
	}
}

// TestSwapDelays checks that no more engines load at a time than the window allows.
func TestSwapDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 500).Draw(t, "n")
		window := time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "window"))
		load := time.Duration(rapid.Int64Range(1, int64(window)).Draw(t, "load"))
		bound := int(float64(n)*float64(load)/float64(window)) + 1
		var delays []time.Duration
		for rank := range n {
			delays = append(delays, SwapDelay(rank, n, window))
		}
		for i, began := range delays {
			loading := 0
			for _, other := range delays[:i+1] {
				if began-other < load-2 { // 2 ns for rounding
					loading++
				}
			}
			if loading > bound {
				t.Fatalf("%d of %d engines load at a time, want at most %d", loading, n, bound)
			}
		}
		if !slices.IsSorted(delays) || delays[0] != 0 || delays[n-1] >= window {
			t.Fatalf("delays %v of a window of %s", delays, window)
		}
	})
}

func TestSwapDue(t *testing.T) {
	learned := time.Unix(1000, 0)
	rolling := Swap{Policy: table.SwapRolling, Version: 3, Latest: 4, LearnedAt: learned, Delay: 5 * time.Second}
	change := func(f func(*Swap)) Swap { s := rolling; f(&s); return s }
	cases := []struct {
		name  string
		after time.Duration
		swap  Swap
		want  bool
	}{
		{"before the delay", 4 * time.Second, rolling, false},
		{"at the delay", 5 * time.Second, rolling, true},
		{"nothing newer", time.Hour, change(func(s *Swap) { s.Latest = 3 }), false},
		{"too old for a request", 0, change(func(s *Swap) { s.MinVersion = 4 }), true},
		{"new enough for the requests", 0, change(func(s *Swap) { s.MinVersion = 3 }), false},
		{"nothing loaded", 0, change(func(s *Swap) { s.Version = 0 }), true},
		{"at once", 0, change(func(s *Swap) { s.Policy = table.SwapAtOnce }), true},
		{"drain", 0, change(func(s *Swap) { s.Policy = table.SwapDrain }), true},
	}
	for _, c := range cases {
		if got := SwapDue(learned.Add(c.after), c.swap); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestIntervalsBoundTheTotal checks that the load of all agents together does not
// grow with their number.
func TestIntervalsBoundTheTotal(t *testing.T) {
	for _, n := range []int{1, 12, 820, 10000} {
		if perSecond := float64(n) / PollInterval(n, DefaultStoreReads, time.Second).Seconds(); perSecond > DefaultStoreReads+0.01 {
			t.Errorf("%d agents ask the store %.1f times a second", n, perSecond)
		}
		if bytes := float64(n) * listEntryBytes / ListInterval(n).Seconds(); bytes > listBytesPerSecond+1 {
			t.Errorf("one of %d agents reads %.0f bytes of the list a second", n, bytes)
		}
	}
}
