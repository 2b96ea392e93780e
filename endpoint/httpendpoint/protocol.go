// Package httpendpoint implements the interfaces of package endpoint over HTTP,
// for a model engine with an extended OpenAI-style API and for a plain service.
package httpendpoint

import "mulberryscale.example/endpoint"

// Paths of a model engine.
const (
	PathCompletions = "/v1/completions"
	PathStatus      = "/status"
	PathLoad        = "/load"
)

// DoneData is the data of the last server-sent event of a stream.
const DoneData = "[DONE]"

// CompletionBody is the body of POST /v1/completions. The fields after Stream
// extend the OpenAI ones.
type CompletionBody struct {
	Model       string  `json:"model"`
	Prompt      string  `json:"prompt"`
	MaxTokens   int     `json:"max_tokens"`
	Temperature float64 `json:"temperature,omitempty"`
	Seed        int64   `json:"seed"`
	Stream      bool    `json:"stream"`

	RunID        string `json:"run_id"`
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
}

// ChoiceBody is the only choice of an event.
type ChoiceBody struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// EventBody is the data of a server-sent event of a stream. Tokens and
// WeightsVersion extend the OpenAI fields.
type EventBody struct {
	ID             string       `json:"id"`
	Object         string       `json:"object"`
	Model          string       `json:"model"`
	Choices        []ChoiceBody `json:"choices"`
	Tokens         int          `json:"tokens"`
	WeightsVersion uint64       `json:"weights_version"`
}

// NewCompletionBody returns the body for a request.
func NewCompletionBody(req endpoint.GenerateRequest) CompletionBody {
	return CompletionBody{
		Model: req.Model, Prompt: req.Prompt, MaxTokens: req.MaxTokens, Temperature: req.Temperature,
		Seed: req.Seed, Stream: true, RunID: req.RunID, Prefix: req.Prefix, PrefixTokens: req.PrefixTokens,
	}
}

// Request returns the request that the body was made from, the inverse of
// NewCompletionBody.
func (b CompletionBody) Request() endpoint.GenerateRequest {
	return endpoint.GenerateRequest{
		RunID: b.RunID, Model: b.Model, Prompt: b.Prompt, MaxTokens: b.MaxTokens, Temperature: b.Temperature,
		Seed: b.Seed, Prefix: b.Prefix, PrefixTokens: b.PrefixTokens,
	}
}

// NewEventBody returns the event data for a chunk.
func NewEventBody(req endpoint.GenerateRequest, c endpoint.Chunk) EventBody {
	return EventBody{
		ID: req.RunID, Object: "text_completion", Model: req.Model,
		Choices: []ChoiceBody{{Text: c.Text, FinishReason: c.FinishReason}},
		Tokens:  c.Tokens, WeightsVersion: c.Version,
	}
}

// Chunk returns the chunk in the event data, the inverse of NewEventBody.
func (b EventBody) Chunk() endpoint.Chunk {
	c := endpoint.Chunk{Tokens: b.Tokens, Version: b.WeightsVersion}
	if len(b.Choices) > 0 {
		c.Text = b.Choices[0].Text
		c.FinishReason = b.Choices[0].FinishReason
	}
	return c
}
