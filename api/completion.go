package api

// Paths of the entry instance's HTTP API.
const (
	PathCompletions = "/v1/completions"
	// PathServices is followed by the row's name and the service's own path.
	PathServices = "/v1/services/"
	// PathTrainers is followed by {row}/steps/{step} or {row}/steps/{step}/confirm.
	PathTrainers = "/v1/trainers/"
	PathReady    = "/ready"
	PathLive     = "/live"
)

// Headers of the entry instance's HTTP API.
const (
	// HeaderIdempotencyKey identifies a request so that a repeated one is recognised.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNonIdempotent, with the value "true", marks a request that must not run twice.
	HeaderNonIdempotent = "Mulberry-Non-Idempotent"
	// HeaderDeadline is the maximum time that the caller waits, a Go duration such as "1.5s".
	HeaderDeadline = "Mulberry-Deadline"
	// HeaderWeightVersions lists the weight versions that produced the answer.
	HeaderWeightVersions = "Mulberry-Weight-Versions"
	// HeaderTableVersion is the table version in force at the entry.
	HeaderTableVersion = "Mulberry-Table-Version"
	// HeaderRequestID is the id that the entry assigned to the request.
	HeaderRequestID = "Mulberry-Request-Id"
)

// CompletionRequest is the body of POST /v1/completions: the OpenAI fields
// that the system reads. Model names a row of the table.
type CompletionRequest struct {
	Model       string  `json:"model"`
	Prompt      string  `json:"prompt"`
	MaxTokens   int     `json:"max_tokens,omitempty"`
	Temperature float64 `json:"temperature,omitempty"`
	Seed        int64   `json:"seed,omitempty"`
	Stream      bool    `json:"stream,omitempty"`
}

// VersionSpan says that Tokens consecutive tokens were produced by Version.
type VersionSpan struct {
	Version uint64 `json:"version" cbor:"1,keyasint"`
	Tokens  int    `json:"tokens" cbor:"2,keyasint"`
}

// Choice is one generated text of a completion. FinishReason is empty while streaming.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage counts the tokens of a completion. PromptTokens and TotalTokens are
// omitted while engines do not report the number of tokens of a prompt.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens,omitempty"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens,omitempty"`
}

// Completion is the answer of POST /v1/completions and, with streaming, each event of it.
type Completion struct {
	ID             string        `json:"id"`
	Object         string        `json:"object"`
	Created        int64         `json:"created"`
	Model          string        `json:"model"`
	Choices        []Choice      `json:"choices"`
	Usage          *Usage        `json:"usage,omitempty"`
	WeightVersions []VersionSpan `json:"weight_versions,omitempty"`
}
