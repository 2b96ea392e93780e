package routing

import (
	"math/rand/v2"
	"sync/atomic"

	"mulberryscale.example/membership"
)

// RoundRobin picks in turn among the agents that pass the filters; it does not compare
// their load, zone or prefix. It is the baseline that experiments compare with.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Picker.
func (r *RoundRobin) Pick(req *Request, snap *membership.Snapshot, _ *rand.Rand) (*membership.Agent, error) {
	p := Profile{Filters: []Filter{Suspect{}, Excluded{}, Serving{}, Healthy{}, Ready{}, Leaving{}, Version{}}}
	kept, err := p.filter(req, snap.Agents)
	if err != nil {
		return nil, err
	}
	return kept[int(r.next.Add(1)-1)%len(kept)], nil
}
