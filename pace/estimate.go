// Package pace estimates how fast engines work and tells the other processes of the fleet.
//
// A pace is the time that an engine takes for its work, in hundredths of the usual time: 100 is
// usual, a higher value is slower. Engines report it with the answer to each run. The estimate
// and the row format are pure; Writer and Table connect them to the store.
package pace

import (
	"cmp"
	"slices"
	"time"
)

// Usual is the pace that is assumed of an engine whose pace is unknown.
const Usual = 100

const (
	// window is the held time over which the median is taken. Slow periods of up to a second are
	// a third of it and do not move the median; a lasting change moves it once it has filled half
	// of the window. A mean with a time constant of 3 s would be moved by 42 in 100 by one second
	// at 2.5 times the pace.
	window = 3 * time.Second
	// maxHold bounds how much time one sample represents, so that a single sample from a slow
	// period does not determine the estimate of an engine that reports rarely.
	maxHold = 500 * time.Millisecond
	// minHold is the time that a sample represents at least. Reports that arrive together, as at
	// the begin of a step, would otherwise have no weight.
	minHold = time.Millisecond
	// maxSamples bounds the memory of an estimate; the oldest samples are dropped first.
	maxSamples = 256
)

// sample is a pace and the time for which it was the newest one.
type sample struct {
	at   time.Time
	pace float64
	held time.Duration
}

// Estimate is the pace of one engine: the median of the observed paces, weighted by the time for
// which each was the newest. The zero value is an estimate without observations. It is not safe
// for concurrent use.
type Estimate struct {
	samples []sample
	gaps    gapMeter
}

// Observe records a pace that the engine reported; 0 means that it reported none.
func (e *Estimate) Observe(now time.Time, reported int) {
	if reported <= 0 {
		return
	}
	e.gaps.report(reported)
	e.add(now, float64(reported))
}

// ObserveGap records the time between two events of a run. Runs last for seconds and their pace
// is reported only at the start, so that the events show what happens in between.
func (e *Estimate) ObserveGap(now time.Time, gap time.Duration) {
	if len(e.samples) == 0 {
		return // the engine reports no pace
	}
	if derived, ok := e.gaps.add(now, gap); ok {
		e.add(now, derived)
	}
}

func (e *Estimate) add(now time.Time, pace float64) {
	if n := len(e.samples); n > 0 {
		e.samples[n-1].held = e.samples[n-1].heldAt(now)
	}
	e.samples = append(e.samples, sample{at: now, pace: pace})
	e.prune()
}

// prune drops the samples before the window.
func (e *Estimate) prune() {
	held := time.Duration(0)
	for i := len(e.samples) - 1; i >= 0; i-- {
		held += e.samples[i].held
		if held >= window || len(e.samples)-i >= maxSamples {
			e.samples = slices.Clone(e.samples[i:])
			return
		}
	}
}

// heldAt returns how long a sample has been the newest one.
func (s *sample) heldAt(now time.Time) time.Duration {
	return min(max(now.Sub(s.at), minHold), maxHold)
}

// Known reports whether the engine has reported a pace.
func (e *Estimate) Known() bool { return len(e.samples) > 0 }

// Pace returns the estimate; 0 if no pace was reported.
func (e *Estimate) Pace(now time.Time) int { return int(e.quantile(now, 0.5) + 0.5) }

// Spread returns the difference between the quartiles of the observed paces.
func (e *Estimate) Spread(now time.Time) int {
	return int(e.quantile(now, 0.75) - e.quantile(now, 0.25) + 0.5)
}

// Age returns the time since the newest observation; it is meaningless unless Known.
func (e *Estimate) Age(now time.Time) time.Duration {
	if !e.Known() {
		return 0
	}
	return now.Sub(e.samples[len(e.samples)-1].at)
}

// quantile returns the pace below which the engine was for a share of the window.
func (e *Estimate) quantile(now time.Time, share float64) float64 {
	if !e.Known() {
		return 0
	}
	sorted := slices.Clone(e.samples)
	sorted[len(sorted)-1].held = sorted[len(sorted)-1].heldAt(now)
	slices.SortStableFunc(sorted, func(a, b sample) int { return cmp.Compare(a.pace, b.pace) })
	total := time.Duration(0)
	for _, s := range sorted {
		total += s.held
	}
	below := time.Duration(0)
	for _, s := range sorted {
		below += s.held
		if float64(below) >= share*float64(total) {
			return s.pace
		}
	}
	return sorted[len(sorted)-1].pace
}
