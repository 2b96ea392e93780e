package api

// StepRequest is the body of POST /v1/trainers/{row}/steps/{step}. It names
// the samples that the trainer still wants: after a broken connection the
// trainer posts the step again, at any entry instance, without the samples it
// already has. What the trainer leaves out is thereby confirmed; no other
// record of delivery exists.
type StepRequest struct {
	// Session grows with each connection that the trainer opens for the
	// step; an entry gives up an older session of the same step.
	Session uint64 `json:"session"`
	// Version is the trainer's own weight version, against which staleness is counted.
	Version uint64 `json:"version"`
	// Samples are the samples still wanted.
	Samples []SampleRequest `json:"samples"`
	// Held is how many of the step's samples the trainer has already.
	Held int `json:"held,omitempty"`
	// WaitFor is how many samples of the step, the held ones included, the
	// trainer waits for; 0 means the row's share of them all. The rest are
	// carried over or cancelled by the row.
	WaitFor int `json:"wait_for,omitempty"`
	// Hints says where samples were placed in an earlier session: sample id
	// to the opaque hint of a Placement.
	Hints map[string]string `json:"hints,omitempty"`
}

// SampleRequest asks for one sample.
type SampleRequest struct {
	// ID is unique within the trainer's row for ever.
	ID string `json:"id"`
	// Group is the samples' group; a group shares its prompt.
	Group       string  `json:"group"`
	Prompt      string  `json:"prompt"`
	MaxTokens   int     `json:"max_tokens"`
	Temperature float64 `json:"temperature,omitempty"`
	Seed        int64   `json:"seed,omitempty"`
	// ExpectedTokens is the trainer's guess of the length; 0 when it has none.
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
	// Score is the scoring service's answer, nil when the row has no scorer.
	Score *float64 `json:"score,omitempty"`
	// RunID is the engine's id of the run that produced the last of the text.
	RunID string `json:"run_id"`
}

// OldestVersion is the smallest version among the spans, 0 when there are none.
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

// Placement tells the trainer where a sample runs, to be given back in
// StepRequest.Hints when the step is resumed.
type Placement struct {
	ID   string `json:"id"`
	Hint string `json:"hint"`
}

// Undelivered is a sample that the step ended without.
type Undelivered struct {
	ID string `json:"id"`
	// CarriedOver is true when the sample goes on running for the next step.
	CarriedOver bool `json:"carried_over"`
	// Reason is set when the sample was refused.
	Reason *Refusal `json:"reason,omitempty"`
}

// StepEnd closes a step's answer.
type StepEnd struct {
	Delivered   int           `json:"delivered"`
	Undelivered []Undelivered `json:"undelivered,omitempty"`
}

// ConfirmRequest is the body of POST /v1/trainers/{row}/steps/{step}/confirm:
// samples that the trainer holds, so that agents may forget them.
type ConfirmRequest struct {
	IDs []string `json:"ids"`
	// Hints says where the samples were placed.
	Hints map[string]string `json:"hints,omitempty"`
}
