// Package picker chooses the endpoint of a service for each send, from what this
// process has sent and how long its answers took. It has no clock, network or
// goroutine of its own.
//
// The pattern of the second part: an endpoint that has turned several times as
// slow, whose health is good and whose list entry says nothing of it. Requests
// sent there are late although others have room. With one of four endpoints five
// times as slow, beside bursts of background calls, 5 in 100 interactive
// requests took over 150 ms, and 17 in 100 without it (package loadmodel, pattern
// slow-endpoint, five seeds). The loads that endpoints tell are not used here:
// they are as old as the last answer, and senders that follow them all go to the
// endpoint that was idle a moment ago (late requests 4.1 in 100 instead of 1.2
// under saturation).
package picker

import (
	"cmp"
	"math"
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

// Outcome is what came of a request that was sent to an instance.
type Outcome struct {
	// Answered is false for an instance that did not answer in its time.
	Answered bool
	// Kind names requests of like work, Took is how long an answer took; 0 if
	// that says nothing.
	Kind string
	Took time.Duration
	// Risky is what Begin was told.
	Risky bool
}

const (
	// slowdownMemory is the time constant with which an instance's slowness is
	// forgotten while nothing is sent to it: one that took five times as long is
	// tried again after 17 s. With 3 s the trials themselves made 9 in 100
	// interactive requests late (pattern slow-endpoint), with 10 s 5 in 100.
	slowdownMemory = 10 * time.Second
	// slowThreshold is from how many times the usual time on an instance counts as
	// slow: work with a lognormal spread of 0.5 alone gives the mean of the
	// newest answers a standard deviation of 0.2 (computed from ownWeight).
	slowThreshold = 1.7
	// typicalWeight and ownWeight are the weights of the newest answer in the
	// means over all instances and over one.
	typicalWeight = 0.05
	ownWeight     = 0.25
)

// load is what this process knows of an instance's load.
type load struct {
	outstanding int // sent from here and not answered
	// risky counts those of them that may end the instance.
	risky   int
	suspect time.Time
	// slowdown is how many slowdown as long as usual its answers take.
	slowdown   float64
	slowdownAt time.Time
}

// slowness is how many times as long as elsewhere a request takes there, 1 for
// what is not told from the usual.
func (l *load) slowness(now time.Time) float64 {
	if times := l.decayedSlowdown(now); times >= slowThreshold {
		return times
	}
	return 1
}

// decayedSlowdown is what is left of the times by now.
func (l *load) decayedSlowdown(now time.Time) float64 {
	if l.slowdownAt.IsZero() {
		return 1
	}
	return 1 + (l.slowdown-1)*math.Exp(-float64(now.Sub(l.slowdownAt))/float64(slowdownMemory))
}

// Picker holds the loads of all instances by their incarnations. It is safe for
// concurrent use.
type Picker struct {
	mu    sync.Mutex
	loads map[fleet.Incarnation]*load
	// typical is the mean time of an answer, by kind.
	typical map[string]time.Duration
}

// New returns a picker that knows of no load.
func New() *Picker {
	return &Picker{loads: map[fleet.Incarnation]*load{}, typical: map[string]time.Duration{}}
}

func (p *Picker) loadOf(i fleet.Incarnation) *load {
	found, ok := p.loads[i]
	if !ok {
		found = &load{}
		p.loads[i] = found
	}
	return found
}

// Begin says that a request is sent to an instance; a risky one may end it.
func (p *Picker) Begin(i fleet.Incarnation, risky bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begin(i, risky)
}

// begin is called with p.mu held.
func (p *Picker) begin(i fleet.Incarnation, risky bool) {
	entry := p.loadOf(i)
	entry.outstanding++
	if risky {
		entry.risky++
	}
}

// End says that a request has ended. An instance that did not answer is suspect
// until it answers again.
func (p *Picker) End(i fleet.Incarnation, o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.loadOf(i)
	entry.outstanding--
	if o.Risky {
		entry.risky--
	}
	entry.suspect = time.Time{}
	if !o.Answered {
		entry.suspect = now
	}
	if o.Took > 0 {
		p.recordLatency(entry, o, now)
	}
}

// recordLatency takes how long an answer took. It is called with p.mu held.
func (p *Picker) recordLatency(entry *load, o Outcome, now time.Time) {
	typical, known := p.typical[o.Kind]
	if !known {
		p.typical[o.Kind] = o.Took
		return
	}
	times := float64(o.Took) / float64(typical)
	p.typical[o.Kind] += time.Duration(typicalWeight * float64(o.Took-typical))
	entry.slowdown = entry.decayedSlowdown(now)
	entry.slowdown += ownWeight * (times - entry.slowdown)
	entry.slowdownAt = now
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
	// AvoidRisky passes over instances that have a risky request from here.
	AvoidRisky bool
	// Zone is the sender's availability zone, Request the request's id.
	Zone, Request string
	Now           time.Time
}

// Pick chooses the instance for a request: of those that were not tried and
// are not suspect, the least loaded, with a preference for the own zone.
// Instances with a risky request from here come after the others, so that what
// ends one takes nothing else with it, and two risky requests do not meet twice.
// Suspects are used when nothing else is left.
func (p *Picker) Pick(q Query) (fleet.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pick(q)
}

// Take is Pick and Begin in one step: of two requests that must be apart and look
// at the same moment, the second one sees where the first one goes.
func (p *Picker) Take(q Query, risky bool) (fleet.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to, ok := p.pick(q)
	if ok {
		p.begin(to.Incarnation(), risky)
	}
	return to, ok
}

// pick is called with p.mu held.
func (p *Picker) pick(q Query) (fleet.Instance, bool) {
	var fresh, atRisk, suspects []fleet.Instance
	for _, c := range q.Candidates {
		l := p.loadOf(c.Incarnation())
		switch {
		case q.Tried[c.Incarnation()]:
		case q.Now.Sub(l.suspect) < suspectTime:
			suspects = append(suspects, c)
		case l.risky > 0:
			atRisk = append(atRisk, c)
		default:
			fresh = append(fresh, c)
		}
	}
	if len(fresh) == 0 && !q.AvoidRisky {
		fresh = atRisk
	}
	if len(fresh) == 0 && !(q.AvoidRisky && len(atRisk) > 0) {
		fresh = suspects
	}
	if len(fresh) == 0 {
		return fleet.Instance{}, false
	}
	return slices.MinFunc(fresh, func(a, b fleet.Instance) int {
		return cmp.Or(cmp.Compare(p.score(a, q), p.score(b, q)), cmp.Compare(tieBreak(q.Request, a.ID), tieBreak(q.Request, b.ID)))
	}), true
}

// score is the load of an instance in shares of its slots, as a fast one would
// have it for the same time; lower is better.
func (p *Picker) score(c fleet.Instance, q Query) float64 {
	l := p.loadOf(c.Incarnation())
	busy := float64(l.outstanding) / float64(max(1, c.Slots))
	s := l.slowness(q.Now)*(1+busy) - 1
	if c.Zone != q.Zone {
		s += zonePenalty
	}
	return s
}

// tieBreak spreads requests over instances of the same score.
func tieBreak(request, id string) uint64 { return xxhash.Sum64String(request + "\x00" + id) }
