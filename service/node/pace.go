package node

import (
	"time"

	"mulberryscale.example/pace"
	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/store"
)

// Bandwidth budgets of a process for following each table, in bytes per second.
// Together they are below the 13,000 that a node may use for control traffic; the
// rest is for calls between agents.
const (
	instancesBudget = 6000
	operatorBudget  = 2500
	jobsBudget      = 2500
	// enginePacesBudget is that of entries, which call no agents but to reach the store.
	enginePacesBudget = 2000
)

const (
	// pauseDivisor divides a time limit to get the pause between two reads: a third is for
	// the pause, a third for a slow response of the store, and a third for acting on it.
	pauseDivisor = 3
	// defaultMaxPause is used if the settings set no time limit.
	defaultMaxPause = time.Second
	// agentJobsPause bounds the delay with which an agent learns that a job was added or
	// has ended, while jobs arrive faster than its budget allows to read at once: a
	// twentieth of the 7.5 s of a step, and a tenth of the three seconds in which the
	// end of a job must reach agents.
	agentJobsPause = 300 * time.Millisecond
	// entryJobsPause is how stale an entry's list of jobs may be: the entry assigns engines
	// by the mean of a model's last eight jobs, which arrive seconds apart.
	entryJobsPause = 2 * time.Second
)

// maxPause returns the longest pause between two reads of a feed whose changes must
// take effect within the given time limit.
func maxPause(bound time.Duration) time.Duration {
	if bound <= 0 {
		return defaultMaxPause
	}
	return bound / pauseDivisor
}

// instancesPace returns the pace for the list of instances: within the platform's time
// limit, an instance that leaves must get no new requests.
func instancesPace(s *nodefile.Settings) store.Pace {
	return store.Pace{BytesPerSecond: instancesBudget, MaxPause: maxPause(s.DrainTime)}
}

// operatorPace returns the pace for configurations, which hold the API keys, and for
// named weight versions.
func operatorPace(s *nodefile.Settings) store.Pace {
	bound := s.ConfigTime
	if s.RevokeTime > 0 {
		bound = min(bound, s.RevokeTime)
	}
	return store.Pace{BytesPerSecond: operatorBudget, MaxPause: maxPause(bound)}
}

// jobsBurst is how much unused budget is saved for a burst: that of one period of the
// trainers, 4 s, less a second. The jobs of three trainers, 2 kB each, are then read as
// they arrive. Without it, of steps that begin together, each would delay the next one
// by 0.2 to 0.3 s.
const jobsBurst = 3 * time.Second

// agentJobsPace returns the pace at which an agent follows the jobs.
func agentJobsPace() store.Pace {
	return store.Pace{BytesPerSecond: jobsBudget, MaxPause: agentJobsPause, Burst: jobsBurst}
}

// entryJobsPace returns the pace at which an entry follows the jobs.
func entryJobsPace() store.Pace {
	return store.Pace{BytesPerSecond: jobsBudget, MinPause: entryJobsPause, MaxPause: entryJobsPause}
}

const (
	// enginePacesPause is the pause of an entry between two reads of the engines' paces, which
	// are averages over 3 s, and enginePacesWait how long the store may hold a call.
	enginePacesPause = 3 * time.Second
	enginePacesWait  = 10 * time.Second
)

// enginePacesSource returns the table of the engines' paces and the rate at which an entry reads it.
func enginePacesSource() store.Source {
	limit := store.Pace{BytesPerSecond: enginePacesBudget, MinPause: enginePacesPause, MaxPause: enginePacesPause}
	return store.Source{Table: pace.TablePaces, Pace: limit, Wait: enginePacesWait}
}
