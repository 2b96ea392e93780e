// Package batch runs batch jobs: many requests that are accepted together, run
// later on a service's engines, and listed one after the other as they finish.
//
// Nobody leads. An accepted job stands whole in the store; each agent beside an
// engine computes the same split of its items, runs its part and appends what
// it finishes. The order in which the store took those appends is the order of
// the results, for all readers alike.
package batch

import (
	"time"
)

// Item is one request of a job.
type Item struct {
	ID      string            `cbor:"1,keyasint"`
	Path    string            `cbor:"2,keyasint"` // with its query
	Headers map[string]string `cbor:"3,keyasint,omitempty"`
	Body    []byte            `cbor:"4,keyasint,omitempty"`
	// Tokens is the sum of the prompt's tokens and the most that may be generated.
	Tokens int `cbor:"5,keyasint,omitempty"`
	// Group holds items that share a prompt and count only together.
	Group string `cbor:"6,keyasint,omitempty"`
	// ExpectedTokens is the caller's estimate of the tokens generated; 0 is none.
	ExpectedTokens int `cbor:"7,keyasint,omitempty"`
	// Reward is the call whose answer scores the item's text; nil if it needs no score.
	Reward *RewardCall `cbor:"8,keyasint,omitempty"`
}

// RewardCall is the request that scores an item's whole text. It may be
// repeated; its service is found by Host and Path in the configuration in force.
type RewardCall struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"` // with its query
	Body []byte `cbor:"4,keyasint,omitempty"`
}

// Job is an accepted job without the contents of its items.
type Job struct {
	// ID is its client's id within the scope of its organisation, see ScopedID.
	ID      string `cbor:"1,keyasint"`
	Route   string `cbor:"2,keyasint"`
	Host    string `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
	Model   string `cbor:"5,keyasint,omitempty"`
	Step    int    `cbor:"6,keyasint,omitempty"`
	// MinVersion is the oldest weight version that may generate its text.
	MinVersion uint64 `cbor:"7,keyasint,omitempty"`
	// SingleVersion wants all of an item's text from one version.
	SingleVersion bool `cbor:"8,keyasint,omitempty"`
	// Items is the number of items.
	Items int `cbor:"9,keyasint"`
	// WantedGroups is how many complete groups the caller waits for; 0 is all.
	WantedGroups int `cbor:"10,keyasint,omitempty"`
	MaxAttempts  int `cbor:"11,keyasint"`
	// ItemTTL is how long after Accepted an item may be given up.
	ItemTTL time.Duration `cbor:"12,keyasint"`
	// Accepted is the store's clock when the job was submitted.
	Accepted time.Duration `cbor:"13,keyasint"`
	// Owners are the addresses of the engines that the items are dealt to. The
	// first Ready of them can run items at once; the others load weights first.
	Owners []string `cbor:"14,keyasint"`
	Ready  int      `cbor:"18,keyasint,omitempty"`
	// Chunks is the number of rows, or of objects if InObjects, that hold the items.
	Chunks    int  `cbor:"15,keyasint"`
	InObjects bool `cbor:"16,keyasint,omitempty"`
	// Work is what all items are expected to be, in generated tokens.
	Work int `cbor:"17,keyasint,omitempty"`
	// Organisation is the name of the one whose job it is; empty for none. Its
	// items run under it wherever they are.
	Organisation string `cbor:"19,keyasint,omitempty"`
	// Priority is the rank of its organisation, or of its route where it has none, 0
	// the highest.
	Priority int `cbor:"20,keyasint,omitempty"`
	// GroupItems is the number of items in each group; 0 if they differ.
	GroupItems int `cbor:"21,keyasint,omitempty"`
	// RunTarget is how long after Accepted its results are due; 0 if that is not said.
	RunTarget time.Duration `cbor:"22,keyasint,omitempty"`
}

// priorityStep is the head start that one rank is worth: an eighth of the 7.5 s in
// which a step is due. A job of rank 2 counts as accepted two steps later than it
// was. So ranks decide between jobs of about one age, and no rank waits for ever:
// under three times the capacity three ranks get equal shares of an engine, and
// the highest waits two steps less than the lowest (TestRanksUnderOverload).
const priorityStep = time.Second

// queueTime orders jobs that wait for one thing, the earliest first.
func (j *Job) queueTime() time.Duration {
	return j.Accepted + time.Duration(min(max(j.Priority, 0), maxPriority))*priorityStep
}

// maxPriority bounds the head start of all others before a rank.
const maxPriority = 10

// State is how an item ended.
type State string

// States of a result.
const (
	StateDone   State = "done"
	StateFailed State = "failed"
)

// Result is one finished item.
type Result struct {
	ID    string `cbor:"1,keyasint"`
	State State  `cbor:"2,keyasint"`
	// Output is the data of all events, separated by line feeds.
	Output string `cbor:"3,keyasint,omitempty"`
	// Versions are the weight versions that generated the text.
	Versions []uint64 `cbor:"4,keyasint,omitempty"`
	// Score is the signature of the answer to the item's reward call.
	Score string `cbor:"5,keyasint,omitempty"`
	// Group is the item's.
	Group string `cbor:"6,keyasint,omitempty"`
}
