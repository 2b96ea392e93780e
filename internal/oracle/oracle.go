// Package oracle compares what callers and trainers received with what the
// stand-in engines recorded. It knows nothing of the system between them.
package oracle

import (
	"fmt"
	"slices"
	"strings"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/standin/engine"
)

// Text is the only whole text for a prompt and seed whose tokens were produced
// by the versions of spans, in order.
func Text(prompt string, seed int64, spans []api.VersionSpan) string {
	var b strings.Builder
	i := 0
	for _, s := range spans {
		for range s.Tokens {
			b.WriteString(engine.Token(prompt, seed, s.Version, i))
			i++
		}
	}
	return b.String()
}

// CheckAnswer says what is wrong with an answer's text, length or labels;
// nil means nothing.
func CheckAnswer(prompt string, seed int64, maxTokens int, text string, spans []api.VersionSpan) error {
	tokens := 0
	for _, s := range spans {
		tokens += s.Tokens
	}
	if want := engine.LengthOf(prompt, seed, maxTokens); tokens != want {
		return fmt.Errorf("has %d tokens, the whole answer %d", tokens, want)
	}
	if text != Text(prompt, seed, spans) {
		return fmt.Errorf("the text is not that of the versions named: %v", spans)
	}
	return nil
}

// Records are the runs of all engines by run id.
type Records map[string]engine.Record

// Collect gathers what engines recorded.
func Collect(engines ...*engine.Engine) Records {
	all := Records{}
	for _, e := range engines {
		for _, r := range e.Records() {
			all[r.RunID] = r
		}
	}
	return all
}

// CheckSample says what is wrong with a sample's text or labels, also against
// the engine's record of the run that ended it.
func (r Records) CheckSample(req *api.SampleRequest, s *api.Sample) error {
	if err := CheckAnswer(req.Prompt, req.Seed, req.MaxTokens, s.Text, s.Versions); err != nil {
		return err
	}
	run, ok := r[s.RunID]
	if !ok {
		return fmt.Errorf("no engine recorded its run %q", s.RunID)
	}
	if run.Prefix+run.Text != s.Text {
		return fmt.Errorf("the engine's record of run %q holds another text", s.RunID)
	}
	return nil
}

// Stale says whether a sample is older than a trainer at version current with
// the given bound accepts.
func Stale(spans []api.VersionSpan, current, bound uint64) bool {
	return slices.ContainsFunc(spans, func(s api.VersionSpan) bool { return s.Version+bound < current })
}
