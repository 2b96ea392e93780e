package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mulberryscale.example/platform"
)

// Bounds on subsets and watchers.
const (
	// minWatchers is the minimum number of entries that watch each agent, if there are that
	// many entries, so that no agent runs out of work when one entry fails.
	minWatchers = 2
	// subsetSlack is the maximum size of a subset as a multiple of its intended size.
	subsetSlack = 2
)

// Subset returns the agents that an entry watches: size agents in the mean over all entries,
// and at most twice as many. Watchers are assigned per agent: each agent gets the same number
// of watchers, a quarter of them in other zones, ranked by rendezvous hashing. So every agent
// is watched, and an instance that joins or leaves moves few watches.
func Subset(entryID, zone string, instances []platform.Instance, size int) []platform.Instance {
	entries, agents := splitByRole(entryID, zone, instances)
	quota := watchersPerAgent(len(entries), len(agents), size)
	self := candidate{hash: xxhash.Sum64String(entryID), zone: zone}
	rivals := map[string][]uint64{} // by the agents' zone
	var chosen []platform.Instance
	for _, in := range agents {
		if _, ok := rivals[in.Zone]; !ok {
			rivals[in.Zone] = sameLocality(self, in.Zone, entries)
		}
		if watches(self, in, rivals[in.Zone], len(entries), quota) {
			chosen = append(chosen, in)
		}
	}
	limit := subsetSlack * size
	if len(chosen) <= limit {
		return chosen
	}
	slices.SortFunc(chosen, func(a, b platform.Instance) int {
		return cmp.Compare(rankOf(self.hash, xxhash.Sum64String(b.ID)), rankOf(self.hash, xxhash.Sum64String(a.ID)))
	})
	return chosen[:limit:limit]
}

// candidate is an entry that may watch an agent.
type candidate struct {
	hash uint64 // of its id
	zone string
}

// splitByRole returns the entries and the agents of the list. The entry itself is included
// even if it is not on the list yet.
func splitByRole(entryID, zone string, instances []platform.Instance) (entries []candidate, agents []platform.Instance) {
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

// watchersPerAgent returns the number of entries that watch each agent.
func watchersPerAgent(entries, agents, size int) int {
	if agents == 0 {
		return 0
	}
	mean := int(math.Round(float64(size) * float64(entries) / float64(agents)))
	return min(entries, max(minWatchers, mean))
}

// sameLocality returns the hashes of the entries in the zone if self is in the zone, else
// those of the entries outside it. self is always included.
func sameLocality(self candidate, zone string, entries []candidate) []uint64 {
	var hashes []uint64
	for _, e := range entries {
		if (e.zone == zone) == (self.zone == zone) {
			hashes = append(hashes, e.hash)
		}
	}
	return hashes
}

// watches returns whether self is among the agent's watchers. rivals are all entries in the
// agent's zone if self is in it, else all entries outside that zone.
func watches(self candidate, agent platform.Instance, rivals []uint64, entries, quota int) bool {
	isLocal := self.zone == agent.Zone
	local := len(rivals)
	if !isLocal {
		local = entries - len(rivals)
	}
	remoteQuota := max(quota/4, quota-local)
	if quota >= minWatchers {
		remoteQuota = max(remoteQuota, 1)
	}
	remoteQuota = min(remoteQuota, entries-local)
	if isLocal {
		return ranksWithin(self.hash, agent.ID, rivals, quota-remoteQuota)
	}
	return ranksWithin(self.hash, agent.ID, rivals, remoteQuota)
}

// ranksWithin returns whether fewer than allowed rivals rank before self.
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

// Neighbours returns at most n of the instances, chosen by rendezvous hashing on the ids, for
// the process with the given id to keep connections to. The choice changes little when
// instances join or leave.
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
