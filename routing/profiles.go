package routing

import (
	"errors"
	"math/rand/v2"
	"slices"

	"mulberryscale.example/membership"
)

// Weights of the scorers. Load has the largest: an affinity that overloads one
// engine costs more than the prefill that it saves.
const (
	weightLoad   = 1.0
	weightZone   = 0.1
	weightPrefix = 0.15
	// interactiveChoices is the number of agents compared for an interactive request:
	// the power of two choices.
	interactiveChoices = 2
)

// hardFilters always apply; softFilters are ignored when no agent would pass them.
var (
	hardFilters = []Filter{Serving{}, Healthy{}, Ready{}, Leaving{}, Version{}, Accepted{}, Free{}}
	softFilters = []Filter{Suspect{}, Excluded{}}
)

func defaultScorers() []WeightedScorer {
	return []WeightedScorer{{Load{}, weightLoad}, {Zone{}, weightZone}, {Prefix{}, weightPrefix}}
}

// Picker picks the agent for a request, or returns a *NoEndpointError.
type Picker interface {
	Pick(req *Request, snap *membership.Snapshot, rng *rand.Rand) (*membership.Agent, error)
}

// Router picks with a strict profile, and with a wider one when that finds no agent.
type Router struct {
	// Strict also drops agents that are suspect or excluded.
	Strict Profile
	// Fallback keeps suspect and excluded agents, so that a request still finds an agent when
	// a zone is partitioned off or reports have stopped.
	Fallback Profile
}

// NewInteractive returns a router for interactive requests: the better of two random agents.
func NewInteractive() *Router { return newRouter(interactiveChoices) }

// NewTraining returns a router for samples: the best of all agents, since the entry queues
// samples until a slot is free.
func NewTraining() *Router { return newRouter(0) }

func newRouter(choices int) *Router {
	strict := slices.Concat(softFilters, hardFilters)
	return &Router{
		Strict:   Profile{Filters: strict, Scorers: defaultScorers(), Choices: choices},
		Fallback: Profile{Filters: hardFilters, Scorers: defaultScorers(), Choices: choices},
	}
}

// Pick returns the agent for a request, or a *NoEndpointError.
func (r *Router) Pick(req *Request, snap *membership.Snapshot, rng *rand.Rand) (*membership.Agent, error) {
	a, err := r.Strict.Pick(req, snap, rng)
	if err == nil {
		return a, nil
	}
	var none *NoEndpointError
	if !errors.As(err, &none) || none.DroppedBy(FilterFree) > 0 {
		return nil, err
	}
	if none.DroppedBy(FilterSuspect)+none.DroppedBy(FilterExcluded) == 0 {
		return nil, err
	}
	return r.Fallback.Pick(req, snap, rng)
}
