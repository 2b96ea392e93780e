// Package oracle compares what callers and trainers received with what the
// stand-in engines recorded. It knows nothing of the system between them.
package oracle

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/scorer"
)

// ExpectedText is the only whole text for a prompt and seed whose tokens were produced
// by the versions of spans, in order.
func ExpectedText(prompt string, seed int64, spans []api.VersionSpan) string {
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
	if text != ExpectedText(prompt, seed, spans) {
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

// Delivery is a sample as its trainer took it in.
type Delivery struct {
	Sample  api.Sample
	Version uint64 // the trainer's own at that time
}

// CheckScoredSample says what is wrong with what a scored trainer took in for one
// request: not exactly one sample, or one with a wrong text, label or score or
// older than bound; nil means nothing.
func (r Records) CheckScoredSample(req *api.SampleRequest, got []Delivery, bound uint64) error {
	if len(got) != 1 {
		return fmt.Errorf("delivered %d times", len(got))
	}
	s := &got[0].Sample
	err := r.CheckSample(req, s)
	if Stale(s.Versions, got[0].Version, bound) {
		err = errors.Join(err, fmt.Errorf("has versions %v at the trainer's version %d", s.Versions, got[0].Version))
	}
	if s.Score == nil || *s.Score != scorer.Score(s.Text) {
		err = errors.Join(err, errors.New("has no score, or that of another text"))
	}
	return err
}

// CheckCompletion is CheckAnswer of an answer with one choice.
func CheckCompletion(req *api.CompletionRequest, answer *api.Completion) error {
	return CheckAnswer(req.Prompt, req.Seed, req.MaxTokens, answer.Choices[0].Text, answer.WeightVersions)
}

// Stale says whether a sample is older than a trainer at version current with
// the given bound accepts.
func Stale(spans []api.VersionSpan, current, bound uint64) bool {
	return slices.ContainsFunc(spans, func(s api.VersionSpan) bool { return s.Version+bound < current })
}
