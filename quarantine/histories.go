package quarantine

import (
	"maps"
	"time"
)

// maxSubjects bounds what one process remembers, some 300 bytes each. Beyond it the
// contents whose last end is the longest ago are forgotten first.
const maxSubjects = 4096

// book is what a process knows of contents. It is not safe for concurrent use.
type book struct {
	subjects map[Fingerprint]*history
	// cleared are contents that an endpoint ran and lived through lately: what is
	// told of them from before that is old.
	cleared map[Fingerprint]time.Duration
}

func newBook() *book {
	return &book{subjects: map[Fingerprint]*history{}, cleared: map[Fingerprint]time.Duration{}}
}

// judge is the verdict on a content.
func (b *book) judge(s Fingerprint, limit Limit, now time.Duration) (State, time.Duration) {
	h, known := b.subjects[s]
	if !known || h.forgotten(now) {
		return Clear, 0
	}
	return h.judge(limit, now)
}

// note takes an event in and reports whether it was news.
func (b *book) note(e event) bool {
	if at, cleared := b.cleared[e.subject]; cleared && e.mark.At <= at {
		return false
	}
	h, known := b.subjects[e.subject]
	if !known || h.forgotten(e.mark.At) {
		b.makeRoom()
		h = newHistory()
		b.subjects[e.subject] = h
	}
	if e.trial >= 0 {
		_, known = h.trials[e.trial]
		h.trials[e.trial] = e.mark.At
		return !known
	}
	if _, known = h.ends[e.endpoint]; !known {
		h.ends[e.endpoint] = span{began: e.mark.At - e.mark.Ran, ended: e.mark.At}
	}
	return !known
}

// undo takes an event out again.
func (b *book) undo(e event) {
	h, known := b.subjects[e.subject]
	if !known {
		return
	}
	if e.trial >= 0 {
		delete(h.trials, e.trial)
	} else {
		delete(h.ends, e.endpoint)
	}
	if h.empty() {
		delete(b.subjects, e.subject)
	}
}

// forget forgets a content and returns its history; nil if nothing was known.
func (b *book) forget(s Fingerprint) *history {
	h := b.subjects[s]
	delete(b.subjects, s)
	return h
}

// clear forgets what was known of a content up to a moment.
func (b *book) clear(s Fingerprint, at time.Duration) {
	if former, known := b.cleared[s]; known && former >= at {
		return
	}
	b.cleared[s] = at
	if h, known := b.subjects[s]; known && h.last() <= at {
		delete(b.subjects, s)
	}
}

// forgetCleared forgets clearances of which no old news comes any more.
func (b *book) forgetCleared(now time.Duration) {
	maps.DeleteFunc(b.cleared, func(_ Fingerprint, at time.Duration) bool { return now-at > 2*newsTime })
}

// forgotten are the contents whose time is up.
func (b *book) forgotten(now time.Duration) (list []Fingerprint) {
	for s, h := range b.subjects {
		if h.forgotten(now) {
			list = append(list, s)
		}
	}
	return list
}

// makeRoom forgets the content that has been quiet the longest if there are too many.
func (b *book) makeRoom() {
	if len(b.subjects) < maxSubjects {
		return
	}
	var oldest Fingerprint
	for s, h := range b.subjects {
		if oldest == "" || h.last() < b.subjects[oldest].last() {
			oldest = s
		}
	}
	delete(b.subjects, oldest)
}
