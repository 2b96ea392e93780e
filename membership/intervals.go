package membership

import "time"

// Bandwidth budgets of one entry's control traffic and the sizes of its messages;
// docs/CAPACITY.md has the totals.
const (
	// watchBudget is the bandwidth for the reports of all watches of an entry, in bytes per second.
	watchBudget = 3200
	// reportBytes is the size of one report on the network in bytes, both directions and
	// with the QUIC and UDP overhead, as measured by BenchmarkWatchQUIC.
	reportBytes = 320
	// listBudget is the bandwidth for reading the instance list, in bytes per second.
	listBudget = 2000
	// listLineBytes is the size of one line of the instance list in bytes, as measured by
	// BenchmarkInstanceList.
	listLineBytes = 94
	// intervalStep is the factor between one report interval and the next longer one.
	intervalStep = 1.25
)

// A long list is read early when more than suspectShare of the watched agents are suspect:
// after earlyShare of its interval.
const (
	suspectShare = 1.0 / 8
	earlyShare   = 1.0 / 16
	// listJitter is the share of a long interval by which it is shortened or lengthened at random.
	listJitter = 0.25
)

// WatchIntervals returns the shortest and the longest interval between two reports of a
// watched agent, such that the reports of all watched agents together stay within
// watchBudget. If an entry watches the whole fleet, the configured intervals apply. An agent
// that drains or fails reports at once, whatever the interval.
func WatchIntervals(shortest, longest time.Duration, watched, agents int) (time.Duration, time.Duration) {
	if watched >= agents {
		return shortest, longest
	}
	affordable := time.Duration(watched*reportBytes) * time.Second / watchBudget
	spaced := shortest
	for spaced < affordable { // in steps, so that small changes of the fleet don't reopen all watches
		spaced = time.Duration(float64(spaced) * intervalStep)
	}
	return spaced, max(longest, spaced)
}

// ListInterval returns the interval between two reads of an instance list with the given
// number of lines, within listBudget and no shorter than shortest.
func ListInterval(shortest time.Duration, lines int) time.Duration {
	return max(shortest, time.Duration(lines*listLineBytes)*time.Second/listBudget)
}

// listDue returns whether the list must be read again. waited is the time since the last read.
// The list is read early if many agents are suspect, since they may have been replaced.
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
