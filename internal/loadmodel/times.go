package loadmodel

import (
	"slices"
	"time"
)

// Times are durations of requests, in order.
type Times []time.Duration

func (t Times) sort() { slices.Sort(t) }

// Quantile is the duration that a share q of the requests did not exceed.
func (t Times) Quantile(q float64) time.Duration {
	if len(t) == 0 {
		return 0
	}
	return t[min(len(t)-1, int(q*float64(len(t))))]
}

// Over is the share of the requests that took longer than limit.
func (t Times) Over(limit time.Duration) float64 {
	if len(t) == 0 {
		return 0
	}
	at, _ := slices.BinarySearch(t, limit+1)
	return float64(len(t)-at) / float64(len(t))
}

// Jain is the fairness index of what senders got: 1 if all got alike, 1/n if
// one got all.
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
