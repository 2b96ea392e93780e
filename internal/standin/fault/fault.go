// Package fault defines the faults that can be injected into the stand-ins, and the
// HTTP handler of /faults, which the stand-ins share.
package fault

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// maxBody limits the size of a fault's JSON, in bytes.
const maxBody = 1 << 16

// Kind names a fault. The Apply method of each stand-in has the kinds that it supports.
type Kind string

// Kinds of faults. On switches a persistent fault on or off; Count sets how many of the next
// calls fail, except for CutStream.
const (
	Crash         Kind = "crash"           // connections break, an engine's state is lost, as after a restart
	Freeze        Kind = "freeze"          // On: the process is suspended, as after SIGSTOP
	Slow          Kind = "slow"            // Factor: multiplies the time per token; Duration: of each call
	FailLoads     Kind = "fail_loads"      // Count: loads that fail partway
	LoseLoads     Kind = "lose_loads"      // Count: loads that take effect though their replies are lost
	StatusLag     Kind = "status_lag"      // Duration: age of the reported status
	CutStream     Kind = "cut_stream"      // Count: tokens after which the next stream breaks
	Refuse        Kind = "refuse"          // On: connections are refused
	FailBeforeRun Kind = "fail_before_run" // Count: calls whose connection breaks before they run
	LoseReplies   Kind = "lose_replies"    // Count: calls that take effect though their replies are lost
	Outage        Kind = "outage"          // On: calls are refused and have no effect
	StaleReads    Kind = "stale_reads"     // On: reads return the state as of switching the fault on
	Lag           Kind = "lag"             // Duration: age of the list that is returned
)

// Fault is a request to inject a fault. Kind determines which other fields are used.
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

// Unknown returns the error of a stand-in that does not support a kind of fault.
func Unknown(k Kind) error { return trace.BadParameter("no such fault here: %q", k) }

// Handler serves POST /faults: it decodes a Fault and passes it to apply. It answers 400 if
// either fails.
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
