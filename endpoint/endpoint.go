// Package endpoint defines the agent's interface to the back end on its instance:
// a model engine or a plain service. Package httpendpoint implements it over HTTP.
package endpoint

import (
	"context"
	"net/http"

	"mulberryscale.example/api"
)

// GenerateRequest starts or resumes a stream on a model engine.
type GenerateRequest struct {
	// RunID is unique among all runs on an engine.
	RunID  string
	Model  string
	Prompt string
	// MaxTokens limits the length of the whole text, including the resumed prefix.
	MaxTokens   int
	Temperature float64
	Seed        int64
	// Prefix is the text already generated elsewhere, PrefixTokens its length
	// in tokens; the engine continues after it.
	Prefix       string
	PrefixTokens int
}

// Chunk is a part of a stream whose tokens were all produced by one weight version.
type Chunk struct {
	Text    string
	Tokens  int
	Version uint64 // weight version that produced these tokens, as the engine reports it
	// FinishReason is set on the last chunk ("stop" or "length").
	FinishReason string
}

// Stream is a running generation. Next returns io.EOF after the last chunk; if
// the stream stops without a finish reason, Next returns another error, never
// io.EOF. Close cancels the run on the engine if it has not finished.
type Stream interface {
	Next() (Chunk, error)
	Close() error
}

// LoadState is the state of the weights on an engine.
type LoadState string

// States of an engine's weights.
const (
	LoadReady   LoadState = "ready"
	LoadLoading LoadState = "loading"
	// LoadBroken means that a load failed partway, so that the weights are not of
	// one version.
	LoadBroken LoadState = "broken"
)

// ModelStatus is an engine's status of one loaded model.
type ModelStatus struct {
	Model   string    `json:"model"`
	Version uint64    `json:"version"`
	State   LoadState `json:"state"`
}

// Status is an engine's load report. It may be out of date.
type Status struct {
	// Slots is how many streams the engine batches at once.
	Slots   int           `json:"slots"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	Models  []ModelStatus `json:"models"`
	// FreeKVTokens is the free KV-cache memory in tokens.
	FreeKVTokens int `json:"free_kv_tokens"`
	// Fence is the newest fencing token seen, 0 for engines that ignore it.
	Fence uint64 `json:"fence"`
}

// Order orders an engine to load a version of a model.
type Order struct {
	// Fence is the fencing token; an engine that checks it refuses an older one.
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Method string
	Path   string // begins with "/", includes the query
	Header http.Header
	Body   []byte
}

// ServiceResponse is a plain service's response.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Engine is a model engine.
type Engine interface {
	// Generate starts a stream. A NotStartedError proves that nothing ran.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Status returns the engine's load report.
	Status(ctx context.Context) (Status, error)
	// Load orders the engine to load new weights and returns when the engine has
	// answered. The answer can be lost; Status tells which weights are loaded.
	// Load returns platform.ErrStaleFence if the engine refused an old fencing
	// token.
	Load(ctx context.Context, o Order) error
}

// Service is a plain service.
type Service interface {
	// Call sends the request once and never retries it. A NotStartedError
	// proves that nothing ran.
	Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error)
}

// Prober is an engine or service that can check whether its process has exited.
type Prober interface {
	// Exited reports whether the endpoint refuses connections, which means that
	// no process listens on its address any more.
	Exited(ctx context.Context) bool
}

// NotStartedError wraps an error that proves that the request did not run,
// such as a refused connection.
type NotStartedError struct{ Err error }

// Error implements error.
func (e *NotStartedError) Error() string { return "not started: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Err }

// AddSpan appends tokens of a version to spans. It extends the last span if that
// has the same version.
func AddSpan(spans []api.VersionSpan, version uint64, tokens int) []api.VersionSpan {
	if tokens == 0 {
		return spans
	}
	last := len(spans) - 1
	if last >= 0 && spans[last].Version == version {
		spans[last].Tokens += tokens
		return spans
	}
	return append(spans, api.VersionSpan{Version: version, Tokens: tokens})
}
