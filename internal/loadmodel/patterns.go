package loadmodel

import (
	"maps"
	"slices"
	"time"

	"mulberryscale.example/background"
	"mulberryscale.example/fleet"
)

// shortDesk is bursts of background calls beside interactive requests on a few
// endpoints: a batch of items whose texts end within a second of each other,
// each scored by a call of 200 ms, beside lookups of 25 ms.
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

// manySenders is the same at a larger size.
func manySenders() Pattern {
	p := shortDesk()
	p.Name, p.Endpoints = "many-senders", 15
	p.Interactive.Senders, p.Interactive.PerSecond = 41, 14
	p.Background.Senders, p.Background.Burst = 36, 416
	return p
}

// fewSenders is bursts that few of many senders have: the items of a step all
// run on the engines whose weights are new enough.
func fewSenders() Pattern {
	p := manySenders()
	p.Name = "few-senders"
	p.Background.Burst, p.Background.BurstInterval, p.Background.ActiveSenders = 104, time.Second, 4
	return p
}

// saturated is background calls without end, three times what the endpoints can do.
func saturated() Pattern {
	p := shortDesk()
	p.Name = "saturated"
	p.Background.Burst, p.Background.BurstInterval, p.Background.BurstSpread = 1440, 4*time.Second, 4*time.Second
	return p
}

// slowEndpoint is the short desk with one endpoint five times as slow.
func slowEndpoint() Pattern {
	p := shortDesk()
	p.Name, p.SlowEndpoints, p.SlowFactor = "slow-endpoint", 1, 5
	return p
}

// Patterns are the loads by name.
func Patterns() map[string]Pattern {
	all := map[string]Pattern{}
	for _, p := range []Pattern{shortDesk(), manySenders(), fewSenders(), saturated(), slowEndpoint()} {
		all[p.Name] = p
	}
	return all
}

// WithoutBackground is a pattern's interactive traffic without its background calls.
func WithoutBackground(p Pattern) Pattern {
	p.Background.Burst, p.Background.PerSecond = 0, 0
	return p
}

// Policies are the bounds on a sender's open background calls, by name.
func Policies() map[string]func(Pattern) Limiter {
	return map[string]func(Pattern) Limiter{
		"none": func(Pattern) Limiter { return fixed(1 << 20) },
		"one":  func(Pattern) Limiter { return fixed(1) },
		"two":  func(Pattern) Limiter { return fixed(2) },
		"window": func(p Pattern) Limiter {
			return &window{share: background.ServiceCapacity{Slots: p.Endpoints * p.Slots, Senders: p.Background.Senders}}
		},
	}
}

// Names are the keys of a map in order.
func Names[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// fixed is a bound that follows nothing.
type fixed int

func (f fixed) Size(int, time.Time) int           { return int(f) }
func (f fixed) ObserveLoad(fleet.Load, time.Time) {}
func (f fixed) CallDone(int, time.Time)           {}

// window is the bound that the programs use.
type window struct {
	background.Window
	share background.ServiceCapacity
}

func (w *window) Size(open int, now time.Time) int { return w.Window.Size(w.share, open, now) }
