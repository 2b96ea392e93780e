package api

// StepRequest is the body of POST /v1/trainers/{row}/steps/{step}. It lists
// the samples that the trainer still needs: after a broken connection the
// trainer posts the step again, at any entry instance, without the samples it
// already has. Leaving a sample out confirms its delivery; there is no other
// record of delivery.
type StepRequest struct {
	// Session increases with each connection that the trainer opens for the
	// step; an entry cancels an older session of the same step.
	Session uint64 `json:"session"`
	// Version is the trainer's own weight version, against which staleness is counted.
	Version uint64 `json:"version"`
	// Samples are the samples that the trainer still needs.
	Samples []SampleRequest `json:"samples"`
	// Received is the number of the step's samples that the trainer already has.
	Received int `json:"held,omitempty"`
	// WaitFor is the number of the step's samples, received ones included, that
	// the trainer waits for; 0 means the row's share of all samples. The row's
	// leftover policy carries over or cancels the rest.
	WaitFor int `json:"wait_for,omitempty"`
	// Hints maps sample ids to the opaque hints of the Placements of an earlier
	// session, which say where the samples run.
	Hints map[string]string `json:"hints,omitempty"`
}

// SampleRequest asks for one sample.
type SampleRequest struct {
	// ID is unique within the trainer's row and never reused.
	ID string `json:"id"`
	// Group is the sample's group; the samples of a group share a prompt.
	Group       string  `json:"group"`
	Prompt      string  `json:"prompt"`
	MaxTokens   int     `json:"max_tokens"`
	Temperature float64 `json:"temperature,omitempty"`
	Seed        int64   `json:"seed,omitempty"`
	// ExpectedTokens is the trainer's estimate of the length in tokens; 0 if it has none.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
}

// Sample is one finished sample.
type Sample struct {
	ID           string `json:"id"`
	Group        string `json:"group"`
	Text         string `json:"text"`
	Tokens       int    `json:"tokens"`
	FinishReason string `json:"finish_reason"`
	// Versions are the weight versions that produced the text, in order, as
	// the engines reported them.
	Versions []VersionSpan `json:"versions"`
	// Score is the scoring service's result, nil if the row has no scorer.
	Score *float64 `json:"score,omitempty"`
	// RunID is the engine's id of the run that produced the end of the text.
	RunID string `json:"run_id"`
}

// OldestVersion returns the smallest version among the spans, 0 if there are none.
func OldestVersion(spans []VersionSpan) uint64 {
	var oldest uint64
	for i, s := range spans {
		if i == 0 || s.Version < oldest {
			oldest = s.Version
		}
	}
	return oldest
}

// Names of the server-sent events of a step's answer.
const (
	EventSample    = "sample"    // data: Sample
	EventPlacement = "placement" // data: Placement
	EventEnd       = "end"       // data: StepEnd, the last event of a whole answer
	EventRefusal   = "refusal"   // data: Refusal, the last event of a refused step
)

// Placement tells the trainer where a sample runs. The trainer sends the hint back
// in StepRequest.Hints when it resumes the step.
type Placement struct {
	ID   string `json:"id"`
	Hint string `json:"hint"`
}

// Undelivered is a sample that was not delivered by the end of the step.
type Undelivered struct {
	ID string `json:"id"`
	// CarriedOver is true when the sample goes on running for the next step.
	CarriedOver bool `json:"carried_over"`
	// Reason is set when the sample was refused.
	Reason *Refusal `json:"reason,omitempty"`
}

// StepEnd is the data of the last event of a step's answer.
type StepEnd struct {
	Delivered   int           `json:"delivered"`
	Undelivered []Undelivered `json:"undelivered,omitempty"`
}

// ConfirmRequest is the body of POST /v1/trainers/{row}/steps/{step}/confirm:
// the samples that the trainer has received, so that agents can drop their results.
type ConfirmRequest struct {
	IDs []string `json:"ids"`
	// Hints are the placement hints of the samples, as in StepRequest.
	Hints map[string]string `json:"hints,omitempty"`
}
