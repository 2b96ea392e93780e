package forward

import (
	"testing"
	"time"
)

// TestAgeOfReturningClients guards against clients that return after a refusal and take the place of
// newcomers which can still be answered in time.
func TestAgeOfReturningClients(t *testing.T) {
	p, now := newAgeEstimator(), time.Now()
	key := clientKind{"guthi", "route"}
	for _, c := range []struct {
		key             clientKind
		left, want, gap time.Duration
	}{
		{key, 1500 * time.Millisecond, 0, 0},
		{key, 1200 * time.Millisecond, 300 * time.Millisecond, 0},
		{clientKind{"trust", "route"}, 500 * time.Millisecond, 0, 0}, // another client, less patient
		{key, 1500 * time.Millisecond, 0, 0},
		{key, 1400 * time.Millisecond, 100 * time.Millisecond, ageMemory},
		{key, 1000 * time.Millisecond, 400 * time.Millisecond, ageMemory}, // the longest is forgotten
	} {
		now = now.Add(c.gap)
		if got := p.age(c.key, c.left, now); got != c.want {
			t.Errorf("%v with %s left first asked %s ago, want %s", c.key, c.left, got, c.want)
		}
	}
}
