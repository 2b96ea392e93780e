// Package picker chooses the endpoint of a service for each send, from the requests that this
// process has sent and how long their answers took. It has no clock, network or goroutine of its
// own.
//
// Answer times are used to avoid an endpoint that has become several times as slow although its
// health is good and its list entry does not show it. Requests sent there are late while other
// endpoints have capacity. With one of four endpoints five times as slow, beside bursts of
// background calls, 5 in 100 interactive requests took over 150 ms, and 17 in 100 without this
// rule (package loadmodel, pattern slow-endpoint, five seeds). The loads that endpoints report
// are not used here: they are as old as the last answer, and senders that follow them all go to
// the endpoint that was idle a moment ago (late requests 4.1 in 100 instead of 1.2 under
// saturation).
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
	// suspectTime is how long an instance that did not answer is avoided while others are left.
	// The instance list drops a crashed one after about three and a half seconds.
	suspectTime = 2 * time.Second
	// zonePenalty is the load, in shares of an instance's slots, that is added to an instance in
	// another zone: sending there takes a millisecond, and the work takes tens.
	zonePenalty = 0.25
)

// Outcome is the result of a request that was sent to an instance.
type Outcome struct {
	// Answered is false for an instance that did not answer in time.
	Answered bool
	// Kind groups requests of similar work, Took is how long the answer took; 0 if unknown or not
	// comparable.
	Kind string
	Took time.Duration
	// Risky is the value that Begin or Take got for this request.
	Risky bool
}

const (
	// slowdownMemory is the time constant with which an instance's slowdown decays while nothing
	// is sent to it: one that took five times as long is tried again after 17 s. With 3 s these
	// repeated sends alone made 9 in 100 interactive requests late (pattern slow-endpoint), with
	// 10 s 5 in 100.
	slowdownMemory = 10 * time.Second
	// slowThreshold is the slowdown from which an instance counts as slow. It is well above the
	// noise: if the work of requests has a lognormal spread of 0.5, the moving average over an
	// instance's newest answers has a standard deviation of 0.2 (computed from ownWeight).
	slowThreshold = 1.7
	// typicalWeight and ownWeight are the weights of the newest answer in the moving averages
	// over all instances and over one.
	typicalWeight = 0.05
	ownWeight     = 0.25
)

// load is the load of an instance as far as this process knows it.
type load struct {
	outstanding int // sent by this process and not answered
	recent      recentSends
	// risky counts those outstanding requests that may crash the instance.
	risky   int
	suspect time.Time
	// slowdown is the ratio of the instance's answer times to the typical ones.
	slowdown   float64
	slowdownAt time.Time
}

// slowness returns the factor by which a request takes longer than elsewhere; 1 if the difference
// is below slowThreshold.
func (l *load) slowness(now time.Time) float64 {
	if slowdown := l.decayedSlowdown(now); slowdown >= slowThreshold {
		return slowdown
	}
	return 1
}

// decayedSlowdown returns the slowdown after its decay until now.
func (l *load) decayedSlowdown(now time.Time) float64 {
	if l.slowdownAt.IsZero() {
		return 1
	}
	return 1 + (l.slowdown-1)*math.Exp(-float64(now.Sub(l.slowdownAt))/float64(slowdownMemory))
}

// Picker holds the loads of all instances by incarnation. It is safe for concurrent use.
type Picker struct {
	mu    sync.Mutex
	loads map[fleet.Incarnation]*load
	// typical is the moving average of the answer time, by kind.
	typical map[string]time.Duration
}

// New returns a picker without any loads.
func New() *Picker {
	return &Picker{loads: map[fleet.Incarnation]*load{}, typical: map[string]time.Duration{}}
}

func (p *Picker) loadOf(i fleet.Incarnation) *load {
	l, ok := p.loads[i]
	if !ok {
		l = &load{}
		p.loads[i] = l
	}
	return l
}

// Begin records that a request is sent to an instance; a risky one may crash it.
func (p *Picker) Begin(i fleet.Incarnation, risky bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begin(i, risky, now)
}

// begin is Begin with p.mu held.
func (p *Picker) begin(i fleet.Incarnation, risky bool, now time.Time) {
	l := p.loadOf(i)
	l.outstanding++
	l.recent.add(now)
	if risky {
		l.risky++
	}
}

// End records the outcome of a request. An instance that did not answer is suspect until it
// answers again.
func (p *Picker) End(i fleet.Incarnation, o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loadOf(i)
	l.outstanding--
	if o.Risky {
		l.risky--
	}
	l.suspect = time.Time{}
	if !o.Answered {
		l.suspect = now
	}
	if o.Took > 0 {
		p.recordLatency(l, o, now)
	}
}

// Withdraw takes back a request that Begin or Take has counted and that was not sent.
func (p *Picker) Withdraw(i fleet.Incarnation, risky bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.loadOf(i)
	l.outstanding--
	if risky {
		l.risky--
	}
}

// Trusted returns the instances that are not suspect; if all are, it returns all. It is for callers
// that pick among some of the instances only and would otherwise pick a suspect.
func (p *Picker) Trusted(instances []fleet.Instance, now time.Time) []fleet.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	suspect := func(i fleet.Instance) bool { return now.Sub(p.loadOf(i.Incarnation()).suspect) < suspectTime }
	if !slices.ContainsFunc(instances, suspect) {
		return instances
	}
	trusted := slices.DeleteFunc(slices.Clone(instances), suspect)
	if len(trusted) == 0 {
		return instances
	}
	return trusted
}

// recordLatency updates the averages with the time of an answer. It is called with p.mu held.
func (p *Picker) recordLatency(l *load, o Outcome, now time.Time) {
	typical, known := p.typical[o.Kind]
	if !known {
		p.typical[o.Kind] = o.Took
		return
	}
	ratio := float64(o.Took) / float64(typical)
	p.typical[o.Kind] += time.Duration(typicalWeight * float64(o.Took-typical))
	l.slowdown = l.decayedSlowdown(now)
	l.slowdown += ownWeight * (ratio - l.slowdown)
	l.slowdownAt = now
}

// Prune removes the loads of incarnations that are no longer listed and have no outstanding
// requests.
func (p *Picker) Prune(s *fleet.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, l := range p.loads {
		if s.Instances[i.ID].Incarnation() != i && l.outstanding == 0 {
			delete(p.loads, i)
		}
	}
}

// Query describes the request for which an instance is picked.
type Query struct {
	Candidates []fleet.Instance
	// Tried are the instances to leave out.
	Tried map[fleet.Incarnation]bool
	// AvoidRisky leaves out instances that have an outstanding risky request from this process.
	AvoidRisky bool
	// Zone is the sender's availability zone, Request the request's id.
	Zone, Request string
	Now           time.Time
}

// Pick chooses the instance for a request: the least loaded of those that were not tried and are
// not suspect, with a preference for the sender's own zone. Instances with a risky request from
// this process come after the others, so that a crash breaks off no other requests, and two risky
// requests do not run beside each other again. Suspects are used when nothing else is left.
func (p *Picker) Pick(q Query) (fleet.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pick(q)
}

// Take is Pick and Begin in one step: of two risky requests that pick at the same moment, the
// second one sees where the first one goes.
func (p *Picker) Take(q Query, risky bool) (fleet.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to, ok := p.pick(q)
	if ok {
		p.begin(to.Incarnation(), risky, q.Now)
	}
	return to, ok
}

// pick is Pick with p.mu held.
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
	least := p.leastLoaded(fresh, q)
	if warm := p.warmSubset(least, q); len(warm) > 0 {
		least = warm
	}
	return slices.MinFunc(least, func(a, b fleet.Instance) int {
		return cmp.Compare(tieBreak(q.Request, a.ID), tieBreak(q.Request, b.ID))
	}), true
}

// leastLoaded returns the instances with the lowest score.
func (p *Picker) leastLoaded(instances []fleet.Instance, q Query) []fleet.Instance {
	var least []fleet.Instance
	lowest := math.Inf(1)
	for _, i := range instances {
		score := p.score(i, q)
		if score < lowest {
			lowest, least = score, least[:0]
		}
		if score == lowest {
			least = append(least, i)
		}
	}
	return least
}

// score returns the load of an instance in shares of its slots, scaled up by its slowness; lower
// is better.
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
