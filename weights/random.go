package weights

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// random is a seeded source that goroutines share.
type random struct {
	mu sync.Mutex
	r  *rand.Rand
}

// newRandom returns a source with that seed; 0 draws one.
func newRandom(seed, stream uint64) *random {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &random{r: rand.New(rand.NewPCG(seed, stream))}
}

// jitter spreads a duration over three to five quarters of itself.
func (r *random) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(d) * (0.75 + r.r.Float64()/2))
}

// draw returns up to count different numbers below n.
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
