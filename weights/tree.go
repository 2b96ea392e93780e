package weights

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mulberryscale.example/platform"
)

// DefaultFanout is how many agents fetch from one agent of their zone.
const DefaultFanout = 2

// maxSources bounds the number of peers that are asked before the store.
const maxSources = 3

// Position is an agent's position in the distribution tree of a version.
type Position struct {
	// Sources are the peers to fetch from in the order to try; the store comes
	// after them. The agent at the root has none.
	Sources []platform.Instance
	// Children are the peers that are expected to fetch from here.
	Children []platform.Instance
	// Rank is the agent's index in the order of all agents and Agents their number.
	Rank   int
	Agents int
}

// rankedAgent is an agent with its rendezvous hash.
type rankedAgent struct {
	platform.Instance
	hash uint64
}

// TreePosition returns the position of self in the tree that the listed agents form for
// a version. All agents are ordered by rendezvous hashing on (model, version, id). The
// first agent of each zone is the zone's head. The heads form a tree of the given
// fanout, and the agents of each zone form another one below their head, so that
// parts cross into a zone once. Sources always come earlier in the order, so that
// agents whose lists differ never wait for each other in a cycle.
func TreePosition(self platform.Instance, model string, version uint64, listed []platform.Instance, fanout int) Position {
	order := rank(self, model, version, listed)
	heads, zone := zoneLevels(order, self.Zone)
	p := Position{Rank: indexOf(order, self.ID), Agents: len(order)}
	inZone := indexOf(zone, self.ID)
	p.Children = childrenOf(zone, inZone, fanout)
	level, at := zone, inZone
	if inZone == 0 {
		level, at = heads, indexOf(heads, self.ID)
		p.Children = append(p.Children, childrenOf(heads, at, fanout)...)
	}
	for _, i := range sourceIndexes(at, fanout) {
		p.Sources = append(p.Sources, level[i].Instance)
	}
	return p
}

// rank returns the live agents, self included, in rendezvous order.
func rank(self platform.Instance, model string, version uint64, listed []platform.Instance) []rankedAgent {
	prefix := fmt.Sprintf("%s\x00%d\x00", model, version)
	order := []rankedAgent{{self, xxhash.Sum64String(prefix + self.ID)}}
	for _, in := range listed {
		if in.Role == platform.RoleAgent && in.State != platform.InstanceLeaving && in.ID != self.ID {
			order = append(order, rankedAgent{in, xxhash.Sum64String(prefix + in.ID)})
		}
	}
	slices.SortFunc(order, func(a, b rankedAgent) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	return order
}

// zoneLevels returns the first agent of each zone and all agents of one zone, in order.
func zoneLevels(order []rankedAgent, zone string) (heads, inZone []rankedAgent) {
	seen := make(map[string]bool)
	for _, a := range order {
		if !seen[a.Zone] {
			seen[a.Zone] = true
			heads = append(heads, a)
		}
		if a.Zone == zone {
			inZone = append(inZone, a)
		}
	}
	return heads, inZone
}

func indexOf(agents []rankedAgent, id string) int {
	return slices.IndexFunc(agents, func(a rankedAgent) bool { return a.ID == id })
}

// childrenOf returns the children of the node at index i of a complete tree.
func childrenOf(tree []rankedAgent, i, fanout int) []platform.Instance {
	var children []platform.Instance
	for c := fanout*i + 1; c <= fanout*(i+1) && c < len(tree); c++ {
		children = append(children, tree[c].Instance)
	}
	return children
}

// sourceIndexes returns the indexes that the node at index i fetches from: its parent,
// then the node before it and its parent's parent.
func sourceIndexes(i, fanout int) []int {
	if i <= 0 {
		return nil
	}
	parent := (i - 1) / fanout
	sources := []int{parent}
	for _, s := range []int{i - 1, (parent - 1) / fanout} {
		if s >= 0 && !slices.Contains(sources, s) && len(sources) < maxSources {
			sources = append(sources, s)
		}
	}
	return sources
}
