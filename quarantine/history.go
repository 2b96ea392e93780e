package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mulberryscale.example/fleet"
)

// State says how a content may be sent.
type State int

// States of a content.
const (
	// Clear contents are sent without restriction.
	Clear State = iota
	// Suspect contents were running when an endpoint crashed, perhaps by a fault of the endpoint's
	// own: they are sent to one endpoint at a time.
	Suspect
	// Quarantined contents are not sent.
	Quarantined
	// TrialDue contents are quarantined, but one process may send them once as a trial.
	TrialDue
)

// CrashLimit is the number of endpoint crashes at which a content is quarantined. One crash may be the endpoint's
// own fault, and requests that merely ran beside the one that caused it are served by a second send. The limit is not
// higher, since a service may have no more than three endpoints.
const CrashLimit = 2

// trialDelays are the times for which a quarantined content is not sent before each of its
// trials. There are no further trials: a content that keeps crashing endpoints costs three more
// of them, and one whose service was fixed is served again. The first delay is short
// because a content may merely have run beside the one that caused two crashes.
var trialDelays = [...]time.Duration{30 * time.Second, 5 * time.Minute, 30 * time.Minute}

const (
	// suspectTTL is how long a suspect is remembered after its last crash.
	suspectTTL = 10 * time.Minute
	// simultaneousWindow is the greatest difference between the times at which entries record
	// events of the same moment.
	simultaneousWindow = 25 * time.Millisecond
	// quarantineTTL is how long a quarantined content is remembered after its last event.
	quarantineTTL = 24 * time.Hour
)

// span is the time of a run, from its sending to the endpoint's crash.
type span struct{ start, end time.Duration }

// history holds what is known of one content. Times are those of the clock that all processes
// share.
type history struct {
	// crashes are the runs during which endpoints crashed, by endpoint.
	crashes map[fleet.Incarnation]span
	// trials are the times at which trials were claimed, by number from 0.
	trials map[int]time.Duration
}

func newHistory() *history {
	return &history{crashes: map[fleet.Incarnation]span{}, trials: map[int]time.Duration{}}
}

func (h *history) empty() bool { return len(h.crashes) == 0 && len(h.trials) == 0 }

// lastEvent returns the time of the last crash or trial.
func (h *history) lastEvent() time.Duration {
	var last time.Duration
	for _, run := range h.crashes {
		last = max(last, run.end)
	}
	for _, at := range h.trials {
		last = max(last, at)
	}
	return last
}

// crashCount returns the number of independent crashes. Endpoints that lose power together crash
// under every content that several callers ask for at that moment, so crashes of overlapping runs
// within simultaneousWindow count once.
func (h *history) crashCount() (n int) {
	var former time.Duration
	for _, run := range slices.SortedFunc(maps.Values(h.crashes), func(a, b span) int { return cmp.Compare(a.end, b.end) }) {
		if n == 0 || run.start >= former || run.end-former > simultaneousWindow {
			n++
		}
		former = run.end
	}
	return n
}

// state returns the content's state and, for a quarantined one, the time until its next trial is
// due.
func (h *history) state(now time.Duration) (state State, wait time.Duration) {
	switch n := h.crashCount(); {
	case n == 0:
		return Clear, 0
	case n < CrashLimit:
		return Suspect, 0
	}
	wait = h.lastEvent() + quarantineTTL - now
	if n := h.nextTrial(); n < len(trialDelays) {
		wait = h.lastEvent() + trialDelays[n] - now
	}
	if wait > 0 {
		return Quarantined, wait
	}
	return TrialDue, 0
}

// nextTrial returns the number of the next trial.
func (h *history) nextTrial() int { return len(h.trials) }

// expired reports whether the last event is longer ago than suspectTTL or, at CrashLimit crashes
// or more, quarantineTTL.
func (h *history) expired(now time.Duration) bool {
	memory := suspectTTL
	if h.crashCount() >= CrashLimit {
		memory = quarantineTTL
	}
	return now > h.lastEvent()+memory
}
