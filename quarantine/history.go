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

// Verdicts.
const (
	// Clear contents are sent as any other.
	Clear State = iota
	// Suspect contents have met the end of an endpoint, which may be the endpoint's
	// own: they go on to one endpoint at a time.
	Suspect
	// Quarantined contents are not sent.
	Quarantined
	// TrialDue contents are held, and one process may try them out once.
	TrialDue
)

// Limit is how many endpoints may end under a content before it is held.
type Limit int

// Limits of the two kinds of work.
const (
	// RequestLimit holds a request at its second end. The end of one endpoint may be
	// the endpoint's own, and a second send serves those that were beside it; a
	// service may have no more than three.
	RequestLimit Limit = 2
	// ItemLimit holds an item of a batch job at its third: up to a dozen others run
	// beside it, and some of them meet two ends with it.
	ItemLimit Limit = 3
)

// trialPauses are the times without a send before each trial of a held content.
// There are no more trials: a content that ends endpoints for good costs three more,
// one whose service was mended is served again. The first pause is short for the
// sake of contents that were beside another one twice.
var trialPauses = [...]time.Duration{30 * time.Second, 5 * time.Minute, 30 * time.Minute}

const (
	// suspectMemory is how long after its last end a suspect is remembered.
	suspectMemory = 10 * time.Minute
	// togetherTime is how far apart entries see what happened at one moment.
	togetherTime = 25 * time.Millisecond
	// heldMemory is the same for a held content.
	heldMemory = 24 * time.Hour
)

// span is the time of a run, from its sending to the end of its endpoint.
type span struct{ began, ended time.Duration }

// history is what is known of a content. Times are the clock's that all processes
// share.
type history struct {
	// ends are the runs under which endpoints ended.
	ends map[fleet.Incarnation]span
	// trials are the moments at which its trials were claimed, by number from 0.
	trials map[int]time.Duration
}

func newHistory() *history {
	return &history{ends: map[fleet.Incarnation]span{}, trials: map[int]time.Duration{}}
}

func (h *history) empty() bool { return len(h.ends) == 0 && len(h.trials) == 0 }

// last is the moment of the last end or trial.
func (h *history) last() time.Duration {
	var last time.Duration
	for _, run := range h.ends {
		last = max(last, run.ended)
	}
	for _, at := range h.trials {
		last = max(last, at)
	}
	return last
}

// count is how many endpoints ended under the content, each by itself. Endpoints that
// lose power together end under every content that several callers ask for at that
// moment: ends of overlapping runs within togetherTime count once.
func (h *history) count() (n int) {
	var former time.Duration
	for _, run := range slices.SortedFunc(maps.Values(h.ends), func(a, b span) int { return cmp.Compare(a.ended, b.ended) }) {
		if n == 0 || run.began >= former || run.ended-former > togetherTime {
			n++
		}
		former = run.ended
	}
	return n
}

// judge is the verdict, and for a held content how long it stays held.
func (h *history) judge(limit Limit, now time.Duration) (verdict State, wait time.Duration) {
	switch n := h.count(); {
	case n == 0:
		return Clear, 0
	case n < int(limit):
		return Suspect, 0
	}
	wait = h.last() + heldMemory - now
	if n := h.nextTrial(); n < len(trialPauses) {
		wait = h.last() + trialPauses[n] - now
	}
	if wait > 0 {
		return Quarantined, wait
	}
	return TrialDue, 0
}

// nextTrial is the number of the next trial.
func (h *history) nextTrial() int { return len(h.trials) }

// forgotten reports whether it is so old that it says nothing any more.
func (h *history) forgotten(now time.Duration) bool {
	memory := suspectMemory
	if h.count() >= int(RequestLimit) {
		memory = heldMemory
	}
	return now > h.last()+memory
}
