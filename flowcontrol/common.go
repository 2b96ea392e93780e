package flowcontrol

import (
	"math"
	"time"
)

const ()

// Common is the part of the windows of a process that is the same for all endpoints of a service.
// It is not safe for concurrent use.
type Common struct {
	// Objective is the time within which answers have their full value.
	Objective time.Duration
	// Endpoints is the number of endpoints of the service.
	Endpoints int
	// share is the share of the requests that an endpoint should hold which is for this process.
	share float64
	// open is the number of open requests at all endpoints.
	open int
	// declinedAt is the time of the last rejected send.
	declinedAt time.Time
	// reportedAt is the time of the last report or rejected send of any endpoint.
	reportedAt time.Time
	// limitedAt is the last time at which a request waited or was refused.
	limitedAt time.Time
	// perSlot is the moving average of the time of a request, without queueing, over the slots of
	// its endpoint.
	perSlot time.Duration
	// next is the time of the next send while the windows are below one request.
	next time.Time
	// freeAt is the time of the last report of a free slot.
	freeAt time.Time
	// queueing is the moving average of the share of reports that show a queue.
	queueing float64
	// overloaded is set while queueing is high, overloadedSince is when the service became overloaded.
	overloaded      bool
	overloadedSince time.Time
}

// NewCommon returns the state of a process that has heard of no endpoint.
func NewCommon() *Common {
	return &Common{Objective: defaultObjective, Endpoints: 1, share: maxShare, perSlot: defaultPerSlot}
}

// Expire resets the windows after a time without reports. If the process had requests waiting or
// refused some, the windows are the reason for the silence: they grow, since a reset of many
// processes at once would fill the endpoints.
func (c *Common) Expire(now time.Time) {
	if now.Sub(c.reportedAt) <= reportLifetime {
		return
	}
	if now.Sub(c.limitedAt) > reportLifetime {
		c.share = maxShare
		return
	}
	c.share = min(maxShare, expiryGrowth*c.share)
	c.reportedAt = now
}

// Limited records that a request waits or is refused.
func (c *Common) Limited(now time.Time) { c.limitedAt = now }

// sent delays the next send of a process that sends less than one request at a time. Without it, a
// process could send a request to each of its endpoints at once.
func (c *Common) sent(now time.Time) {
	interval := time.Duration(float64(c.perSlot) / (c.share * float64(max(1, c.Endpoints))))
	if earliest := now.Add(-maxCredit * interval); c.next.Before(earliest) {
		c.next = earliest
	}
	c.next = c.next.Add(interval)
}

// Congested reports whether the endpoints reported a queue, or rejected sends, and no free slot.
func (c *Common) Congested(now time.Time) bool {
	return now.Sub(c.reportedAt) <= reportLifetime && now.Sub(c.freeAt) > freeLifetime
}

// Overloaded reports whether most of the latest reports showed a queue. Unlike Congested it is not
// changed by single reports of a free slot, which come at any load.
func (c *Common) Overloaded(now time.Time) bool {
	return now.Sub(c.reportedAt) <= overloadLifetime && c.overloaded
}

// Sustained reports whether the service has been overloaded for longer than a burst takes.
func (c *Common) Sustained(now time.Time) bool {
	return c.Overloaded(now) && now.Sub(c.overloadedSince) >= burstTime
}

// report records whether an endpoint had a queue.
func (c *Common) report(queueing bool, now time.Time) {
	weight := min(maxQueueingWeight, 1-math.Exp(-float64(now.Sub(c.reportedAt))/float64(queueingMemory)))
	c.reportedAt = now
	target := 0.0
	if queueing {
		target = 1
	}
	c.queueing += weight * (target - c.queueing)
	switch {
	case c.overloaded:
		c.overloaded = c.queueing > relievedShare
	case c.queueing > overloadedShare:
		c.overloaded, c.overloadedSince = true, now
	}
}
