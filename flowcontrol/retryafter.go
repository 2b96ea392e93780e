package flowcontrol

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the least time after which a refused client returns.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryShare is the share of its time left that a client honours as a Retry-After.
	maxRetryShare = 1.0 / 3
)

// Returns assigns refused clients the times at which they should return, so that they find
// capacity and do not all come at once. It has no clock. It is not safe for concurrent use.
type Returns struct {
	// next is the time from which the capacity is not assigned to a returning client.
	next time.Time
	// spread is the position of the last client that found no capacity within its time, in shares
	// of the range that it has.
	spread float64
}

// After returns the Retry-After of a client that has some time left; rate is the number of waiting
// requests a second that the queue can serve.
func (r *Returns) After(now time.Time, left time.Duration, rate float64) time.Duration {
	latest := max(minRetryAfter, time.Duration(maxRetryShare*float64(left)))
	at := r.next
	if earliest := now.Add(minRetryAfter); at.Before(earliest) {
		at = earliest
	}
	if wait := at.Sub(now); wait <= latest && rate > 0 {
		r.next = at.Add(time.Duration(float64(time.Second) / rate))
		return wait
	}
	// Multiples of the golden ratio are spread evenly, however many there are.
	_, r.spread = math.Modf(r.spread + math.Phi)
	return minRetryAfter + time.Duration(r.spread*float64(latest-minRetryAfter))
}
