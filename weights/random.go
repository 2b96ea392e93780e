package weights

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// random is a seeded random source that is safe for concurrent use.
type random struct {
	mu sync.Mutex
	r  *rand.Rand
}

// newRandom returns a source with that seed; 0 draws a seed.
func newRandom(seed, stream uint64) *random {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &random{r: rand.New(rand.NewPCG(seed, stream))}
}

// jitter returns a random duration between three quarters and five quarters of d.
func (r *random) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(d) * (0.75 + r.r.Float64()/2))
}

// draw returns up to count distinct random numbers below n.
func (r *random) draw(n, count int) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n <= count {
		return r.r.Perm(n)
	}
	var drawn []int
	for len(drawn) < count {
		if i := r.r.IntN(n); !slices.Contains(drawn, i) {
			drawn = append(drawn, i)
		}
	}
	return drawn
}
