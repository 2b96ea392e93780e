package api

import "time"

// PathStatus answers operators with a list of ProcessStatus: the process asked
// first, then the processes that it knows.
const PathStatus = "/status"

// ProcessStatus says which table version is in force at a process.
type ProcessStatus struct {
	ID   string `json:"id"`
	Role string `json:"role"`
	Zone string `json:"zone"`
	// TableVersion is the version in force there, 0 before the first.
	TableVersion uint64 `json:"table_version"`
	// AgeSeconds is how long ago the table service last answered the process
	// itself; negative when it never did, or where that is not known.
	AgeSeconds float64 `json:"age_seconds"`
	// Incarnation is the random number that the process drew at its start.
	Incarnation string `json:"incarnation"`
	// SeenSeconds is how old this knowledge is; 0 from the process itself.
	SeenSeconds float64 `json:"seen_seconds"`
	Draining    bool    `json:"draining,omitempty"`
}

// UnknownAge is AgeSeconds where no age is known.
const UnknownAge = -1

// AgeSeconds gives an age as ProcessStatus holds it.
func AgeSeconds(age time.Duration, known bool) float64 {
	if !known {
		return UnknownAge
	}
	return age.Seconds()
}
