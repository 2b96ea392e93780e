package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mulberryscale.example/platform"
)

// Subset chooses at most size agents for an entry to watch: those of its own
// zone first, among equals by rendezvous hashing on the two ids, so that the
// choice is stable when others come and go, and entries spread evenly. The
// share kept for other zones is a quarter, so that the loss of a zone leaves
// agents to route to.
func Subset(entryID, zone string, instances []platform.Instance, size int) []platform.Instance {
	var near, far []platform.Instance
	for _, in := range instances {
		switch {
		case in.Role != platform.RoleAgent:
		case in.Zone == zone:
			near = append(near, in)
		default:
			far = append(far, in)
		}
	}
	sortByRendezvous(entryID, near)
	sortByRendezvous(entryID, far)
	farSize := min(len(far), max(size/4, size-len(near)))
	nearSize := min(len(near), size-farSize)
	return append(near[:nearSize:nearSize], far[:farSize]...)
}

func sortByRendezvous(entryID string, instances []platform.Instance) {
	weight := make(map[string]uint64, len(instances))
	for _, in := range instances {
		weight[in.ID] = xxhash.Sum64String(entryID + "\x00" + in.ID)
	}
	slices.SortFunc(instances, func(a, b platform.Instance) int {
		return cmp.Or(cmp.Compare(weight[b.ID], weight[a.ID]), cmp.Compare(a.ID, b.ID))
	})
}
