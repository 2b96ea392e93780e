package picker

import (
	"math"
	"time"

	"mulberryscale.example/fleet"
)

// A process with few requests sends them to few endpoints, so that each request finds a
// connection that is still open: with a rate that is shared by many processes, spreading over
// all endpoints would open a connection for nearly each request, and as many processes more
// would open as many more. The subset grows with the process's own rate up to all endpoints, so
// that a busy process spreads its requests evenly.

const (
	// ReuseTime is how long after a send a connection to an endpoint is expected to be open. It
	// must be below the time after which the sender closes idle connections.
	ReuseTime = 7 * time.Second
	// wantedReuses is the number of sends within ReuseTime that justify one endpoint. With eight
	// at random times, one in three thousand finds its connection closed (e^-8).
	wantedReuses = 8
)

// recentSends counts sends, weighted by e^(-age/ReuseTime).
type recentSends struct {
	weight float64
	at     time.Time // of the newest send
}

// add counts a send.
func (s *recentSends) add(now time.Time) {
	s.weight, s.at = s.current(now)+1, now
}

// current returns the weighted number of sends.
func (s *recentSends) current(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return s.weight * math.Exp(-float64(now.Sub(s.at))/float64(ReuseTime))
}

// warm reports whether a connection is expected to be open.
func (s *recentSends) warm(now time.Time) bool {
	return !s.at.IsZero() && now.Sub(s.at) < ReuseTime
}

// warmSubset returns those of the equally loaded instances to which a connection is expected to
// be open. It returns none if this process sends often enough to keep connections to more
// instances in use. It is called with p.mu held.
func (p *Picker) warmSubset(equal []fleet.Instance, q Query) []fleet.Instance {
	sends := 0.0
	var warm []fleet.Instance
	for _, i := range equal {
		recent := &p.loadOf(i.Incarnation()).recent
		sends += recent.current(q.Now)
		if recent.warm(q.Now) {
			warm = append(warm, i)
		}
	}
	if sends >= float64(wantedReuses*(len(warm)+1)) {
		return nil
	}
	return warm
}
