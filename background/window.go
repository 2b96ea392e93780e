// Package background decides how many calls of a background kind a process keeps
// open at a service that interactive callers share.
//
// The pattern: bursts of background calls, from many senders that know nothing
// of each other, beside interactive requests on endpoints that admit in order of
// arrival and know no priorities. A background call has seconds to spare, an
// interactive request a tenth of one; whatever waits in an endpoint's queue is
// in front of the next interactive request. So the senders together should fill
// a part of the places only, and wait for their turn in their own processes,
// where a call that has become urgent can still go first.
//
// Measured by paired plays of a deployment with 24 places, nine senders and bursts
// of a hundred calls, the window raised what all callers earned by 0.047 ± 0.007
// of 1; without it 16 in 100 interactive requests took over 150 ms, with it 0.4
// (package loadmodel, pattern short-desk).
//
// Window has no clock, network or goroutine of its own; Gate reads the clock and
// lets goroutines wait.
package background

import (
	"math"
	"time"

	"mulberryscale.example/fleet"
)

const (
	// target is the share of an endpoint's places that background calls may
	// fill. The rest is for interactive requests, and for what other senders
	// have begun since the load was told: a told load is as old as the pause
	// between two answers of the endpoint, during which each sender begins one
	// call more.
	target = 0.7
	// spare is how many free places an endpoint should have for the next
	// interactive request.
	spare = 1
	// fewShare is the share of the target below which the window grows by a call
	// for each answer, so that it doubles with each round of them: where 4 of 36
	// senders have all calls, half of these were answered within 0.40 s instead of
	// 0.64 s (package loadmodel, pattern few-senders).
	fewShare = 0.5
	// backOff is what an overloaded endpoint's answer shrinks the window to, as
	// a share of it.
	backOff = 0.6
	// backOffPause is the least time between two shrinkings: answers that were
	// under way together tell of the same queue.
	backOffPause = 100 * time.Millisecond
	// idleTime is how long without an open call makes the window forget what it
	// learnt: bursts of all senders begin together, so each begins anew with its
	// fair share.
	idleTime = 500 * time.Millisecond
	// minWindow lets a sender go on when it is told nothing.
	minWindow = 1
)

// ServiceCapacity is what a sender can know of a service without asking anybody.
type ServiceCapacity struct {
	// Slots are those of all endpoints of the service.
	Slots int
	// Senders are the processes that send such calls, this one among them.
	Senders int
}

// fair is the window at which all senders together reach the target.
func (s ServiceCapacity) fair() float64 {
	return max(minWindow, target*float64(s.Slots)/float64(max(1, s.Senders)))
}

// most is the window at which one sender alone does.
func (s ServiceCapacity) most() float64 { return max(minWindow, target*float64(s.Slots)) }

// Window bounds one sender's open calls. It begins with the sender's fair share,
// grows while endpoints tell of room, since other senders may have nothing to
// send, and shrinks when one tells of a queue. It is not safe for concurrent use.
type Window struct {
	size     float64 // 0 before the first call
	idleFrom time.Time
	shrunk   time.Time
}

// Size is how many calls may be open.
func (w *Window) Size(s ServiceCapacity, open int, now time.Time) int {
	if w.size == 0 || (open == 0 && now.Sub(w.idleFrom) > idleTime) {
		w.size = s.fair()
	}
	w.size = min(max(w.size, minWindow), s.most())
	return int(math.Round(w.size))
}

// CallDone says that an open call has ended, and how many are left open.
func (w *Window) CallDone(open int, now time.Time) {
	if open == 0 {
		w.idleFrom = now
	}
}

// ObserveLoad takes the load that an endpoint told with an answer.
func (w *Window) ObserveLoad(load fleet.Load, now time.Time) {
	switch {
	case load.Waiting > 0 || load.Running >= load.Places-spare:
		w.shrink(now)
	case float64(load.Running) <= fewShare*target*float64(load.Places):
		w.size++
	case float64(load.Running) <= target*float64(load.Places):
		w.size += 1 / max(w.size, minWindow)
	}
}

// Declined says that an endpoint had no room for a call. One that does not
// answer says nothing of its load.
func (w *Window) Declined(now time.Time) { w.shrink(now) }

func (w *Window) shrink(now time.Time) {
	if now.Sub(w.shrunk) < backOffPause {
		return
	}
	w.shrunk = now
	w.size = max(minWindow, backOff*w.size)
}
