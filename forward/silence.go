package forward

import (
	"sync"
	"time"

	"mulberryscale.example/fleet"
)

const (
	// silentObjectives is the time without any answer, in objectives of the route, after which an
	// endpoint that has been sent requests counts as silent. One that is only slow answers some
	// request within it: at 6 times the usual 25 ms of a lookup it needs 150 ms, and the objective
	// is as long.
	silentObjectives = 3
	// probeInterval is the time between two requests that are sent to a silent endpoint to see
	// whether it answers again. Each may be lost unless it is hedged: the budget of a process with
	// few requests allows 3 second sends in 10 s. With 0.5 s, 4 of 60 requests were lost.
	probeInterval = 5 * time.Second
)

// silence tells which endpoints of a service answer nothing, though they are listed. Where second
// sends are limited, requests must not depend on a hedge each time such an endpoint is chosen. A
// send that is cut off tells nothing about its endpoint by itself. It is safe for concurrent use.
type silence struct {
	mu        sync.Mutex
	endpoints map[fleet.Incarnation]unanswered
}

// unanswered describes an endpoint that has been sent requests since its last answer.
type unanswered struct {
	// since is the time of the first send after the last answer, last that of the newest.
	since, last time.Time
}

func newSilence() *silence { return &silence{endpoints: map[fleet.Incarnation]unanswered{}} }

// sent records a send.
func (s *silence) sent(to fleet.Incarnation, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.endpoints[to]
	if u.since.IsZero() {
		u.since = now
	}
	u.last = now
	s.endpoints[to] = u
}

// answered records an answer of an endpoint, whatever it says.
func (s *silence) answered(from fleet.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.endpoints, from)
}

// speaking returns the endpoints that are not silent for a route, and silent ones that are due for a
// probe. If all are silent, it returns all.
func (s *silence) speaking(endpoints []fleet.Instance, route *fleet.Route, now time.Time) []fleet.Instance {
	limit := silentObjectives * route.Objective
	if limit <= 0 {
		limit = route.Timeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.endpoints) == 0 {
		return endpoints
	}
	return keepUnlessNone(endpoints, func(i fleet.Incarnation) bool {
		u, sent := s.endpoints[i]
		return !sent || now.Sub(u.since) < limit || now.Sub(u.last) >= probeInterval
	})
}

// prune forgets the endpoints that are no longer listed.
func (s *silence) prune(snap *fleet.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	deleteUnlisted(s.endpoints, snap)
}
