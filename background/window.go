// Package background limits how many background calls a process keeps open to a
// service that also receives interactive requests.
//
// The load it is made for: bursts of background calls, from many senders that do not
// coordinate, next to interactive requests, on endpoints that admit requests in order
// of arrival and have no priorities. A background call has seconds to spare, an
// interactive request a tenth of a second; every call in an endpoint's queue delays the
// next interactive request. So all senders together should use only a part of the
// slots, and queue their calls in their own processes, where a call that has become
// urgent can still go first.
//
// In paired runs of a deployment with 24 slots, nine senders and bursts of a hundred
// calls, the window raised the utility over all callers by 0.047 ± 0.007 of 1; without
// it 16 in 100 interactive requests took over 150 ms, with it 0.4 (package loadmodel,
// pattern short-desk).
//
// Window has no clock, network or goroutine of its own; Gate reads the clock and
// blocks the calling goroutines.
package background

import (
	"math"
	"time"

	"mulberryscale.example/fleet"
)

const (
	// targetUse is the share of an endpoint's slots that background calls may use.
	// The rest is for interactive requests, and for calls that other senders have
	// started since the load was reported: a reported load is as old as the time
	// between two answers of the endpoint, in which each sender starts one more
	// call.
	targetUse = 0.7
	// spareSlots is how many free slots an endpoint should keep for the next
	// interactive request.
	spareSlots = 1
	// doublingShare is the share of targetUse up to which the window grows by one call
	// for each answer, so that it doubles with each round of answers. With all calls at
	// 4 of 36 senders, half of the calls were answered within 0.40 s instead of 0.64 s
	// (package loadmodel, pattern few-senders).
	doublingShare = 0.5
	// shrinkFactor is the factor by which the answer of an overloaded endpoint shrinks
	// the window.
	shrinkFactor = 0.6
	// minShrinkInterval is the least time between two shrinks: answers that were in
	// flight at the same time report the same queue.
	minShrinkInterval = 100 * time.Millisecond
	// idleTime is the time without an open call after which the window is reset to
	// the sender's fair share: the bursts of all senders start at the same time.
	idleTime = 500 * time.Millisecond
	// minWindow lets a sender make calls even when it knows nothing of the service.
	minWindow = 1
)

// ServiceCapacity is what a sender knows of a service from its own view, without a request.
type ServiceCapacity struct {
	// Slots is the number of slots of all endpoints of the service together.
	Slots int
	// Senders is the number of processes that send such calls, this one included.
	Senders int
}

// fairWindow returns the window with which all senders together reach targetUse.
func (s ServiceCapacity) fairWindow() float64 {
	return max(minWindow, targetUse*float64(s.Slots)/float64(max(1, s.Senders)))
}

// maxWindow returns the window with which one sender alone reaches targetUse.
func (s ServiceCapacity) maxWindow() float64 { return max(minWindow, targetUse*float64(s.Slots)) }

// Window bounds the open calls of one sender. It starts at the sender's fair share,
// grows while endpoints report free slots, since other senders may have nothing to
// send, and shrinks when an endpoint reports a queue. It is not safe for concurrent use.
type Window struct {
	size       float64 // 0 before the first call
	idleSince  time.Time
	lastShrink time.Time
}

// Size returns how many calls may be open, given how many are.
func (w *Window) Size(s ServiceCapacity, open int, now time.Time) int {
	if w.size == 0 || (open == 0 && now.Sub(w.idleSince) > idleTime) {
		w.size = s.fairWindow()
	}
	w.size = min(max(w.size, minWindow), s.maxWindow())
	return int(math.Round(w.size))
}

// CallDone records that a call has completed; open is the number of calls still open.
func (w *Window) CallDone(open int, now time.Time) {
	if open == 0 {
		w.idleSince = now
	}
}

// ObserveLoad adjusts the window to the load that an endpoint reported with an answer.
func (w *Window) ObserveLoad(load fleet.Load, now time.Time) {
	switch {
	case load.Waiting > 0 || load.Running >= load.Slots-spareSlots:
		w.shrink(now)
	case float64(load.Running) <= doublingShare*targetUse*float64(load.Slots):
		w.size++
	case float64(load.Running) <= targetUse*float64(load.Slots):
		w.size += 1 / max(w.size, minWindow)
	}
}

// Declined shrinks the window, since an endpoint had no slot for a call. It is not
// called for an endpoint that does not answer, whose load is unknown.
func (w *Window) Declined(now time.Time) { w.shrink(now) }

func (w *Window) shrink(now time.Time) {
	if now.Sub(w.lastShrink) < minShrinkInterval {
		return
	}
	w.lastShrink = now
	w.size = max(minWindow, shrinkFactor*w.size)
}
