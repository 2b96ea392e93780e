package caller

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"mulberryscale.example/api"
)

const (
	chunk   = `data: {"choices":[{"text":"a"}],"weight_versions":[{"version":3,"tokens":1}]}` + "\n\n"
	refusal = `{"error":{"code":"draining","message":"m","not_run":"unknown","step":"s","peer":"p","retry_after":1}}`
)

// TestComplete reads complete, refused, failed and truncated responses.
func TestComplete(t *testing.T) {
	for _, c := range []struct {
		name, body string
		stream     bool
		status     int
		text       string // text of the completion
		want       string // part of the error, empty if none is expected
	}{
		{"whole", `{"choices":[{"text":"ab"}]}`, false, http.StatusOK, "ab", ""},
		{"two choices", `{"choices":[{"text":"a"},{"text":"b"}]}`, false, http.StatusOK, "", "2 choices"},
		{"cut whole", `{"choices":[{"te`, false, http.StatusOK, "", "unexpected end"},
		{"stream", chunk + chunk + "data: [DONE]\n\n", true, http.StatusOK, "aa", ""},
		{"cut stream", chunk + chunk, true, http.StatusOK, "", ErrTruncated.Error()},
		{"failed stream", chunk + "event: error\ndata: " + refusal + "\n\n", true, http.StatusOK, "", "draining"},
		{"refused", refusal, true, http.StatusServiceUnavailable, "", "draining"},
		{"other status", "busy", false, http.StatusServiceUnavailable, "", "status 503 without a refusal"},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			w.Write([]byte(c.body))
		}))
		answer, err := Complete(t.Context(), server.Client(), server.URL, &api.CompletionRequest{Stream: c.stream}, nil)
		server.Close()
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v", c.name, err)
		}
		if err == nil && answer.Choices[0].Text != c.text {
			t.Errorf("%s: got %q", c.name, answer.Choices[0].Text)
		}
		var refused *Refused
		if isRefused := errors.As(err, &refused); isRefused != (c.name == "refused") || isRefused && refused.CheckHeaders() == nil {
			t.Errorf("%s: refused %v, or its missing Retry-After was not reported", c.name, isRefused)
		}
	}
}
