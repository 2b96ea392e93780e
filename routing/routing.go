// Package routing picks the agent for a request from an immutable snapshot: it
// filters the agents, scores the rest and picks the best. It has no state of its
// own but RoundRobin's counter; the random source is passed in.
package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"mulberryscale.example/membership"
)

// Request describes a request to be routed.
type Request struct {
	// Model is the model to run; empty for a plain service.
	Model string
	// Service is the row name of a plain service; empty for a model.
	Service string
	// Zone is the zone of the entry that routes the request.
	Zone string
	// MinVersion is the oldest weight version allowed, 0 for any.
	MinVersion uint64
	// PrefixKey is the same for requests that share a prompt, 0 for none.
	PrefixKey uint64
	// Exclude names agents that already failed or refused the request.
	Exclude map[string]bool
	// NeedFree asks for an agent with a free slot, or with fewer than Backlog
	// runs of the same step that have not started.
	NeedFree bool
	// Backlog bounds Unstarted when there is no free slot.
	Backlog int
	// Accept is an additional condition on the agent; nil for none.
	Accept func(*membership.Agent) bool
	// Unstarted counts the step's own runs that were sent but have not started, by agent id.
	Unstarted map[string]int
}

// Filter drops agents that cannot take a request.
type Filter interface {
	// Name returns the name of the filter in errors and counters.
	Name() string
	// Keep reports whether the agent can take the request.
	Keep(req *Request, a *membership.Agent) bool
}

// Scorer rates agents.
type Scorer interface {
	// Name returns the name of the scorer.
	Name() string
	// Score returns a rating between 0 (worst) and 1.
	Score(req *Request, a *membership.Agent) float64
}

// WeightedScorer is a scorer and the weight of its score in the sum.
type WeightedScorer struct {
	Scorer
	Weight float64
}

// Profile is an ordered set of filters and scorers. It is immutable.
type Profile struct {
	Filters []Filter
	Scorers []WeightedScorer
	// Choices is how many random agents are compared by score; 0 compares all.
	Choices int
}

// NoEndpointError reports that no agent passed the filters, and how many each filter dropped.
type NoEndpointError struct {
	Watched int
	Dropped []DropCount
}

// DropCount is the number of agents that a filter dropped.
type DropCount struct {
	Filter string
	Count  int
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "none of %d watched agents can take it", e.Watched)
	for _, d := range e.Dropped {
		fmt.Fprintf(&b, ", %d dropped by %s", d.Count, d.Filter)
	}
	return b.String()
}

// DroppedBy returns how many agents the named filter dropped.
func (e *NoEndpointError) DroppedBy(filter string) int {
	for _, d := range e.Dropped {
		if d.Filter == filter {
			return d.Count
		}
	}
	return 0
}

// Pick returns the agent for a request, or a *NoEndpointError.
func (p *Profile) Pick(req *Request, snap *membership.Snapshot, rng *rand.Rand) (*membership.Agent, error) {
	kept, err := p.filter(req, snap.Agents)
	if err != nil {
		return nil, err
	}
	return p.best(req, p.sample(kept, rng)), nil
}

func (p *Profile) filter(req *Request, agents []*membership.Agent) ([]*membership.Agent, error) {
	kept := make([]*membership.Agent, 0, len(agents))
	dropped := make([]int, len(p.Filters))
	for _, a := range agents {
		if i := p.droppedBy(req, a); i >= 0 {
			dropped[i]++
			continue
		}
		kept = append(kept, a)
	}
	if len(kept) > 0 {
		return kept, nil
	}
	e := &NoEndpointError{Watched: len(agents)}
	for i, f := range p.Filters {
		if dropped[i] > 0 {
			e.Dropped = append(e.Dropped, DropCount{Filter: f.Name(), Count: dropped[i]})
		}
	}
	return nil, e
}

// droppedBy returns the index of the first filter that drops the agent, or -1.
func (p *Profile) droppedBy(req *Request, a *membership.Agent) int {
	for i, f := range p.Filters {
		if !f.Keep(req, a) {
			return i
		}
	}
	return -1
}

// sample draws p.Choices agents without replacement, by a partial shuffle of kept.
func (p *Profile) sample(kept []*membership.Agent, rng *rand.Rand) []*membership.Agent {
	if p.Choices <= 0 || p.Choices >= len(kept) {
		return kept
	}
	for i := range p.Choices {
		j := i + rng.IntN(len(kept)-i)
		kept[i], kept[j] = kept[j], kept[i]
	}
	return kept[:p.Choices]
}

func (p *Profile) best(req *Request, agents []*membership.Agent) *membership.Agent {
	best := agents[0]
	bestScore := p.score(req, best)
	for _, a := range agents[1:] {
		if s := p.score(req, a); s > bestScore {
			best, bestScore = a, s
		}
	}
	return best
}

func (p *Profile) score(req *Request, a *membership.Agent) float64 {
	var sum float64
	for _, s := range p.Scorers {
		sum += s.Weight * s.Score(req, a)
	}
	return sum
}
