package loadmodel

import (
	"maps"
	"slices"
	"time"

	"mulberryscale.example/background"
	"mulberryscale.example/fleet"
)

// shortDesk has bursts of background calls and interactive requests on a few
// endpoints: a batch of items whose texts are complete within a second of each
// other, each scored by a call of 200 ms, and lookups of 25 ms.
func shortDesk() Pattern {
	return Pattern{
		Name: "short-desk", Endpoints: 4, Slots: 6, NetworkDelay: time.Millisecond, Length: 60 * time.Second,
		Interactive: Traffic{Senders: 8, PerSecond: 6, ServiceTime: ServiceTime{Mean: 25 * time.Millisecond, Sigma: 0.5, TailShare: 0.01, TailFactor: 5}},
		Background: Traffic{
			Senders: 9, Burst: 112, BurstInterval: 4 * time.Second, BurstSpread: 400 * time.Millisecond,
			ServiceTime: ServiceTime{Mean: 200 * time.Millisecond, Sigma: 0.5, TailShare: 0.01, TailFactor: 5},
		},
	}
}

// manySenders is shortDesk at a larger size.
func manySenders() Pattern {
	p := shortDesk()
	p.Name, p.Endpoints = "many-senders", 15
	p.Interactive.Senders, p.Interactive.PerSecond = 41, 14
	p.Background.Senders, p.Background.Burst = 36, 416
	return p
}

// fewSenders has bursts from few of many senders: the items of a step all run on
// the engines whose weights are new enough.
func fewSenders() Pattern {
	p := manySenders()
	p.Name = "few-senders"
	p.Background.Burst, p.Background.BurstInterval, p.Background.ActiveSenders = 104, time.Second, 4
	return p
}

// saturated has continuous background calls at three times the endpoints' capacity.
func saturated() Pattern {
	p := shortDesk()
	p.Name = "saturated"
	p.Background.Burst, p.Background.BurstInterval, p.Background.BurstSpread = 1440, 4*time.Second, 4*time.Second
	return p
}

// slowEndpoint is shortDesk with one endpoint that takes five times as long.
func slowEndpoint() Pattern {
	p := shortDesk()
	p.Name, p.SlowEndpoints, p.SlowFactor = "slow-endpoint", 1, 5
	return p
}

// Patterns returns the patterns by name.
func Patterns() map[string]Pattern {
	all := map[string]Pattern{}
	for _, p := range []Pattern{shortDesk(), manySenders(), fewSenders(), saturated(), slowEndpoint()} {
		all[p.Name] = p
	}
	return all
}

// WithoutBackground returns a pattern without its background calls.
func WithoutBackground(p Pattern) Pattern {
	p.Background.Burst, p.Background.PerSecond = 0, 0
	return p
}

// Policies returns, by name, the functions that make a sender's limiter for a pattern.
func Policies() map[string]func(Pattern) Limiter {
	return map[string]func(Pattern) Limiter{
		"none": func(Pattern) Limiter { return fixedLimit(1 << 20) },
		"one":  func(Pattern) Limiter { return fixedLimit(1) },
		"two":  func(Pattern) Limiter { return fixedLimit(2) },
		"window": func(p Pattern) Limiter {
			return &windowLimit{capacity: background.ServiceCapacity{Slots: p.Endpoints * p.Slots, Senders: p.Background.Senders}}
		},
	}
}

// Names returns the keys of a map, sorted.
func Names[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// fixedLimit is a constant limit.
type fixedLimit int

func (f fixedLimit) Size(int, time.Time) int           { return int(f) }
func (f fixedLimit) ObserveLoad(fleet.Load, time.Time) {}
func (f fixedLimit) CallDone(int, time.Time)           {}

// windowLimit is the adaptive limit that the programs use.
type windowLimit struct {
	background.Window
	capacity background.ServiceCapacity
}

func (w *windowLimit) Size(open int, now time.Time) int { return w.Window.Size(w.capacity, open, now) }
