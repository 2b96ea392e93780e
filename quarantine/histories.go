package quarantine

import (
	"maps"
	"time"
)

// maxHistories bounds the contents that one process remembers, at some 300 bytes each. Beyond it
// the content whose last crash or trial is the oldest is evicted first.
const maxHistories = 4096

// histories holds what a process knows of each content. It is not safe for concurrent use.
type histories struct {
	byFingerprint map[Fingerprint]*history
	// cleared holds the contents that an endpoint has recently answered without crashing, with
	// the time of the answer: older reports about them are ignored.
	cleared map[Fingerprint]time.Duration
}

func newHistories() *histories {
	return &histories{byFingerprint: map[Fingerprint]*history{}, cleared: map[Fingerprint]time.Duration{}}
}

// state returns the content's state and, for a quarantined one, how long it stays so.
func (hs *histories) state(fp Fingerprint, now time.Duration) (State, time.Duration) {
	h, known := hs.byFingerprint[fp]
	if !known || h.expired(now) {
		return Clear, 0
	}
	return h.state(now)
}

// record adds an event and reports whether it was new.
func (hs *histories) record(e event) bool {
	if at, cleared := hs.cleared[e.fingerprint]; cleared && e.value.At <= at {
		return false
	}
	h, known := hs.byFingerprint[e.fingerprint]
	if !known || h.expired(e.value.At) {
		hs.evictOldest()
		h = newHistory()
		hs.byFingerprint[e.fingerprint] = h
	}
	if e.trial >= 0 {
		_, known = h.trials[e.trial]
		h.trials[e.trial] = e.value.At
		return !known
	}
	if _, known = h.crashes[e.endpoint]; !known {
		h.crashes[e.endpoint] = span{start: e.value.At - e.value.Ran, end: e.value.At}
	}
	return !known
}

// remove removes an event.
func (hs *histories) remove(e event) {
	h, known := hs.byFingerprint[e.fingerprint]
	if !known {
		return
	}
	if e.trial >= 0 {
		delete(h.trials, e.trial)
	} else {
		delete(h.crashes, e.endpoint)
	}
	if h.empty() {
		delete(hs.byFingerprint, e.fingerprint)
	}
}

// take removes a content and returns its history; nil if it had none.
func (hs *histories) take(fp Fingerprint) *history {
	h := hs.byFingerprint[fp]
	delete(hs.byFingerprint, fp)
	return h
}

// clear notes that the content was answered at the given time, and removes its history if no
// event is later.
func (hs *histories) clear(fp Fingerprint, at time.Duration) {
	if former, known := hs.cleared[fp]; known && former >= at {
		return
	}
	hs.cleared[fp] = at
	if h, known := hs.byFingerprint[fp]; known && h.lastEvent() <= at {
		delete(hs.byFingerprint, fp)
	}
}

// expireCleared removes clearances that no outdated gossip can follow any more.
func (hs *histories) expireCleared(now time.Duration) {
	maps.DeleteFunc(hs.cleared, func(_ Fingerprint, at time.Duration) bool { return now-at > 2*gossipTTL })
}

// expired returns the contents whose histories have expired.
func (hs *histories) expired(now time.Duration) (list []Fingerprint) {
	for fp, h := range hs.byFingerprint {
		if h.expired(now) {
			list = append(list, fp)
		}
	}
	return list
}

// evictOldest removes the content whose last event is the oldest if the limit is reached.
func (hs *histories) evictOldest() {
	if len(hs.byFingerprint) < maxHistories {
		return
	}
	var oldest Fingerprint
	for fp, h := range hs.byFingerprint {
		if oldest == "" || h.lastEvent() < hs.byFingerprint[oldest].lastEvent() {
			oldest = fp
		}
	}
	delete(hs.byFingerprint, oldest)
}
