package node

import (
	"time"

	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/store"
)

// What a process may spend on hearing of each table, in bytes a second: together
// less than the 13,000 that a node may spend on control. What is left is for
// calls between agents.
const (
	instancesBudget = 6000
	operatorBudget  = 2500
	jobsBudget      = 2500
)

const (
	// ageShare is the share of a bound that a pause may use: as much again is for
	// a slow answer of the store, and as much for what follows from it.
	ageShare = 3
	// maxAge holds where the settings name no bound.
	maxAge = time.Second
	// jobsAge bounds how late an agent hears of a job or of its end while more
	// jobs come than it may hear of at once: a twentieth of the 7.5 s of a step,
	// and a tenth of the three seconds in which an end must have reached agents.
	jobsAge = 300 * time.Millisecond
	// demandAge is how old an entry's idea of the jobs may be: it deals by the mean
	// of a model's last eight jobs, which come seconds apart.
	demandAge = 2 * time.Second
)

// within is the share of a bound that a pause may use.
func within(bound time.Duration) time.Duration {
	if bound <= 0 {
		return maxAge
	}
	return bound / ageShare
}

// instancesPace is how the list of instances is followed: one that leaves must
// get nothing new within the platform's bound.
func instancesPace(s *nodefile.Settings) store.Pace {
	return store.Pace{BytesPerSecond: instancesBudget, MaxPause: within(s.DrainTime)}
}

// operatorPace is how configurations, which hold the API keys, and named versions
// are followed.
func operatorPace(s *nodefile.Settings) store.Pace {
	bound := s.ConfigTime
	if s.RevokeTime > 0 {
		bound = min(bound, s.RevokeTime)
	}
	return store.Pace{BytesPerSecond: operatorBudget, MaxPause: within(bound)}
}

// jobsSavings keeps the budget of one period of the trainers, 4 s, less a second:
// the jobs of three trainers, 2 kB each, are heard of as they come, and steps that
// begin together do not wait for each other's news, 0.2 to 0.3 s each.
const jobsSavings = 3 * time.Second

// agentJobsPace is how an agent follows the jobs.
func agentJobsPace() store.Pace {
	return store.Pace{BytesPerSecond: jobsBudget, MaxPause: jobsAge, Burst: jobsSavings}
}

// entryJobsPace is how an entry follows the jobs.
func entryJobsPace() store.Pace {
	return store.Pace{BytesPerSecond: jobsBudget, MinPause: demandAge, MaxPause: demandAge}
}
