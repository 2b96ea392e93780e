// Package scaling is the autoscaler: it decides how many endpoints a service needs in an
// availability zone, from the number of slots that its requests use, and orders them.
// All processes measure the load; the process that holds the duty decides.
package scaling

import (
	"math"
	"time"

	"mulberryscale.example/fleet"
)

// Parameters of the policy. The tests in policy_test.go simulate the loads for which they
// were chosen.
const (
	// scaleUpUtilization is the share of the slots in use above which more endpoints are
	// ordered. The remaining slots serve the requests that arrive while those start.
	scaleUpUtilization = 0.7
	// scaleDownUtilization is the highest share of the slots that may be in use after
	// endpoints were removed. It is far enough below scaleUpUtilization that a load which
	// varies by a sixth causes no orders.
	scaleDownUtilization = 0.6
	// maxGrowthFactor bounds an order, as a multiple of the serving endpoints. Queued
	// requests count as load in addition to running ones, so that the need is
	// overestimated until the first new endpoints serve.
	maxGrowthFactor = 3
	// The load must have been low for stabilizationBoots times the start time of an
	// endpoint, and for at least minStabilization, before endpoints are removed.
	stabilizationBoots = 2
	minStabilization   = 20 * time.Second
	// maxScaleDownShare is the largest share of the endpoints that is removed at once.
	maxScaleDownShare = 0.25
)

// Observed is the measured state of a target.
type Observed struct {
	// BusySlots is the number of slots that requests use or wait for.
	BusySlots float64
	// SlotsPerEndpoint is the number of slots of one endpoint.
	SlotsPerEndpoint int
	// Serving is the number of endpoints that are registered and accept requests.
	Serving int
}

// LastOrder is the last order for a target; the zero value means none.
type LastOrder struct {
	Endpoints int
	// At is the time at which the order was decided.
	At time.Duration
}

// Policy is the scaling policy of one target. It is not safe for concurrent use.
type Policy struct {
	// lowSince is the time since which fewer endpoints would suffice. It is valid if isLow is
	// set.
	lowSince time.Duration
	isLow    bool
}

// Decide returns the desired number of endpoints. now and last.At are of the same clock.
func (p *Policy) Decide(bounds fleet.Autoscale, o Observed, last LastOrder, now time.Duration) int {
	current := last.Endpoints
	if current == 0 {
		current = o.Serving
	}
	if o.SlotsPerEndpoint <= 0 {
		return current
	}
	clamp := func(n int) int { return max(bounds.Min, min(bounds.Max, n)) }
	scaleUp := clamp(min(needed(o.BusySlots, o.SlotsPerEndpoint, scaleUpUtilization), maxGrowthFactor*max(1, o.Serving)))
	scaleDown := clamp(needed(o.BusySlots, o.SlotsPerEndpoint, scaleDownUtilization))
	starting := last.Endpoints > 0 && now-last.At < bounds.Boot
	switch {
	case scaleUp > current:
		p.isLow = false
		if starting {
			return clamp(current)
		}
		return scaleUp
	case scaleDown >= current:
		p.isLow = false
		return clamp(current)
	}
	if !p.isLow {
		p.lowSince, p.isLow = now, true
	}
	if now-p.lowSince < max(stabilizationBoots*bounds.Boot, minStabilization) {
		return clamp(current)
	}
	p.isLow = false
	return max(scaleDown, current-max(1, int(maxScaleDownShare*float64(current))))
}

// needed returns how many endpoints serve a load at a utilization of their slots.
func needed(busy float64, slots int, utilization float64) int {
	return int(math.Ceil(busy / (float64(slots) * utilization)))
}
