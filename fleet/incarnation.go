package fleet

import "time"

// Incarnation identifies one start of an endpoint. An endpoint may restart under the same id
// and has then lost its state. So state of a running endpoint, such as its load or its speed,
// is kept by incarnation.
type Incarnation struct {
	ID string
	// StartedAt is the start time in Unix milliseconds; 0 if the endpoint doesn't report it.
	StartedAt int64
}

// Incarnation returns the incarnation of the instance.
func (i Instance) Incarnation() Incarnation { return Incarnation{ID: i.ID, StartedAt: i.StartedAt} }

// Load is the load that an endpoint reports with its answers: the numbers of running requests,
// of requests in its queue, and of slots for running requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at the endpoint now, in hundredths of the usual time: 200 takes
	// twice as long. It is 0 if the endpoint does not report it.
	Pace int
}

// Incarnations tracks the latest known start of each endpoint by id, so that information
// about a former incarnation that arrives late can be ignored. It is not safe for concurrent
// use.
type Incarnations struct {
	latest   map[string]latestStart
	prunedAt time.Time
	// examined is the number of entries that prune has looked at so far.
	examined int
}

// latestStart is the latest known start of an endpoint, and when it was last seen.
type latestStart struct {
	startedAt int64
	seenAt    time.Time
}

// startRetention is how long the start of an endpoint is remembered after it was last seen.
// Lists and reports lag behind by some seconds at most.
const startRetention = 2 * time.Minute

// pruneInterval is the time between two searches for starts to forget. Each search goes through
// all endpoints, and Observe is called for each heartbeat of each endpoint: with a search for
// each call the work would grow with the square of their number.
const pruneInterval = startRetention / 4

// NewIncarnations returns an empty Incarnations.
func NewIncarnations() *Incarnations { return &Incarnations{latest: map[string]latestStart{}} }

// Observe compares an incarnation with the latest known one of the same id, and records it
// unless it is older or has no start time.
func (l *Incarnations) Observe(i Incarnation, now time.Time) IncarnationOrder {
	known := l.latest[i.ID]
	switch {
	case i.StartedAt == 0 && known.startedAt > 0:
		return IncarnationUnknown
	case i.StartedAt < known.startedAt:
		return IncarnationOlder
	}
	order := IncarnationCurrent
	if i.StartedAt > known.startedAt && known.startedAt > 0 {
		order = IncarnationNewer
	}
	if i.StartedAt > 0 {
		l.latest[i.ID] = latestStart{i.StartedAt, now}
	}
	l.prune(now)
	return order
}

// prune removes starts that were last seen more than startRetention ago, once per pruneInterval.
func (l *Incarnations) prune(now time.Time) {
	if now.Sub(l.prunedAt) < pruneInterval {
		return
	}
	l.prunedAt = now
	l.examined += len(l.latest)
	for id, known := range l.latest {
		if now.Sub(known.seenAt) > startRetention {
			delete(l.latest, id)
		}
	}
}

// IncarnationOrder is how an incarnation compares with the latest known one of its id.
type IncarnationOrder int

// Results of Incarnations.Observe.
const (
	// IncarnationCurrent is the latest known incarnation, or the first of its id.
	IncarnationCurrent IncarnationOrder = iota
	// IncarnationNewer is a restart under a known id.
	IncarnationNewer
	// IncarnationOlder is a former incarnation.
	IncarnationOlder
	// IncarnationUnknown has no start time though the endpoint has reported one before, so
	// the information does not come from the endpoint itself.
	IncarnationUnknown
)
