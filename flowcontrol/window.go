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
	aimedQueue = 0.5
	// maxShare bounds a window, in shares of the requests that an endpoint should hold.
	maxShare = 1.5
	// gain is the weight of a report, for each round of answers.
	gain = 0.3
	// freeGain is the gain while an endpoint has free slots.
	freeGain = 1.0
	// maxShrink is the part by which the report of a full endpoint shrinks the window at most.
	maxShrink = 0.4
	// declineMemory is the time after a rejected send within which another one shows that the
	// windows are too large, and not only this endpoint's.
	declineMemory = 500 * time.Millisecond
	// declinedFactor is the factor by which a rejected send shrinks the window.
	declinedFactor = 0.5
	// growthStep is the growth of all windows of a process together, in requests, for each report
	// of an endpoint that holds nothing.
	growthStep = 0.3
	// unusedFactor bounds the windows of an overloaded service, as a multiple of the open requests.
	unusedFactor = 2
	// commonEndpoints is the number of endpoints from which half of each change of a window applies
	// to all endpoints of the service. With 820 entries and 60 endpoints an entry hears from one
	// endpoint every few seconds only, and has to apply maxCommon of it to the others.
	commonEndpoints = 3
	maxCommon       = 2.0 / 3
	// factorMemory is the time constant with which an endpoint's own part returns to 1 while
	// nothing is heard from it.
	factorMemory = 10 * time.Second
	// reportLifetime is the time without a report after which the windows are reset.
	reportLifetime = 500 * time.Millisecond
	// expiryGrowth is the growth of the windows of a process that is limited by them when no report
	// has come for reportLifetime.
	expiryGrowth = 2
	// maxCredit is how many sends a process that was idle may make at once while its windows are
	// below one request.
	maxCredit = 3
	// perSlotWeight is the weight of the newest answer in Common.perSlot.
	perSlotWeight = 0.05
	// probeInterval is the time between two sends of a process to a service whose endpoints
	// report that they are full.
	probeInterval = 500 * time.Millisecond
	// burstTime is how long a service has to be overloaded until requests are refused that could
	// be answered after their objective.
	burstTime = 400 * time.Millisecond
	// overloadLifetime is how long the reports of an overload are trusted without a newer one.
	overloadLifetime = 250 * time.Millisecond
	// freeInterval is how long an endpoint has to report free slots to be trusted while the others
	// report queues.
	freeInterval = 50 * time.Millisecond
	// freeLifetime is how long a report of a free slot is trusted, one control interval.
	freeLifetime = 100 * time.Millisecond
	// overloadedShare is the share of reports that show a queue above which the service counts as
	// overloaded, relievedShare the share below which it no longer does. queueingMemory is the time
	// constant of the average, maxQueueingWeight the most that a single report can change it.
	overloadedShare   = 0.5
	relievedShare     = 0.25
	queueingMemory    = 200 * time.Millisecond
	maxQueueingWeight = 0.25
	// tookLifetime is how long the answer time of an endpoint is trusted. An endpoint that is
	// avoided because it is slow is tried again after it.
	tookLifetime = 5 * time.Second
	// tookWeight is the weight of the newest answer in the averages of answer times.
	tookWeight = 0.15
	// maxPaceChange bounds the pace by its moving average, paceWeight is the weight of the newest
	// report in it. A single odd report then slows the sends by this factor at most.
	maxPaceChange = 3
	paceWeight    = 0.3
	// maxServiceChange bounds the weight of one answer that took unusually long.
	maxServiceChange = 4
	// stallFactor is the number of usual answer times without any answer after which an endpoint
	// counts as stalled.
	stallFactor = 4
	// firstStallTime is the time without any answer after which an endpoint counts as stalled that
	// has never answered: its usual answer time may be long.
	firstStallTime = time.Second
	// defaultObjective is used until a request with an objective arrives.
	defaultObjective = 150 * time.Millisecond
	// defaultPerSlot is Common.perSlot until an answer arrives.
	defaultPerSlot = 5 * time.Millisecond
	// defaultSlots is used for an endpoint whose slots are not known.
	defaultSlots = 1
	// unreportedFactor is declinedFactor for such an endpoint.
	unreportedFactor = 0.2
	// unreportedGrowth is the growth of the window of an endpoint without reports for each answer.
	unreportedGrowth = 0.01
	// unreportedRecovery is that growth once no send has been rejected for unreportedLull.
	unreportedRecovery = 0.1
	unreportedLull     = 10 * time.Second
)

// Window is the concurrency limit of a process at one endpoint. Below 1 it means one request at a
// time with pauses in between. It is not safe for concurrent use.
type Window struct {
	common *Common
	// factor is the endpoint's own part of the limit.
	factor   float64
	factorAt time.Time
	slots    int
	// pace is the endpoint's pace, usual its moving average.
	pace, usual float64
	reports     bool
	// free is set if the last report showed a free slot, freeSince is when the first one in a row did.
	free      bool
	freeSince time.Time
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

// Open returns the number of open requests.
func (w *Window) Open() int { return w.open }

// target returns how many requests the endpoint should hold, from all processes together.
func (w *Window) target() float64 { return float64(w.slots) * (1 + aimedQueue*w.allowedQueue()) }

// most returns how many requests the endpoint may hold.
func (w *Window) most() float64 { return float64(w.slots) * (1 + w.allowedQueue()) }

// allowedQueue returns the allowed queue, in requests for each slot.
func (w *Window) allowedQueue() float64 {
	queue := queueShare * float64(w.common.Objective) / float64(max(w.serviceTime(), time.Millisecond))
	return min(queue, maxQueuePerSlot)
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

// ownFactor returns the endpoint's own part after its decay.
func (w *Window) ownFactor(now time.Time) float64 {
	if w.factor == 1 {
		return 1
	}
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
	if whole == 0 && ready.Before(w.common.next) {
		ready = w.common.next
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
	stallTime := max(w.common.Objective, stallFactor*w.took)
	if w.took == 0 {
		stallTime = max(stallTime, firstStallTime)
	}
	return !w.silentSince.IsZero() && now.Sub(w.silentSince) > stallTime
}

// Sent records that a request is sent.
func (w *Window) Sent(now time.Time) {
	if w.Limit(now) < 1 {
		w.common.sent(now)
	}
	w.open++
	w.common.open++
	w.lastSent = now
	if w.silentSince.IsZero() {
		w.silentSince = now
	}
}

// Done records the end of a send. took is its time, 0 if it was not answered.
func (w *Window) Done(load *fleet.Load, declined bool, took time.Duration, now time.Time) {
	open := w.open
	w.open--
	w.common.open--
	if load != nil || declined || took > 0 || w.open == 0 && !w.stalled(now) {
		// An endpoint whose requests were all cut off early has no answer outstanding.
		w.silentSince = time.Time{}
	}
	if load != nil && load.Slots > 0 {
		w.reports, w.slots = true, load.Slots
		w.observePace(load.Pace)
	}
	if declined {
		w.decline(now)
		return
	}
	if took > 0 {
		w.observeTook(load, took, now)
	}
	switch {
	case load != nil && load.Slots > 0:
		w.observeLoad(*load, open, now)
	case took > 0 && !w.reports:
		growth := unreportedGrowth
		if now.Sub(w.declinedAt) > unreportedLull {
			growth = unreportedRecovery
		}
		w.growBy(growth*w.Limit(now), now)
	}
}

// decline shrinks the window after a rejected send, and pauses until a part of the endpoint's queue
// has been served. Sends that were rejected at about the same time count once.
func (w *Window) decline(now time.Time) {
	again := now.Sub(w.common.declinedAt) < declineMemory
	w.declinedAt, w.common.declinedAt = now, now
	w.common.report(true, now)
	if now.Before(w.pausedUntil) {
		return
	}
	w.pausedUntil = now.Add(time.Duration(queueShare * float64(w.common.Objective)))
	if again {
		w.clip(1, now)
	}
	factor := declinedFactor
	if !w.reports {
		factor = unreportedFactor
	}
	w.change(factor, now)
}

// observeLoad adjusts the window to a report, given the number of requests that were open.
func (w *Window) observeLoad(load fleet.Load, open int, now time.Time) {
	held, target := float64(load.Running+load.Waiting), w.target()
	w.common.report(float64(load.Waiting) > (target-float64(w.slots))/2, now)
	below := (target - held) / target
	switch {
	case w.idle(load, open, now):
		w.growBy(freeGain*max(below, 0)*w.Limit(now)/float64(max(1, open)), now)
	case below >= 0:
		w.grow(gain*below, open, now)
	case !w.common.Overloaded(now) && held <= w.most(): // a burst
	default:
		if w.common.Sustained(now) {
			w.clip(unusedFactor, now)
		}
		w.change(1-min(maxShrink, -gain*below)/math.Sqrt(float64(max(1, open))), now)
	}
}

// grow lets the window grow. While the service is overloaded the growth is the same for all
// processes and only a window in use grows, so that the windows become equal; else it is
// proportional to the window.
func (w *Window) grow(share float64, open int, now time.Time) {
	limit := w.Limit(now)
	added := 0.0
	switch {
	case !w.common.Overloaded(now):
		added = share * limit / float64(max(1, open))
	case float64(open) < limit/2:
		return
	}
	w.growBy(added+share*growthStep/float64(max(1, w.common.Endpoints)), now)
}

// idle reports whether a report shows that the endpoint could do more, given the number of requests
// that were open.
func (w *Window) idle(load fleet.Load, open int, now time.Time) bool {
	since := w.freeFor(load, now)
	switch {
	case !w.free:
		return false
	case !w.common.Overloaded(now) || load.Running <= load.Slots/2:
		return true
	}
	return since >= freeInterval && float64(open) >= w.Limit(now)/2
}

// freeFor records whether a report shows a free slot, and returns for how long reports have.
func (w *Window) freeFor(load fleet.Load, now time.Time) time.Duration {
	before := w.free
	w.free = load.Waiting == 0 && load.Running < load.Slots
	if !w.free {
		return 0
	}
	w.common.freeAt = now
	if !before {
		w.freeSince = now
	}
	return now.Sub(w.freeSince)
}

// clip reduces a window to a multiple of what the process has open on average at an endpoint.
// Without it, processes that send little keep the first window for seconds.
func (w *Window) clip(multiple float64, now time.Time) {
	used := multiple * float64(max(1, w.common.open)) / float64(max(1, w.common.Endpoints))
	if limit := w.Limit(now); limit > used {
		w.change(used/limit, now)
	}
}

// growBy lets the window grow by a number of requests.
func (w *Window) growBy(added float64, now time.Time) {
	limit := w.Limit(now)
	w.change((limit+added)/limit, now)
}

// change multiplies the window by a factor, one part of which applies to all endpoints.
func (w *Window) change(by float64, now time.Time) {
	limit := w.common.share * w.ownFactor(now)
	least := w.least() / w.target()
	limit = min(max(limit*by, least), maxShare) / limit
	common := min(maxCommon, float64(w.common.Endpoints)/float64(w.common.Endpoints+commonEndpoints))
	w.common.share = min(max(w.common.share*math.Pow(limit, common), least), maxShare)
	w.factor = min(w.ownFactor(now)*math.Pow(limit, 1-common), 1/minFactor)
	w.factor = max(w.factor, minFactor)
	w.factorAt = now
}

// minFactor bounds the own part of an endpoint.
const minFactor = 0.02
