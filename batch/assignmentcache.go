package batch

import (
	"sync"

	"mulberryscale.example/fleet"
)

// dealer remembers the last deal of a service's engines, which is asked for
// tens of times a second and changes with the list of instances, the
// configuration or the demand only. It is safe for concurrent use.
type dealer struct {
	mu     sync.Mutex
	snap   *fleet.Snapshot
	demand uint64
	deals  map[string]Assignment
}

// deals are the engines of each model of this worker's service. Callers must
// not change them.
func (w *Worker) deals(snap *fleet.Snapshot) map[string]Assignment {
	if snap.Config == nil {
		return nil
	}
	service := snap.Config.Service(w.Service)
	if service == nil {
		return nil
	}
	d := &w.dealer
	d.mu.Lock()
	defer d.mu.Unlock()
	if seen := w.Demand.Revision(); d.snap != snap || d.demand != seen {
		d.snap, d.demand = snap, seen
		d.deals = AssignEngines(addrs(snap.OfService(w.Service)), service.Models, w.Demand)
	}
	return d.deals
}
