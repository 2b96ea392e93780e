package entry

import (
	"encoding/json"
	"testing"

	"mulberryscale.example/api"
	"mulberryscale.example/wire"
)

// TestUsageOmitsUncountedPromptTokens checks that an answer does not report the number of
// prompt tokens, which engines do not return.
func TestUsageOmitsUncountedPromptTokens(t *testing.T) {
	done := &wire.Done{Spans: []api.VersionSpan{{Version: 1, Tokens: 2}, {Version: 2, Tokens: 3}}}
	got, err := json.Marshal(usageOf(done))
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"completion_tokens":5}`; string(got) != want {
		t.Errorf("usage is %s, want %s", got, want)
	}
}
