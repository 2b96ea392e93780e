package entry

import (
	"strings"
	"testing"

	"mulberryscale.example/api"
)

func TestCheckStep(t *testing.T) {
	good := api.SampleRequest{ID: "a", Group: "g", Prompt: "p", MaxTokens: 1}
	with := func(change func(*api.SampleRequest)) []api.SampleRequest {
		s := good
		change(&s)
		return []api.SampleRequest{s}
	}
	long := strings.Repeat("x", maxIDLength+1)
	for _, c := range []struct {
		name string
		step string
		req  api.StepRequest
		want string // part of the error, empty for none
	}{
		{"good", "1", api.StepRequest{Samples: []api.SampleRequest{good}}, ""},
		{"no samples", "1", api.StepRequest{}, "at least one sample"},
		{"too many", "1", api.StepRequest{Samples: make([]api.SampleRequest, maxStepSamples+1)}, "at most"},
		{"long name", long, api.StepRequest{Samples: []api.SampleRequest{good}}, "name"},
		{"long id", "1", api.StepRequest{Samples: with(func(s *api.SampleRequest) { s.ID = long })}, "samples[0]: id and group"},
		{"long group", "1", api.StepRequest{Samples: with(func(s *api.SampleRequest) { s.Group = long })}, "samples[0]: id and group"},
		{"no id", "1", api.StepRequest{Samples: with(func(s *api.SampleRequest) { s.ID = "" })}, "samples[0]: id is missing"},
		{"twice", "1", api.StepRequest{Samples: []api.SampleRequest{good, good}}, "samples[1]: id \"a\" stands twice"},
		{"no prompt", "1", api.StepRequest{Samples: with(func(s *api.SampleRequest) { s.Prompt = "" })}, "prompt is missing"},
		{"no tokens", "1", api.StepRequest{Samples: with(func(s *api.SampleRequest) { s.MaxTokens = 0 })}, "max_tokens"},
		{"negative", "1", api.StepRequest{Samples: []api.SampleRequest{good}, Received: -1}, "must not be negative"},
		{"hints", "1", api.StepRequest{Samples: []api.SampleRequest{good}, Hints: map[string]string{"a": "x", "b": "x"}}, "hints"},
	} {
		err := checkStep(c.step, &c.req)
		if (err == nil) != (c.want == "") || (err != nil && !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: got %v", c.name, err)
		}
	}
}
