package batch

import (
	"sync"

	"mulberryscale.example/fleet"
)

// assignmentCache holds the last assignment of a service's engines, which is requested
// tens of times a second but changes only with the list of instances, the configuration or
// the demand. It is safe for concurrent use.
type assignmentCache struct {
	mu             sync.Mutex
	snap           *fleet.Snapshot
	demandRevision uint64
	assignments    map[string]Assignment
}

// assignments returns the engines of each model of this worker's service; nil if the
// service is not configured. Callers must not modify the map.
func (w *Worker) assignments(snap *fleet.Snapshot) map[string]Assignment {
	if snap.Config == nil {
		return nil
	}
	service := snap.Config.Service(w.Service)
	if service == nil {
		return nil
	}
	c := &w.assignmentCache
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision := w.Demand.Revision(); c.snap != snap || c.demandRevision != revision {
		c.snap, c.demandRevision = snap, revision
		c.assignments = AssignEngines(engineAddrs(snap.OfService(w.Service)), service.Models, w.Demand)
	}
	return c.assignments
}
