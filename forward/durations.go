package forward

import (
	"sync"
	"time"
)

// durationPeriod is the length of a period of durations.
const durationPeriod = time.Minute

// durations holds the longest time that answers on each route took in the current period and in
// the one before. It is safe for concurrent use.
type durations struct {
	mu       sync.Mutex
	began    time.Time // of the current period
	current  map[string]time.Duration
	previous map[string]time.Duration
}

func newDurations(now time.Time) *durations {
	return &durations{began: now, current: map[string]time.Duration{}, previous: map[string]time.Duration{}}
}

// observe records how long an answer took.
func (d *durations) observe(route string, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.began) > durationPeriod {
		d.began, d.previous, d.current = now, d.current, map[string]time.Duration{}
	}
	d.current[route] = max(d.current[route], took)
}

// longest returns the longest time that an answer on a route took recently; 0 if none is known.
func (d *durations) longest(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.current[route], d.previous[route])
}

// observeDuration records how long the answer took.
func (c *call) observeDuration() {
	now := time.Now()
	c.durations.observe(c.request.Route.Name, now.Sub(c.arrived), now)
}
