// Package picker chooses the endpoint of a service for each send, from what this
// process has sent and heard itself. It has no clock, network or goroutine of
// its own.
package picker

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberryscale.example/fleet"
)

const (
	// suspectTime is how long an instance that did not answer is passed over
	// while others are left. The instance list drops a dead one after about
	// three and a half seconds.
	suspectTime = 2 * time.Second
	// zonePenalty is the load, in shares of an instance's slots, that a request
	// to another zone is worth: a millisecond against a work of tens.
	zonePenalty = 0.25
)

// load is what this process knows of an instance's load.
type load struct {
	outstanding int // sent from here and not answered
	suspect     time.Time
}

// Picker holds the loads of all instances by their incarnations. It is safe for
// concurrent use.
type Picker struct {
	mu    sync.Mutex
	loads map[fleet.Incarnation]*load
}

// New returns a picker that knows of no load.
func New() *Picker { return &Picker{loads: map[fleet.Incarnation]*load{}} }

func (p *Picker) of(i fleet.Incarnation) *load {
	found, ok := p.loads[i]
	if !ok {
		found = &load{}
		p.loads[i] = found
	}
	return found
}

// Begin says that a request is sent to an instance.
func (p *Picker) Begin(i fleet.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(i).outstanding++
}

// End says that a request has ended. An instance that did not answer is suspect
// until it answers again.
func (p *Picker) End(i fleet.Incarnation, answered bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.of(i)
	entry.outstanding--
	entry.suspect = time.Time{}
	if !answered {
		entry.suspect = now
	}
}

// Prune forgets incarnations that are not in the list any more.
func (p *Picker) Prune(s *fleet.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, entry := range p.loads {
		if s.Instances[i.ID].Incarnation() != i && entry.outstanding == 0 {
			delete(p.loads, i)
		}
	}
}

// Query is what a pick is made for.
type Query struct {
	Candidates []fleet.Instance
	// Tried are passed over.
	Tried map[fleet.Incarnation]bool
	// Zone is the sender's availability zone, Request the request's id.
	Zone, Request string
	Now           time.Time
}

// Pick chooses the instance for a request: of those that were not tried and
// are not suspect, the least loaded, with a preference for the own zone.
// Suspects are used when nothing else is left.
func (p *Picker) Pick(q Query) (fleet.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fresh, suspects []fleet.Instance
	for _, c := range q.Candidates {
		switch {
		case q.Tried[c.Incarnation()]:
		case q.Now.Sub(p.of(c.Incarnation()).suspect) < suspectTime:
			suspects = append(suspects, c)
		default:
			fresh = append(fresh, c)
		}
	}
	if len(fresh) == 0 {
		fresh = suspects
	}
	if len(fresh) == 0 {
		return fleet.Instance{}, false
	}
	return slices.MinFunc(fresh, func(a, b fleet.Instance) int {
		return cmp.Or(cmp.Compare(p.score(a, q), p.score(b, q)), cmp.Compare(tie(q.Request, a.ID), tie(q.Request, b.ID)))
	}), true
}

// score is the load of an instance in shares of its slots; lower is better.
func (p *Picker) score(c fleet.Instance, q Query) float64 {
	s := float64(p.of(c.Incarnation()).outstanding) / float64(max(1, c.Slots))
	if c.Zone != q.Zone {
		s += zonePenalty
	}
	return s
}

// tie spreads requests over instances of the same score.
func tie(request, id string) uint64 { return xxhash.Sum64String(request + "\x00" + id) }
