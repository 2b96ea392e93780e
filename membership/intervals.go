package membership

import "time"

// Budgets of one entry's control traffic and the costs that they are shared by;
// docs/CAPACITY.md adds them up.
const (
	// watchBudget is the bytes a second that the reports of an entry's watches may take.
	watchBudget = 3200
	// reportCost is the bytes of one report on the network, both ways, with
	// QUIC's and UDP's part: BenchmarkWatchQUIC.
	reportCost = 320
	// listBudget is the bytes a second that reading the instance list may take.
	listBudget = 2000
	// lineCost is the bytes of one line of the instance list: BenchmarkInstanceList.
	lineCost = 94
	// stepUp is the ratio of one interval to the next shorter one.
	stepUp = 1.25
)

// Early reading of a long list: when so many of the watched agents are suspect,
// the list is read after this part of its interval.
const (
	suspectShare = 1.0 / 8
	earlyShare   = 1.0 / 16
	// listJitter is how far a long interval is shortened or lengthened at random.
	listJitter = 0.25
)

// WatchIntervals spaces the reports of watched agents so that all of them
// together stay within watchBudget. Where an entry watches the whole fleet,
// the configured intervals hold. An agent that leaves or fails reports at once,
// whatever the interval.
func WatchIntervals(shortest, longest time.Duration, watched, agents int) (time.Duration, time.Duration) {
	if watched >= agents {
		return shortest, longest
	}
	affordable := time.Duration(watched*reportCost) * time.Second / watchBudget
	spaced := shortest
	for spaced < affordable { // in steps, so that watches are not opened anew at each change
		spaced = time.Duration(float64(spaced) * stepUp)
	}
	return spaced, max(longest, spaced)
}

// ListInterval spaces the reads of a list of so many lines.
func ListInterval(shortest time.Duration, lines int) time.Duration {
	return max(shortest, time.Duration(lines*lineCost)*time.Second/listBudget)
}

// listDue says whether the list is to be read again, waited after the last
// time. Many suspects ask for it early: they may have been replaced.
func listDue(waited, interval time.Duration, snap *Snapshot) bool {
	if waited >= interval {
		return true
	}
	suspects := 0
	for _, a := range snap.Agents {
		if a.State == StateSuspect {
			suspects++
		}
	}
	many := float64(suspects) > suspectShare*float64(len(snap.Agents))
	return many && waited >= time.Duration(earlyShare*float64(interval))
}
