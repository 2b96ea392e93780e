package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// NotRun says whether a refused request is known not to have run.
type NotRun string

// Values of NotRun.
const (
	// NotRunTrue is used only when it is proven that no back end started the request.
	NotRunTrue NotRun = "true"
	// NotRunFalse means that the request ran, wholly or in part.
	NotRunFalse NotRun = "false"
	// NotRunUnknown means that the request may or may not have run.
	NotRunUnknown NotRun = "unknown"
)

// MarshalJSON writes true and false as JSON booleans and unknown as a string.
func (n NotRun) MarshalJSON() ([]byte, error) {
	switch n {
	case NotRunTrue, NotRunFalse:
		return []byte(n), nil
	case NotRunUnknown:
		return json.Marshal(string(n))
	}
	return nil, fmt.Errorf("not_run: no such value %q", string(n))
}

// UnmarshalJSON reads what MarshalJSON writes.
func (n *NotRun) UnmarshalJSON(b []byte) error {
	switch string(b) {
	case "true", "false":
		*n = NotRun(b)
		return nil
	case `"unknown"`:
		*n = NotRunUnknown
		return nil
	}
	return fmt.Errorf("not_run: want true, false or \"unknown\", got %s", b)
}

// Code is the reason of a refusal. Each code has one counter.
type Code string

// Refusal reasons.
const (
	CodeBadRequest       Code = "bad_request"       // the request itself is wrong
	CodeUnauthorized     Code = "unauthorized"      // the token is missing or wrong
	CodeUnknownRow       Code = "unknown_row"       // no row of the table has this name
	CodeTooLarge         Code = "too_large"         // a body, header or stream over its bound
	CodeQueueFull        Code = "queue_full"        // the row's queue is at its bound
	CodeRateLimited      Code = "rate_limited"      // the row's request or token rate is used up
	CodeConcurrency      Code = "concurrency_limit" // the row's concurrency limit is reached
	CodeNoEndpoint       Code = "no_endpoint"       // no ready endpoint serves the row
	CodeDraining         Code = "draining"          // the process is stopping
	CodeDeadline         Code = "deadline_exceeded" // the deadline was not met, or cannot be met
	CodeStale            Code = "stale_weights"     // no endpoint has weights within the staleness bound
	CodeClaimStoreDown   Code = "claim_unavailable" // the table service cannot record the claim
	CodeDuplicate        Code = "duplicate_request" // the key was used before, and its answer is gone
	CodeOutcomeUnknown   Code = "outcome_unknown"   // the request was sent, but its answer was lost
	CodeEndpointFailed   Code = "endpoint_failed"   // the endpoint failed during the run
	CodeQuarantined      Code = "held"              // endpoints crashed under requests with this content
	CodeWrongIncarnation Code = "wrong_incarnation" // the agent restarted since the claim
	CodeFenced           Code = "fenced"            // a newer attempt or order took over
	CodeCancelled        Code = "cancelled"         // the caller disconnected or cancelled the request
	CodeRetryBudget      Code = "retry_budget"      // a further retry would exceed the retry budget
	CodeNoTable          Code = "no_table"          // no table version is known yet
	CodeScorerFailed     Code = "scorer_failed"     // the scoring service failed
	CodePreempted        Code = "preempted"         // a sample was preempted by an interactive request
	CodeTransport        Code = "transport"         // a connection between our processes failed
	CodeInternal         Code = "internal"          // an internal error
)

// Refusal is the typed error that callers, trainers and the system's own processes get.
type Refusal struct {
	Code    Code   `json:"code" cbor:"1,keyasint"`
	Message string `json:"message" cbor:"2,keyasint"`
	// NotRun is true only when it is proven that the request did not run.
	NotRun NotRun `json:"not_run" cbor:"3,keyasint"`
	// RetryAfter is the time to wait before a retry; zero means that a retry cannot help.
	RetryAfter time.Duration `json:"-" cbor:"4,keyasint"`
	// Step names the processing step at which the error occurred, such as "entry.admit".
	Step string `json:"step" cbor:"5,keyasint"`
	// Peer is the id of the process at which the error occurred.
	Peer string `json:"peer" cbor:"6,keyasint"`
	// EndpointCrashed is true when the endpoint crashed while it ran the request.
	EndpointCrashed bool `json:"endpoint_ended,omitempty" cbor:"7,keyasint,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (step %s, peer %s, not_run %s)", r.Code, r.Message, r.Step, r.Peer, r.NotRun)
}

type refusalJSON struct {
	refusalAlias
	RetryAfterSeconds float64 `json:"retry_after"`
}

type refusalAlias Refusal

// MarshalJSON adds retry_after in seconds.
func (r *Refusal) MarshalJSON() ([]byte, error) {
	return json.Marshal(refusalJSON{refusalAlias(*r), r.RetryAfter.Seconds()})
}

// UnmarshalJSON reads what MarshalJSON writes.
func (r *Refusal) UnmarshalJSON(b []byte) error {
	var j refusalJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return err
	}
	*r = Refusal(j.refusalAlias)
	r.RetryAfter = time.Duration(j.RetryAfterSeconds * float64(time.Second))
	return nil
}

// ErrorBody is the body of every refused HTTP call: {"error": {...}}.
type ErrorBody struct {
	Error *Refusal `json:"error"`
}

var statusByCode = map[Code]int{
	CodeBadRequest:       http.StatusBadRequest,
	CodeUnauthorized:     http.StatusUnauthorized,
	CodeUnknownRow:       http.StatusNotFound,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeQueueFull:        http.StatusTooManyRequests,
	CodeRateLimited:      http.StatusTooManyRequests,
	CodeConcurrency:      http.StatusTooManyRequests,
	CodeNoEndpoint:       http.StatusServiceUnavailable,
	CodeDraining:         http.StatusServiceUnavailable,
	CodeDeadline:         http.StatusGatewayTimeout,
	CodeStale:            http.StatusUnprocessableEntity,
	CodeClaimStoreDown:   http.StatusServiceUnavailable,
	CodeDuplicate:        http.StatusConflict,
	CodeOutcomeUnknown:   http.StatusBadGateway,
	CodeEndpointFailed:   http.StatusBadGateway,
	CodeQuarantined:      http.StatusServiceUnavailable,
	CodeWrongIncarnation: http.StatusBadGateway,
	CodeFenced:           http.StatusConflict,
	CodeCancelled:        499,
	CodeRetryBudget:      http.StatusServiceUnavailable,
	CodeNoTable:          http.StatusServiceUnavailable,
	CodeScorerFailed:     http.StatusBadGateway,
	CodePreempted:        http.StatusServiceUnavailable,
	CodeTransport:        http.StatusBadGateway,
	CodeInternal:         http.StatusInternalServerError,
}

// Status returns the HTTP status code of the refusal.
func (r *Refusal) Status() int {
	if s, ok := statusByCode[r.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// RetryAfterHeader returns the value of the Retry-After header in whole seconds,
// rounded up, or "" when a retry cannot help.
func (r *Refusal) RetryAfterHeader() string {
	if r.RetryAfter <= 0 {
		return ""
	}
	return strconv.Itoa(int((r.RetryAfter + time.Second - 1) / time.Second))
}

// Codes returns every refusal code, in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(statusByCode))
	for c := range statusByCode {
		codes = append(codes, c)
	}
	return codes
}
