package e2e

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/oracle"
)

// The OpenAI client library gets a completion and a streamed completion.
func TestOpenAIClient(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	client := openai.NewClient(
		option.WithBaseURL(f.entries[0].url+"/v1"), option.WithAPIKey("unused"), option.WithMaxRetries(0),
	)
	want := lookupRequest(7, false)
	params := openai.CompletionNewParams{
		Model: rowLookups, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(want.Prompt)},
		MaxTokens: openai.Int(int64(want.MaxTokens)), Seed: openai.Int(want.Seed),
	}
	whole, err := client.Completions.New(t.Context(), params)
	if err != nil {
		t.Fatal(err)
	}
	if len(whole.Choices) != 1 || whole.Choices[0].FinishReason == "" || whole.ID == "" {
		t.Fatalf("got %s", whole.RawJSON())
	}
	checkOpenAI(t, want, whole.Choices[0].Text, whole.RawJSON())
	checkOpenAIStream(t, &client, params, want)
}

func checkOpenAIStream(t *testing.T, client *openai.Client, params openai.CompletionNewParams, want api.CompletionRequest) {
	t.Helper()
	stream := client.Completions.NewStreaming(t.Context(), params)
	defer stream.Close()
	var text, last string
	events := 0
	for stream.Next() {
		event := stream.Current()
		for _, c := range event.Choices {
			text += c.Text
		}
		last = event.RawJSON()
		events++
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if events < 2 {
		t.Errorf("the answer came in %d events, want several", events)
	}
	checkOpenAI(t, want, text, last)
}

// checkOpenAI checks a text against the weight versions that the answer's JSON names.
func checkOpenAI(t *testing.T, want api.CompletionRequest, text, rawJSON string) {
	t.Helper()
	var answer api.Completion
	if err := json.Unmarshal([]byte(rawJSON), &answer); err != nil {
		t.Fatal(err)
	}
	if err := oracle.CheckAnswer(want.Prompt, want.Seed, want.MaxTokens, text, answer.WeightVersions); err != nil {
		t.Error(err)
	}
}

// The library returns a refusal as its own error type.
func TestOpenAIClientGetsRefusal(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	client := openai.NewClient(
		option.WithBaseURL(f.entries[0].url+"/v1"), option.WithAPIKey("unused"), option.WithMaxRetries(0),
	)
	_, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "no-such-row", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("p")},
	})
	var refusal *openai.Error
	if !errors.As(err, &refusal) || refusal.StatusCode != http.StatusNotFound || refusal.Code != string(api.CodeUnknownRow) {
		t.Fatalf("got %v", err)
	}
}
