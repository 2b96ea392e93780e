package routing

import (
	"errors"
	"math/rand/v2"
	"slices"

	"mulberryscale.example/membership"
)

// Weights of the scorers. Load counts most: an affinity that fills one engine
// costs more than the prefill that it saves.
const (
	weightLoad   = 1.0
	weightZone   = 0.1
	weightPrefix = 0.15
	// powerOfTwo is the number of agents compared for an interactive request.
	powerOfTwo = 2
)

// hardFilters hold always; softFilters give way when they would leave nothing.
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

// Router picks with a profile, and with a wider one when it finds nothing.
type Router struct {
	// Strict also drops agents that are suspect or excluded.
	Strict Profile
	// Fallback keeps those, so that a cut zone or stopped reports never empty the set.
	Fallback Profile
}

// NewInteractive routes interactive requests: power of two choices.
func NewInteractive() *Router { return newRouter(powerOfTwo) }

// NewTraining routes samples: the best of all, since the entry holds them until a slot is free.
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
