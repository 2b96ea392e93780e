// Package fault is the switchboard that the stand-ins share: a fault by name
// with its size, as posted to /faults.
package fault

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// maxBody bounds a fault's JSON, in bytes.
const maxBody = 1 << 16

// Kind names a fault. Which of them a stand-in knows is said there.
type Kind string

// Faults. On switches a lasting fault on or off; Count arms a fault for the next calls.
const (
	Crash         Kind = "crash"           // state and connections are lost, as after a restart
	Freeze        Kind = "freeze"          // On: nothing moves, as after SIGSTOP
	Slow          Kind = "slow"            // Factor or Duration: slower than usual
	FailLoads     Kind = "fail_loads"      // Count: loads that fail partway
	LoseLoads     Kind = "lose_loads"      // Count: replies of loads that are lost
	StatusLag     Kind = "status_lag"      // Duration: age of the status told
	CutStream     Kind = "cut_stream"      // Count: tokens after which the next stream breaks
	Refuse        Kind = "refuse"          // On: connections are refused
	FailBeforeRun Kind = "fail_before_run" // Count: calls that break before they run
	LoseReplies   Kind = "lose_replies"    // Count: replies that are lost after the effect
	Outage        Kind = "outage"          // On: calls are refused without effect
	StaleReads    Kind = "stale_reads"     // On: reads see the state of this moment
	Lag           Kind = "lag"             // Duration: age of a list
)

// Fault is one order to misbehave.
type Fault struct {
	Kind     Kind     `json:"kind"`
	On       bool     `json:"on,omitempty"`
	Count    int      `json:"count,omitempty"`
	Factor   float64  `json:"factor,omitempty"`
	Duration Duration `json:"duration,omitempty"`
}

// Duration is a time.Duration written as "1.5s" in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Unknown is the error of a stand-in that does not have the fault.
func Unknown(k Kind) error { return trace.BadParameter("no such fault here: %q", k) }

// Handler serves POST /faults: it decodes a Fault and applies it.
func Handler(apply func(Fault) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := apply(f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
