package fleet

import "time"

// Incarnation is one start of an endpoint. An endpoint may start again under the
// id that it had; it then knows nothing of before. Whatever is believed of a
// running endpoint, such as its load or its speed, is kept by its incarnation.
type Incarnation struct {
	ID string
	// StartedAt is the Unix millisecond of its start; 0 if it does not say.
	StartedAt int64
}

// Incarnation is the instance's.
func (i Instance) Incarnation() Incarnation { return Incarnation{ID: i.ID, StartedAt: i.StartedAt} }

// Load is what an endpoint tells of itself with its answers: requests that run,
// that wait in its queue, and the places for running ones.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// LatestIncarnations are the newest births that are known of endpoints, by id, so that an
// older one seen later changes nothing. It is not safe for concurrent use.
type LatestIncarnations struct {
	newest map[string]birth
}

type birth struct {
	born int64
	seen time.Time
}

// birthMemory is how long the birth of an endpoint that is no longer heard of is
// remembered: lists and reports of it lag by some seconds at most.
const birthMemory = 2 * time.Minute

// NewLatestIncarnations knows no births yet.
func NewLatestIncarnations() *LatestIncarnations {
	return &LatestIncarnations{newest: map[string]birth{}}
}

// Observe says how a birth stands to the newest that is known of the id, and
// remembers it if it is newer.
func (b *LatestIncarnations) Observe(i Incarnation, now time.Time) IncarnationOrder {
	known := b.newest[i.ID]
	switch {
	case i.StartedAt == 0 && known.born > 0:
		return IncarnationUnknown
	case i.StartedAt < known.born:
		return IncarnationOlder
	}
	order := IncarnationCurrent
	if i.StartedAt > known.born && known.born > 0 {
		order = IncarnationNewer
	}
	if i.StartedAt > 0 {
		b.newest[i.ID] = birth{i.StartedAt, now}
	}
	b.forget(now)
	return order
}

// forget drops births that were not heard of for long.
func (b *LatestIncarnations) forget(now time.Time) {
	for id, known := range b.newest {
		if now.Sub(known.seen) > birthMemory {
			delete(b.newest, id)
		}
	}
}

// IncarnationOrder is how a birth stands to the newest known.
type IncarnationOrder int

// Orders of births.
const (
	// IncarnationCurrent is the newest known, or the first of its id.
	IncarnationCurrent IncarnationOrder = iota
	// IncarnationNewer is a start again under an id that is known.
	IncarnationNewer
	// IncarnationOlder is a former incarnation, seen late.
	IncarnationOlder
	// IncarnationUnknown says nothing of its birth though the endpoint has told one
	// before, so it is not the endpoint's own word.
	IncarnationUnknown
)
