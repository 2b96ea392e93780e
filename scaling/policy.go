// Package scaling decides how many endpoints a service has in an availability
// zone, from how many places its requests take, and orders them. All processes
// measure, the one that holds the duty decides.
package scaling

import (
	"math"
	"time"

	"mulberryscale.example/fleet"
)

// Figures of the policy. They were chosen on the loads of policy_test.go.
const (
	// upUse is the share of the places that may be taken before more endpoints are
	// ordered: what is above it serves those that come while new ones start.
	upUse = 0.7
	// downUse is the share that must be left over after endpoints were given back.
	// It is so far below upUse that a load which varies by a sixth orders nothing.
	downUse = 0.6
	// largestGrowth is how many times the endpoints that serve may be ordered at
	// once. Requests that wait count as load beside those that run, so that the need
	// seems larger than it is until the first new endpoints serve.
	largestGrowth = 3
	// calmBoots and leastCalm are how long the load must have been low before
	// endpoints are given back, in times of a start, and at least.
	calmBoots = 2
	leastCalm = 20 * time.Second
	// largestStep is the share of the endpoints that is given back at once.
	largestStep = 0.25
)

// Observed is a service in an availability zone as it was measured.
type Observed struct {
	// BusySlots are the places that requests take or wait for.
	BusySlots float64
	// SlotsPerEndpoint are those of one endpoint.
	SlotsPerEndpoint int
	// Serving are the endpoints that are registered and take work.
	Serving int
}

// LastOrder is the last order; its zero value is none.
type LastOrder struct {
	Endpoints int
	// At is when it was given.
	At time.Duration
}

// Policy decides for one service in one availability zone. It is not safe for
// concurrent use.
type Policy struct {
	// low is since when fewer endpoints would do; known says that they would.
	low   time.Duration
	known bool
}

// Decide returns how many endpoints there should be now. Times are of one clock.
func (p *Policy) Decide(bounds fleet.Autoscale, o Observed, last LastOrder, now time.Duration) int {
	have := last.Endpoints
	if have == 0 {
		have = o.Serving
	}
	if o.SlotsPerEndpoint <= 0 {
		return have
	}
	clamp := func(n int) int { return max(bounds.Min, min(bounds.Max, n)) }
	more := clamp(min(needed(o.BusySlots, o.SlotsPerEndpoint, upUse), largestGrowth*max(1, o.Serving)))
	fewer := clamp(needed(o.BusySlots, o.SlotsPerEndpoint, downUse))
	starting := last.Endpoints > 0 && now-last.At < bounds.Boot
	switch {
	case more > have:
		p.known = false
		if starting {
			return clamp(have)
		}
		return more
	case fewer >= have:
		p.known = false
		return clamp(have)
	}
	if !p.known {
		p.low, p.known = now, true
	}
	if now-p.low < max(calmBoots*bounds.Boot, leastCalm) {
		return clamp(have)
	}
	p.known = false
	return max(fewer, have-max(1, int(largestStep*float64(have))))
}

// needed is how many endpoints hold a load if only a share of their places may be taken.
func needed(busy float64, places int, share float64) int {
	return int(math.Ceil(busy / (float64(places) * share)))
}
