// Package drain schedules the graceful stop of a process that serves requests: how long it accepts
// new ones, which of them, and when it aborts the rest. It decides; its callers do the serving.
package drain

import (
	"errors"
	"sync/atomic"
	"time"
)

const (
	// maxAcceptTime is how long a stopping process accepts requests at most: the balancer probes
	// once a second and removes the process after two failures, and each client learns from its
	// next response to use another connection.
	maxAcceptTime = 3500 * time.Millisecond
	// noticeTime is how long clients have to notice the stop: three seconds, less the time within
	// which the process itself notices the signal. A request that comes later must not be aborted.
	noticeTime = 2500 * time.Millisecond
	// maxReserve and reserveShare bound the end of the grace period that is left for aborting
	// requests and for exiting.
	maxReserve   = 1200 * time.Millisecond
	reserveShare = 0.15
)

// ErrEnded is the cause with which the contexts of requests are cancelled when their time is up.
var ErrEnded = errors.New("drain: the process stops")

// Plan is the schedule of a stop. Its times count from the signal to stop.
type Plan struct {
	// Accept is when the process ceases to accept requests.
	Accept time.Duration
	// Abort is when requests that are still served are aborted.
	Abort time.Duration
	// Reserve is the time from Abort to the end of the grace period.
	Reserve time.Duration
}

// NewPlan returns the plan for a grace period, the time between the signals to stop and to kill a
// process.
func NewPlan(grace time.Duration) Plan {
	reserve := min(maxReserve, time.Duration(reserveShare*float64(grace)))
	return Plan{Accept: min(maxAcceptTime, grace/2), Abort: grace - reserve, Reserve: reserve}
}

// Stop is the state of a process that may be stopping. A nil Stop is never stopping. It is safe
// for concurrent use.
type Stop struct {
	plan  Plan
	began atomic.Pointer[time.Time]
}

// New returns the state of a process that is not stopping.
func New(plan Plan) *Stop { return &Stop{plan: plan} }

// Begin begins the stop.
func (s *Stop) Begin() {
	now := time.Now()
	s.began.CompareAndSwap(nil, &now)
}

// Stopping reports whether the stop has begun.
func (s *Stop) Stopping() bool { return s != nil && s.began.Load() != nil }

// Request is what is known of a request when it arrives.
type Request struct {
	// Limit is the time within which it is answered or times out.
	Limit time.Duration
	// Expected is the longest that such requests took recently; 0 if that is not known.
	Expected time.Duration
	// Repeatable says that its client may repeat it after any failure, so that an abort costs
	// the client no more than a refusal would.
	Repeatable bool
}

// Admits reports whether a request should be accepted now. A request that will certainly end in
// time is accepted; one that can't be repeated and that comes after noticeTime must be certain to.
// Any other is accepted if such requests took no longer than the time that is left.
func (s *Stop) Admits(r Request) bool {
	if !s.Stopping() {
		return true
	}
	since := time.Since(*s.began.Load())
	left := s.plan.Abort - since
	if r.Limit <= left {
		return true
	}
	if since > noticeTime && !r.Repeatable {
		return false
	}
	return r.Expected <= left
}
