package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mulberryscale.example/platform"
)

// Bounds of a subset.
const (
	// leastWatchers is how many entries watch each agent, where there are so
	// many, so that the loss of one entry leaves no agent without work.
	leastWatchers = 2
	// subsetSlack bounds a subset to so many times its intended size.
	subsetSlack = 2
)

// Subset chooses the agents that an entry watches: size of them in the mean
// over all entries, and at most twice as many. It draws from the agents' side:
// each agent gets the same number of watchers, a quarter of them in other zones,
// ranked by rendezvous hashing. So no agent goes unwatched, and an instance that
// comes or goes moves few watches.
func Subset(entryID, zone string, instances []platform.Instance, size int) []platform.Instance {
	entries, agents := split(entryID, zone, instances)
	quota := watchersOf(len(entries), len(agents), size)
	self := candidate{hash: xxhash.Sum64String(entryID), zone: zone}
	rivals := map[string][]uint64{} // by the agents' zone
	var chosen []platform.Instance
	for _, in := range agents {
		if _, ok := rivals[in.Zone]; !ok {
			rivals[in.Zone] = sameSide(self, in.Zone, entries)
		}
		if watches(self, in, rivals[in.Zone], len(entries), quota) {
			chosen = append(chosen, in)
		}
	}
	most := subsetSlack * size
	if len(chosen) <= most {
		return chosen
	}
	slices.SortFunc(chosen, func(a, b platform.Instance) int {
		return cmp.Compare(rankOf(self.hash, xxhash.Sum64String(b.ID)), rankOf(self.hash, xxhash.Sum64String(a.ID)))
	})
	return chosen[:most:most]
}

// candidate is an entry that may watch an agent.
type candidate struct {
	hash uint64 // of its id
	zone string
}

// split sorts out the list. The entry itself counts even if the list does not
// name it yet.
func split(entryID, zone string, instances []platform.Instance) (entries []candidate, agents []platform.Instance) {
	entries = append(entries, candidate{hash: xxhash.Sum64String(entryID), zone: zone})
	for _, in := range instances {
		switch {
		case in.Role == platform.RoleAgent:
			agents = append(agents, in)
		case in.Role == platform.RoleEntry && in.ID != entryID && in.State != platform.InstanceLeaving:
			entries = append(entries, candidate{hash: xxhash.Sum64String(in.ID), zone: in.Zone})
		}
	}
	return entries, agents
}

// watchersOf is how many entries watch each agent.
func watchersOf(entries, agents, size int) int {
	if agents == 0 {
		return 0
	}
	mean := int(math.Round(float64(size) * float64(entries) / float64(agents)))
	return min(entries, max(leastWatchers, mean))
}

// sameSide are the entries that stand to a zone's agents as self does: all of
// the zone, or all of the others, self among them.
func sameSide(self candidate, zone string, entries []candidate) []uint64 {
	var hashes []uint64
	for _, e := range entries {
		if (e.zone == zone) == (self.zone == zone) {
			hashes = append(hashes, e.hash)
		}
	}
	return hashes
}

// watches says whether self is among the agent's watchers. Rivals are the
// entries on self's side of the border of the agent's zone.
func watches(self candidate, agent platform.Instance, rivals []uint64, entries, quota int) bool {
	isNear := self.zone == agent.Zone
	near := len(rivals)
	if !isNear {
		near = entries - len(rivals)
	}
	farQuota := max(quota/4, quota-near)
	if quota >= leastWatchers {
		farQuota = max(farQuota, 1)
	}
	farQuota = min(farQuota, entries-near)
	if isNear {
		return ranksWithin(self.hash, agent.ID, rivals, quota-farQuota)
	}
	return ranksWithin(self.hash, agent.ID, rivals, farQuota)
}

// ranksWithin says whether fewer than allowed rivals rank before self.
func ranksWithin(self uint64, agentID string, rivals []uint64, allowed int) bool {
	agent := xxhash.Sum64String(agentID)
	own := rankOf(self, agent)
	before := 0
	for _, rival := range rivals {
		if before >= allowed {
			return false
		}
		if rankOf(rival, agent) > own {
			before++
		}
	}
	return before < allowed
}

// Neighbours chooses at most n of the instances, by rendezvous hashing on the
// ids, for a process to keep connections to. The choice is stable when others
// come and go.
func Neighbours(id string, instances []platform.Instance, n int) []platform.Instance {
	if len(instances) <= n {
		return instances
	}
	self := xxhash.Sum64String(id)
	chosen := slices.Clone(instances)
	slices.SortFunc(chosen, func(a, b platform.Instance) int {
		return cmp.Compare(rankOf(self, xxhash.Sum64String(b.ID)), rankOf(self, xxhash.Sum64String(a.ID)))
	})
	return chosen[:n:n]
}

func rankOf(entry, agent uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], entry)
	binary.LittleEndian.PutUint64(pair[8:], agent)
	return xxhash.Sum64(pair[:])
}
