package api

import "time"

// PathStatus is the path at which operators get a list of ProcessStatus: the process
// that answers first, then the other processes that it knows.
const PathStatus = "/status"

// ProcessStatus is the state of a process, with the table version in force there.
type ProcessStatus struct {
	ID   string `json:"id"`
	Role string `json:"role"`
	Zone string `json:"zone"`
	// TableVersion is the version in force at the process, 0 if there is none yet.
	TableVersion uint64 `json:"table_version"`
	// AgeSeconds is the time since the table service last answered the process
	// itself; negative if it never did or the time is not known.
	AgeSeconds float64 `json:"age_seconds"`
	// Incarnation is the random number that the process drew at its start.
	Incarnation string `json:"incarnation"`
	// SeenSeconds is the age of this status; 0 for the process that answers.
	SeenSeconds float64 `json:"seen_seconds"`
	Draining    bool    `json:"draining,omitempty"`
}

// UnknownAge is the value of ProcessStatus.AgeSeconds when the age is not known.
const UnknownAge = -1

// AgeSeconds converts an age to the value of ProcessStatus.AgeSeconds.
func AgeSeconds(age time.Duration, known bool) float64 {
	if !known {
		return UnknownAge
	}
	return age.Seconds()
}
