// Package endpoint is the agent's view of the back end beside it: a model
// engine or a plain service. The package httpendpoint below speaks HTTP to it.
package endpoint

import (
	"context"
	"net/http"

	"mulberryscale.example/api"
)

// GenerateRequest starts or resumes a stream on a model engine.
type GenerateRequest struct {
	// RunID is unique for each run on an engine.
	RunID  string
	Model  string
	Prompt string
	// MaxTokens bounds the whole text, the resumed prefix included.
	MaxTokens   int
	Temperature float64
	Seed        int64
	// Prefix is the text already generated elsewhere, PrefixTokens its length
	// in tokens; the engine goes on after it.
	Prefix       string
	PrefixTokens int
}

// Chunk is a piece of a stream: the tokens of one version.
type Chunk struct {
	Text    string
	Tokens  int
	Version uint64 // weight version that produced these tokens, as the engine reports it
	// FinishReason is set on the last chunk ("stop" or "length").
	FinishReason string
}

// Stream is a running generation. Next returns io.EOF after the last chunk;
// an end without a finish reason is an error, never io.EOF. Close cancels the
// run on the engine if it still runs.
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
	// LoadBroken: a load failed partway and the weights are of no one version.
	LoadBroken LoadState = "broken"
)

// ModelStatus is what an engine says of one loaded model.
type ModelStatus struct {
	Model   string    `json:"model"`
	Version uint64    `json:"version"`
	State   LoadState `json:"state"`
}

// Status is an engine's load report. It lags.
type Status struct {
	// Slots is how many streams the engine batches at once.
	Slots   int           `json:"slots"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	Models  []ModelStatus `json:"models"`
	// FreeKVTokens is the free KV-cache memory in tokens.
	FreeKVTokens int `json:"free_kv_tokens"`
	// Fence is the newest fencing number seen, 0 for engines that ignore it.
	Fence uint64 `json:"fence"`
}

// Order asks an engine to load a version of a model.
type Order struct {
	// Fence is the fencing number; an engine that checks refuses an older one.
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Method string
	Path   string // begins with "/", query included
	Header http.Header
	Body   []byte
}

// ServiceResponse is its answer.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Engine is a model engine.
type Engine interface {
	// Generate starts a stream. A NotStartedError proves that nothing ran.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	Status(ctx context.Context) (Status, error)
	// Load orders new weights and returns when the engine has answered. Its
	// reply can be lost; ask Status for what is loaded. It returns
	// platform.ErrStaleFence when the engine refused an old fencing number.
	Load(ctx context.Context, o Order) error
}

// Service is a plain service.
type Service interface {
	// Call makes the call once and never repeats it. A NotStartedError
	// proves that nothing ran.
	Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error)
}

// Prober is an engine or service that can tell whether it has ended.
type Prober interface {
	// Exited reports whether it refuses connections: nothing listens there any more.
	Exited(ctx context.Context) bool
}

// NotStartedError wraps an error that proves that the request did not run,
// such as a refused connection.
type NotStartedError struct{ Err error }

// Error implements error.
func (e *NotStartedError) Error() string { return "not started: " + e.Err.Error() }

// Unwrap gives the cause.
func (e *NotStartedError) Unwrap() error { return e.Err }

// AddSpan appends tokens of a version to spans, growing the last span where it is of the same version.
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
