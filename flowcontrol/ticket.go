package flowcontrol

import (
	"errors"
	"time"
)

// Defaults of Config.
const (
	DefaultMaxWaiting = 4096
	DefaultMaxBytes   = 16 << 20
)

// Config holds the bounds of a gate; the zero value of a field means its default.
type Config struct {
	// MaxWaiting bounds the requests that wait, MaxBytes the memory that they hold.
	MaxWaiting int
	MaxBytes   int
	// MaxWait bounds the time that a request waits; 0 means until its deadline.
	MaxWait time.Duration
}

func (c Config) withDefaults() Config {
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	return c
}

// Ticket describes a request that asks for admission.
type Ticket struct {
	Organisation string
	Rank         int       // 0 is the highest
	Arrived      time.Time // when the request arrived; zero for now
	Objective    time.Time // an answer has its full value until then; zero for no objective
	Deadline     time.Time // nobody waits for the answer after this time; zero for never
	Bytes        int       // memory held while the request waits
}

// Reasons of refusals.
const (
	// ReasonQueueFull is for requests that exceed a bound of the queue.
	ReasonQueueFull = "queue_full"
	// ReasonNoTime is for requests that cannot be served in the time that they have left.
	ReasonNoTime = "no_time"
	// ReasonExpired is for requests whose deadline or longest wait has passed.
	ReasonExpired = "expired"
)

// Refused is the error that Enter returns for a request that is not admitted. The request never ran.
type Refused struct {
	Reason string
	// RetryAfter is how long the client should wait before it asks again.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refused) Error() string { return "flowcontrol: refused: " + r.Reason }

// ErrNoEndpoint is returned by Enter if candidates returns no endpoint.
var ErrNoEndpoint = errors.New("flowcontrol: no endpoint")
