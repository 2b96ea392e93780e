package flowcontrol

import (
	"time"

	"mulberryscale.example/fleet"
)

const (
	// forgetAfter is the time after which the window of an endpoint that is no longer listed and
	// has no open requests is deleted.
	forgetAfter = 30 * time.Second
	// listedTime is the time after which an endpoint that was no candidate counts as not listed.
	listedTime = time.Second
	// spreadFactor is the number of mean deviations that are added to the mean answer time when a
	// request is judged. About 9 in 10 answers of a lognormal spread of 0.5 come within it.
	spreadFactor = 1.5
	// serviceWeight is the weight of the newest answer in the averages over all endpoints.
	serviceWeight = 0.05
	// capableShare is the share of the objective within which an endpoint usually has to answer to
	// get requests that can still be in time.
	capableShare = 0.8
	// fastestFactor is the factor of the shortest average answer time up to which endpoints get
	// such requests if none answers within the objective.
	fastestFactor = 1.2
	// maxNeed bounds the time that a request is expected to take, in shares of the objective, so
	// that requests to a service which answers late are not all late on arrival.
	maxNeed = 0.75
)

// windows are the windows of a process at the endpoints of a service, by incarnation.
type windows struct {
	common   *Common
	byStart  map[fleet.Incarnation]*listedWindow
	prunedAt time.Time
	// observedAt is when the list of endpoints was last observed.
	observedAt time.Time
	// took and spread are the moving averages of the answer times of endpoints that can answer
	// within the objective.
	took, spread time.Duration
	// fastest is the shortest average answer time of the endpoints.
	fastest time.Duration
}

type listedWindow struct {
	Window
	listedAt time.Time
}

func newWindows() *windows {
	return &windows{common: NewCommon(), byStart: map[fleet.Incarnation]*listedWindow{}}
}

// of returns the window of an endpoint.
func (ws *windows) of(i fleet.Instance, now time.Time) *Window { return &ws.listed(i, now).Window }

func (ws *windows) listed(i fleet.Instance, now time.Time) *listedWindow {
	w, ok := ws.byStart[i.Incarnation()]
	if !ok {
		w = &listedWindow{Window: *NewWindow(ws.common, i.Slots)}
		ws.byStart[i.Incarnation()] = w
	}
	w.listedAt = now
	return w
}

// observe records the endpoints of the service and the objective of its requests.
func (ws *windows) observe(candidates []fleet.Instance, it *Item, now time.Time) {
	for _, c := range candidates {
		ws.listed(c, now)
	}
	ws.observedAt = now
	if objective := it.Objective.Sub(it.Arrived); objective > 0 && it.Objective.Before(it.Deadline) {
		ws.common.Objective = objective
	}
	if now.Sub(ws.prunedAt) < listedTime {
		return
	}
	ws.prunedAt = now
	ws.common.Endpoints, ws.fastest = 0, 0
	for start, w := range ws.byStart {
		if now.Sub(w.listedAt) > forgetAfter && w.open == 0 {
			delete(ws.byStart, start)
		}
		if now.Sub(w.listedAt) <= listedTime {
			ws.common.Endpoints++
			if took := w.Took(now); took > 0 && (ws.fastest == 0 || took < ws.fastest) {
				ws.fastest = took
			}
		}
	}
}

// current calls f with the windows of the endpoints that are listed at present.
func (ws *windows) current(f func(*Window)) {
	for _, w := range ws.byStart {
		if ws.observedAt.Sub(w.listedAt) <= listedTime {
			f(&w.Window)
		}
	}
}

// done records the end of a send in its window and in the averages of the service.
func (ws *windows) done(w *Window, load *fleet.Load, declined bool, took time.Duration, now time.Time) {
	w.Done(load, declined, took, now)
	if took <= 0 || declined || !ws.capable(w, now) {
		return
	}
	if ws.took == 0 {
		ws.took, ws.spread = took, took/4
	}
	deviation := (took - ws.took).Abs()
	ws.spread += time.Duration(serviceWeight * float64(deviation-ws.spread))
	ws.took += time.Duration(serviceWeight * float64(took-ws.took))
}

// capable reports whether the endpoint usually answers within the objective, or is among the
// fastest of the service if none does.
func (ws *windows) capable(w *Window, now time.Time) bool {
	limit := capableShare * float64(ws.common.Objective)
	if took := float64(w.Took(now)); took > limit {
		return took <= fastestFactor*float64(ws.fastest)
	}
	return true
}

// inTime reports whether a request that is sent now is likely to be answered within its objective.
func (ws *windows) inTime(it *Item, now time.Time) bool {
	need := ws.took + time.Duration(spreadFactor*float64(ws.spread))
	need = min(need, time.Duration(maxNeed*float64(ws.common.Objective)))
	return !now.Add(need).After(it.Objective)
}

// room reports whether a capable endpoint has room, and whether another one has.
func (ws *windows) room(now time.Time) (capable, other bool) {
	ws.current(func(w *Window) {
		switch {
		case !w.Room(now):
		case ws.capable(w, now):
			capable = true
		default:
			other = true
		}
	})
	return capable, other
}

// withRoom returns the candidates that have room and suit a request, which depends on whether they
// are capable.
func (ws *windows) withRoom(candidates []fleet.Instance, now time.Time, suits func(capable bool) bool) []fleet.Instance {
	var room []fleet.Instance
	for _, c := range candidates {
		if w := ws.of(c, now); w.Room(now) && suits(ws.capable(w, now)) {
			room = append(room, c)
		}
	}
	return room
}

// nextReady returns when the next endpoint will have room without an answer.
func (ws *windows) nextReady(now time.Time) (next time.Time, ok bool) {
	ws.current(func(w *Window) {
		ready, paced := w.Ready(now)
		if paced && ready.After(now) && (!ok || ready.Before(next)) {
			next, ok = ready, true
		}
	})
	return next, ok
}

// rate returns how many requests a second the windows allow.
func (ws *windows) rate(now time.Time) (sum float64) {
	ws.current(func(w *Window) { sum += w.Rate(now) })
	return sum
}

// timelyRate returns how many requests a second the windows of the capable endpoints allow.
func (ws *windows) timelyRate(now time.Time) (sum float64) {
	ws.current(func(w *Window) {
		if ws.capable(w, now) {
			sum += w.Rate(now)
		}
	})
	return sum
}

// leastTook returns the time that a request takes at the fastest endpoint, 0 if unknown.
func (ws *windows) leastTook() (least time.Duration) {
	ws.current(func(w *Window) {
		if w.took > 0 && (least == 0 || w.serviceTime() < least) {
			least = w.serviceTime()
		}
	})
	return least
}

// work returns the expected work of one request.
func (ws *windows) work() time.Duration { return max(ws.leastTook(), time.Millisecond) }
