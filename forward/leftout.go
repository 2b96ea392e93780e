package forward

import "mulberryscale.example/fleet"

// keepUnlessNone returns the endpoints for which keep returns true; if there is none, it returns all,
// since a request has a better chance at a suspected endpoint than at none.
func keepUnlessNone(endpoints []fleet.Instance, keep func(fleet.Incarnation) bool) []fleet.Instance {
	var kept []fleet.Instance
	for _, e := range endpoints {
		if keep(e.Incarnation()) {
			kept = append(kept, e)
		}
	}
	if len(kept) == 0 {
		return endpoints
	}
	return kept
}

// deleteUnlisted deletes what is kept of incarnations that are no longer listed.
func deleteUnlisted[V any](kept map[fleet.Incarnation]V, snap *fleet.Snapshot) {
	for i := range kept {
		if snap.Instances[i.ID].Incarnation() != i {
			delete(kept, i)
		}
	}
}
