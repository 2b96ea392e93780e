package loadmodel

import (
	"slices"
	"time"
)

// Times are the durations of requests, sorted.
type Times []time.Duration

func (t Times) sort() { slices.Sort(t) }

// Quantile returns the duration that a share q of the requests did not exceed, 0
// without requests.
func (t Times) Quantile(q float64) time.Duration {
	if len(t) == 0 {
		return 0
	}
	return t[min(len(t)-1, int(q*float64(len(t))))]
}

// Over returns the share of the requests that took longer than limit.
func (t Times) Over(limit time.Duration) float64 {
	if len(t) == 0 {
		return 0
	}
	at, _ := slices.BinarySearch(t, limit+1)
	return float64(len(t)-at) / float64(len(t))
}

// Jain returns Jain's fairness index of the senders' allocations: 1 if all are
// equal, 1/n if one sender has everything.
func Jain(got []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range got {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(got)) * squares)
}
