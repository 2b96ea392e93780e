package fleet

import "time"

// Incarnation is one start of an endpoint. An endpoint may start again under the
// id that it had; it then knows nothing of before. Whatever is believed of a
// running endpoint, such as its load or its speed, is kept by its incarnation.
type Incarnation struct {
	ID string
	// Born is the Unix millisecond of its start; 0 if it does not say.
	Born int64
}

// Incarnation is the instance's.
func (i Instance) Incarnation() Incarnation { return Incarnation{ID: i.ID, Born: i.Born} }

// Load is what an endpoint tells of itself with its answers: requests that run,
// that wait in its queue, and the places for running ones.
type Load struct {
	Running int
	Waiting int
	Places  int
}

// Births are the newest births that are known of endpoints, by id, so that an
// older one seen later changes nothing. It is not safe for concurrent use.
type Births struct {
	newest map[string]birth
}

type birth struct {
	born int64
	seen time.Time
}

// birthMemory is how long the birth of an endpoint that is no longer heard of is
// remembered: lists and reports of it lag by some seconds at most.
const birthMemory = 2 * time.Minute

// NewBirths knows no births yet.
func NewBirths() *Births { return &Births{newest: map[string]birth{}} }

// Order says how a birth stands to the newest that is known of the id, and
// remembers it if it is newer.
func (b *Births) Order(i Incarnation, now time.Time) BirthOrder {
	known := b.newest[i.ID]
	switch {
	case i.Born == 0 && known.born > 0:
		return BirthUntold
	case i.Born < known.born:
		return BirthOlder
	}
	order := BirthSame
	if i.Born > known.born && known.born > 0 {
		order = BirthNewer
	}
	if i.Born > 0 {
		b.newest[i.ID] = birth{i.Born, now}
	}
	b.forget(now)
	return order
}

// forget drops births that were not heard of for long.
func (b *Births) forget(now time.Time) {
	for id, known := range b.newest {
		if now.Sub(known.seen) > birthMemory {
			delete(b.newest, id)
		}
	}
}

// BirthOrder is how a birth stands to the newest known.
type BirthOrder int

// Orders of births.
const (
	// BirthSame is the newest known, or the first of its id.
	BirthSame BirthOrder = iota
	// BirthNewer is a start again under an id that is known.
	BirthNewer
	// BirthOlder is a former incarnation, seen late.
	BirthOlder
	// BirthUntold says nothing of its birth though the endpoint has told one
	// before, so it is not the endpoint's own word.
	BirthUntold
)
