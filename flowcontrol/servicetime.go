package flowcontrol

import (
	"math"
	"time"

	"mulberryscale.example/fleet"
)

const ()

// usualPace is the pace of an endpoint that works as fast as usual.
const usualPace = 100

// Took returns the average answer time of the endpoint; it is 0 if it is not known.
func (w *Window) Took(now time.Time) time.Duration {
	if now.Sub(w.tookAt) > tookLifetime {
		return 0
	}
	return w.took
}

// expectedTook returns the answer time of the endpoint when it holds its target. It is derived from
// the time without queueing, since the averages of answer times lag behind in a process that hears
// from the endpoint every few seconds.
func (w *Window) expectedTook() time.Duration {
	if !w.reports {
		return w.serviceTime()
	}
	return time.Duration(float64(w.serviceTime()) * w.target() / float64(w.slots))
}

// serviceTime returns the time of a request at the endpoint's pace, without queueing if the endpoint
// reports its queue.
func (w *Window) serviceTime() time.Duration {
	if w.service > 0 {
		return time.Duration(float64(w.service) * w.pace / usualPace)
	}
	return time.Duration(queueShare * float64(w.common.Objective))
}

// observePace records the pace that the endpoint reports, 0 for none.
func (w *Window) observePace(pace int) {
	if pace <= 0 {
		pace = usualPace
	}
	if w.usual == 0 {
		w.usual = float64(pace)
	}
	w.pace = min(max(float64(pace), w.usual/maxPaceChange), w.usual*maxPaceChange)
	w.usual += paceWeight * (w.pace - w.usual)
}

// observeTook records the time of an answer.
func (w *Window) observeTook(load *fleet.Load, took time.Duration, now time.Time) {
	service := time.Duration(float64(took) * usualPace / w.pace)
	if load != nil && load.Slots > 0 {
		service = time.Duration(float64(service) / (1 + float64(load.Waiting)/float64(load.Slots)))
	}
	if w.took == 0 || now.Sub(w.tookAt) > tookLifetime {
		w.took, w.spread, w.service = took, took/4, service
	}
	w.tookAt = now
	service = min(max(service, w.service/maxServiceChange), w.service*maxServiceChange)
	w.service += time.Duration(tookWeight * float64(service-w.service))
	perSlot := w.serviceTime() / time.Duration(w.slots)
	w.common.perSlot += time.Duration(perSlotWeight * float64(perSlot-w.common.perSlot))
	w.spread += time.Duration(tookWeight * (math.Abs(float64(took-w.took)) - float64(w.spread)))
	w.took += time.Duration(tookWeight * float64(took-w.took))
}
