package batch

import (
	"sync"

	"mulberryscale.example/fleet"
)

// assignmentCache holds the last assignments of services' engines, which are requested
// tens of times a second but change only with the list of instances, the configuration or
// the demand. It is safe for concurrent use.
type assignmentCache struct {
	mu             sync.Mutex
	snap           *fleet.Snapshot
	demandRevision uint64
	byService      map[string]map[string]Assignment
}

// assignments returns the engines of each model of this worker's service; nil if the
// service is not configured. Callers must not modify the map.
func (w *Worker) assignments(snap *fleet.Snapshot) map[string]Assignment {
	return w.assignmentsOf(w.Service, snap)
}

// assignmentsOf is assignments for any service.
func (w *Worker) assignmentsOf(name string, snap *fleet.Snapshot) map[string]Assignment {
	if snap.Config == nil {
		return nil
	}
	service := snap.Config.Service(name)
	if service == nil {
		return nil
	}
	c := &w.assignmentCache
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision := w.Demand.Revision(); c.snap != snap || c.demandRevision != revision {
		c.snap, c.demandRevision, c.byService = snap, revision, map[string]map[string]Assignment{}
	}
	assignments, known := c.byService[name]
	if !known {
		assignments = AssignEngines(engineAddrs(snap.OfService(name)), service.Models, w.Demand)
		c.byService[name] = assignments
	}
	return assignments
}
