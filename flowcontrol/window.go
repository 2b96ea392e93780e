package flowcontrol

import (
	"math"
	"time"

	"mulberryscale.example/fleet"
)

const (
	// queueShare is the share of the objective that requests may take in an endpoint's queue.
	queueShare = 1.0 / 3
	// aimedQueue is the part of the allowed queue at which the windows neither grow nor shrink: a
	// queue varies by some requests as the senders do not coordinate.
	aimedQueue = 0.25
	// maxShare bounds a window, in shares of the requests that an endpoint should hold.
	maxShare = 1.5
	// gain is the weight of a report, for each round of answers.
	gain = 0.3
	// freeGain is the gain while an endpoint has free slots.
	freeGain = 1.0
	// leastShrink is the factor by which the report of a full endpoint shrinks the window.
	leastShrink = 0.6
	// declinedFactor is the factor by which a rejected send shrinks the window.
	declinedFactor = 0.5
	// growthFloor is added, in requests of the whole process, to the window to which the growth is
	// proportional. With it the windows of processes that all have requests waiting become equal.
	growthFloor = 0.3
	// commonPart is the part of each change that applies to all endpoints of the service. With 820
	// entries and 60 endpoints, an entry hears from an endpoint every few seconds only.
	commonPart = 0.5
	// factorMemory is the time constant with which an endpoint's own part returns to 1 while
	// nothing is heard from it.
	factorMemory = 10 * time.Second
	// reportLifetime is the time without a report after which the windows are reset.
	reportLifetime = 500 * time.Millisecond
	// probeInterval is the time between two sends of a process to a service whose endpoints
	// report that they are full.
	probeInterval = 500 * time.Millisecond
	// freeLifetime is how long a report of a free slot is trusted, one control interval.
	freeLifetime = 100 * time.Millisecond
	// tookLifetime is how long the answer time of an endpoint is trusted. An endpoint that is
	// avoided because it is slow is tried again after it.
	tookLifetime = 5 * time.Second
	// tookWeight is the weight of the newest answer in the averages of answer times.
	tookWeight = 0.15
	// stallFactor is the number of usual answer times without any answer after which an endpoint
	// counts as stalled.
	stallFactor = 4
	// defaultObjective is used until a request with an objective arrives.
	defaultObjective = 150 * time.Millisecond
	// defaultSlots is used for an endpoint whose slots are not known.
	defaultSlots = 1
	// unreportedGrowth is the growth of the window of an endpoint without reports for each answer.
	// About one send in 70 is then rejected: a rejection halves the window.
	unreportedGrowth = 0.01
	// unreportedRecovery is that growth once no send has been rejected for a second.
	unreportedRecovery = 0.2
)

// Common is the part of the windows of a process that is the same for all endpoints of a service.
// It is not safe for concurrent use.
type Common struct {
	// Objective is the time within which answers have their full value.
	Objective time.Duration
	// Endpoints is the number of endpoints of the service.
	Endpoints int
	// share is the share of the requests that an endpoint should hold which is for this process.
	share float64
	// reportedAt is the time of the last report or rejected send of any endpoint.
	reportedAt time.Time
	// freeAt is the time of the last report of a free slot.
	freeAt time.Time
}

// NewCommon returns the state of a process that has heard of no endpoint.
func NewCommon() *Common { return &Common{Objective: defaultObjective, Endpoints: 1, share: 1} }

// Expire resets the windows after a time without reports.
func (c *Common) Expire(now time.Time) {
	if now.Sub(c.reportedAt) > reportLifetime {
		c.share = max(c.share, 1)
	}
}

// Congested reports whether the endpoints reported a queue, or rejected sends, and no free slot.
func (c *Common) Congested(now time.Time) bool {
	return now.Sub(c.reportedAt) <= reportLifetime && now.Sub(c.freeAt) > freeLifetime
}

// Window is the concurrency limit of a process at one endpoint. Below 1 it means one request at a
// time with pauses in between. It is not safe for concurrent use.
type Window struct {
	common *Common
	// factor is the endpoint's own part of the limit.
	factor   float64
	factorAt time.Time
	slots    int
	pace     int
	reports  bool
	// service is the moving average of the time of a request without queueing, divided by the pace.
	service time.Duration
	// took and spread are the moving averages of answer times and of their deviation.
	took, spread time.Duration
	tookAt       time.Time

	open     int
	lastSent time.Time
	// pausedUntil is set by a rejected send.
	pausedUntil time.Time
	declinedAt  time.Time
	// silentSince is the time of the first send since the last answer.
	silentSince time.Time
}

// NewWindow returns the window of an endpoint with a number of slots.
func NewWindow(common *Common, slots int) *Window {
	return &Window{common: common, factor: 1, slots: max(slots, defaultSlots), pace: usualPace}
}

// usualPace is the pace of an endpoint that works as fast as usual.
const usualPace = 100

// Open returns the number of open requests.
func (w *Window) Open() int { return w.open }

// Took returns the average answer time of the endpoint; it is 0 if it is not known.
func (w *Window) Took(now time.Time) time.Duration {
	if now.Sub(w.tookAt) > tookLifetime {
		return 0
	}
	return w.took
}

// expectedTook returns the average answer time, or a default.
func (w *Window) expectedTook() time.Duration {
	if w.took > 0 {
		return w.took
	}
	return time.Duration(queueShare * float64(w.common.Objective))
}

// serviceTime returns the time of a request at the endpoint's pace, without queueing.
func (w *Window) serviceTime() time.Duration {
	if w.service > 0 {
		return w.service * time.Duration(w.pace) / usualPace
	}
	return w.expectedTook()
}

// target returns how many requests the endpoint should hold, from all processes together.
func (w *Window) target() float64 {
	queue := queueShare * float64(w.common.Objective) / float64(max(w.serviceTime(), time.Millisecond))
	return float64(w.slots) * (1 + aimedQueue*min(queue, maxQueuePerSlot))
}

// maxQueuePerSlot bounds the allowed queue, in requests for each slot: endpoints reject sends
// beyond a bound that is not reported.
const maxQueuePerSlot = 2

// Limit returns the window.
func (w *Window) Limit(now time.Time) float64 {
	return max(min(w.common.share*w.ownFactor(now), maxShare)*w.target(), w.least())
}

// least returns the smallest window: one request per probeInterval of the whole process.
func (w *Window) least() float64 {
	return float64(w.expectedTook()) / float64(probeInterval) / float64(max(1, w.common.Endpoints))
}

func (w *Window) ownFactor(now time.Time) float64 {
	return math.Pow(w.factor, math.Exp(-float64(now.Sub(w.factorAt))/float64(factorMemory)))
}

// Ready returns the time from which another request may be sent, and false if an open one must end
// first.
func (w *Window) Ready(now time.Time) (time.Time, bool) {
	limit := w.Limit(now)
	whole, part := math.Modf(limit)
	var ready time.Time
	switch {
	case w.stalled(now):
		ready = w.lastSent.Add(probeInterval * time.Duration(max(1, w.common.Endpoints)))
	case w.open < int(whole):
	case w.open > int(whole) || part == 0:
		return time.Time{}, false
	default:
		ready = w.lastSent.Add(time.Duration(float64(w.expectedTook()) / part))
	}
	if ready.Before(w.pausedUntil) {
		ready = w.pausedUntil
	}
	return ready, true
}

// Room reports whether a request may be sent now.
func (w *Window) Room(now time.Time) bool {
	ready, ok := w.Ready(now)
	return ok && !ready.After(now)
}

// Rate returns the number of requests a second that the window allows.
func (w *Window) Rate(now time.Time) float64 {
	if w.stalled(now) {
		return 0
	}
	return w.Limit(now) / w.expectedTook().Seconds()
}

// stalled reports whether the endpoint has answered nothing for several usual answer times.
func (w *Window) stalled(now time.Time) bool {
	patience := max(w.common.Objective, stallFactor*w.took)
	return !w.silentSince.IsZero() && now.Sub(w.silentSince) > patience
}

// Sent records that a request is sent.
func (w *Window) Sent(now time.Time) {
	w.open++
	w.lastSent = now
	if w.silentSince.IsZero() {
		w.silentSince = now
	}
}

// Done records the end of a send. took is its time, 0 if it was not answered.
func (w *Window) Done(load *fleet.Load, declined bool, took time.Duration, now time.Time) {
	open := w.open
	w.open--
	if load != nil || declined || took > 0 {
		w.silentSince = time.Time{}
	}
	if load != nil && load.Slots > 0 {
		w.reports, w.slots, w.pace = true, load.Slots, usualPace
		if load.Pace > 0 {
			w.pace = load.Pace
		}
	}
	if declined {
		w.decline(open, now)
		return
	}
	if took > 0 {
		w.observeTook(load, took, now)
	}
	switch {
	case load != nil && load.Slots > 0:
		w.observeLoad(*load, open, now)
	case took > 0 && !w.reports:
		w.grow(unreportedGrowth+unreportedRecovery*min(1, now.Sub(w.declinedAt).Seconds()), open, now)
	}
}

// decline shrinks the window after a rejected send, and pauses until a part of the endpoint's queue
// has been served. Sends that were rejected at about the same time count once.
func (w *Window) decline(open int, now time.Time) {
	w.common.reportedAt, w.declinedAt = now, now
	if now.Before(w.pausedUntil) {
		return
	}
	w.pausedUntil = now.Add(time.Duration(queueShare * float64(w.common.Objective)))
	limit := w.Limit(now)
	w.change(declinedFactor*min(limit, float64(open))/limit, now)
}

func (w *Window) observeTook(load *fleet.Load, took time.Duration, now time.Time) {
	service := took * usualPace / time.Duration(w.pace)
	if load != nil && load.Slots > 0 {
		service = time.Duration(float64(service) / (1 + float64(load.Waiting)/float64(load.Slots)))
	}
	if w.took == 0 || now.Sub(w.tookAt) > tookLifetime {
		w.took, w.spread, w.service = took, took/4, service
	}
	w.tookAt = now
	w.service += time.Duration(tookWeight * float64(service-w.service))
	w.spread += time.Duration(tookWeight * (math.Abs(float64(took-w.took)) - float64(w.spread)))
	w.took += time.Duration(tookWeight * float64(took-w.took))
}

// observeLoad adjusts the window to a report, given the number of requests that were open.
func (w *Window) observeLoad(load fleet.Load, open int, now time.Time) {
	w.common.reportedAt = now
	held, target := float64(load.Running+load.Waiting), w.target()
	below := (target - held) / target
	switch {
	case load.Waiting == 0 && load.Running < load.Slots:
		w.common.freeAt = now
		w.grow(freeGain*max(below, 0), open, now)
	case below >= 0:
		w.grow(gain*below, open, now)
	default:
		w.change(1+(max(leastShrink, 1+gain*below)-1)/float64(max(1, open)), now)
	}
}

// grow lets the window grow by a share for each round of answers.
func (w *Window) grow(share float64, open int, now time.Time) {
	limit := w.Limit(now)
	added := share * (limit + growthFloor/float64(max(1, w.common.Endpoints))) / float64(max(1, open))
	w.change((limit+added)/limit, now)
}

// change multiplies the window by a factor, one part of which applies to all endpoints.
func (w *Window) change(by float64, now time.Time) {
	limit := w.common.share * w.ownFactor(now)
	least := w.least() / w.target()
	limit = min(max(limit*by, least), maxShare) / limit
	w.common.share = min(max(w.common.share*math.Pow(limit, commonPart), least), maxShare)
	w.factor = min(w.ownFactor(now)*math.Pow(limit, 1-commonPart), 1/minFactor)
	w.factor = max(w.factor, minFactor)
	w.factorAt = now
}

// minFactor bounds the own part of an endpoint.
const minFactor = 0.02
