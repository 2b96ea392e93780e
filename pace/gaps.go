package pace

import (
	"slices"
	"time"
)

const (
	// gapPeriod is the period over which the gaps between events are averaged: that of some 50
	// events of an engine with 8 running items, and a twelfth of the window.
	gapPeriod = 250 * time.Millisecond
	// minGaps is the number of gaps from which on their mean is used.
	minGaps = 5
	// ratiosKept is the number of ratios of gap and reported pace whose median is used, and
	// minRatios the number from which on it is.
	ratiosKept = 15
	minRatios  = 3
)

// gapMeter derives paces from the gaps between events. The gap at a pace of 1 is learned from the
// periods in which the engine also reported its pace.
type gapMeter struct {
	begin    time.Time
	sum      time.Duration
	n        int
	reported []int
	ratios   []float64 // mean gap in seconds, divided by the reported pace
}

// report records a reported pace.
func (g *gapMeter) report(pace int) { g.reported = append(g.reported, pace) }

// add records a gap. It returns a pace once in each period that has none reported.
func (g *gapMeter) add(now time.Time, gap time.Duration) (float64, bool) {
	g.sum += gap
	g.n++
	if now.Sub(g.begin) < gapPeriod {
		return 0, false
	}
	mean, n, reported := g.sum.Seconds()/float64(g.n), g.n, g.reported
	g.begin, g.sum, g.n, g.reported = now, 0, 0, nil
	if n < minGaps {
		return 0, false
	}
	if len(reported) > 0 {
		g.calibrate(mean, reported)
		return 0, false
	}
	if len(g.ratios) < minRatios {
		return 0, false
	}
	return mean / median(g.ratios), true
}

// calibrate records the ratio of a period's mean gap to the paces reported in it.
func (g *gapMeter) calibrate(mean float64, reported []int) {
	sum := 0
	for _, p := range reported {
		sum += p
	}
	ratio := mean * float64(len(reported)) / float64(sum)
	if ratio <= 0 {
		return
	}
	g.ratios = append(g.ratios, ratio)
	g.ratios = slices.Clone(g.ratios[max(0, len(g.ratios)-ratiosKept):])
}

// median returns the middle one of the values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
