// Package batch runs batch jobs: many requests that are accepted together, run
// later on a service's engines, and listed in the order in which they finish.
//
// There is no leader. An accepted job is completely in the store; the agent beside
// each engine computes the same assignment of its items, runs its own part and
// appends the results. The order in which the store committed those appends is the
// order of the results for every reader.
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
	// Tokens is the number of prompt tokens plus the maximum number of generated tokens.
	Tokens int `cbor:"5,keyasint,omitempty"`
	// Group names the items that share a prompt; a group counts only once all its items are done.
	Group string `cbor:"6,keyasint,omitempty"`
	// ExpectedTokens is the caller's estimate of the generated tokens; 0 means no estimate.
	ExpectedTokens int `cbor:"7,keyasint,omitempty"`
	// Reward is the call whose response scores the item's text; nil if it needs no score.
	Reward *RewardCall `cbor:"8,keyasint,omitempty"`
}

// RewardCall is the request that scores an item's complete text. It may be sent
// repeatedly; Host and Path select its service in the current configuration.
type RewardCall struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"` // with its query
	Body []byte `cbor:"4,keyasint,omitempty"`
}

// Job is the header of an accepted job, without the contents of its items.
type Job struct {
	// ID is the client's id of the job, scoped to its organisation, see ScopedID.
	ID    string `cbor:"1,keyasint"`
	Route string `cbor:"2,keyasint"`
	Host  string `cbor:"3,keyasint"`
	// Service is the service for which it was accepted, see currentService.
	Service string `cbor:"4,keyasint"`
	Model   string `cbor:"5,keyasint,omitempty"`
	Step    int    `cbor:"6,keyasint,omitempty"`
	// MinVersion is the oldest weight version that may generate the text of its items.
	MinVersion uint64 `cbor:"7,keyasint,omitempty"`
	// SingleVersion requires that all text of an item comes from one weight version.
	SingleVersion bool `cbor:"8,keyasint,omitempty"`
	// Items is the number of items in the job.
	Items int `cbor:"9,keyasint"`
	// WantedGroups is the number of complete groups that the caller waits for; 0 means all.
	WantedGroups int `cbor:"10,keyasint,omitempty"`
	MaxAttempts  int `cbor:"11,keyasint"`
	// ItemTTL is the time after Accepted from which unfinished items are given up.
	ItemTTL time.Duration `cbor:"12,keyasint"`
	// Accepted is the store's clock at the time of submission.
	Accepted time.Duration `cbor:"13,keyasint"`
	// Owners are the addresses of the engines that the items are assigned to. The
	// first Ready of them can run items at once; the others load weights first.
	Owners []string `cbor:"14,keyasint"`
	Ready  int      `cbor:"18,keyasint,omitempty"`
	// Chunks is the number of rows (objects if InObjects is set) that hold the items.
	Chunks    int  `cbor:"15,keyasint"`
	InObjects bool `cbor:"16,keyasint,omitempty"`
	// Objects are the names of the objects, in the order of their content.
	Objects []string `cbor:"24,keyasint,omitempty"`
	// ItemsSum is the SHA-256 digest of the encoded items.
	ItemsSum []byte `cbor:"25,keyasint,omitempty"`
	// Prefix is the path prefix of its route. By it and Host the route is found in later configurations.
	Prefix string `cbor:"26,keyasint,omitempty"`
	// Work is the expected work of all items together, in generated tokens.
	Work int `cbor:"17,keyasint,omitempty"`
	// Organisation is the name of the organisation that owns the job; empty for none.
	// Every agent runs the items under it.
	Organisation string `cbor:"19,keyasint,omitempty"`
	// Priority is the priority of its organisation, or of its route if it has none;
	// 0 is the highest.
	Priority int `cbor:"20,keyasint,omitempty"`
	// GroupItems is the number of items in each group; 0 if the groups differ in size.
	GroupItems int `cbor:"21,keyasint,omitempty"`
	// RunTarget is the time after Accepted at which the results are due; 0 if not configured.
	RunTarget time.Duration `cbor:"22,keyasint,omitempty"`
	// Paces are the paces of Owners when the job was accepted, 0 for one that is not known; it
	// is empty if none is known. See package pace.
	Paces []int `cbor:"23,keyasint,omitempty"`
}

// priorityStep is the head start of a job over one of the next lower priority: an
// eighth of the 7.5 s within which a training step is due. A job of priority 2 is
// queued as if it were accepted two times priorityStep later. So priorities decide
// between jobs of about the same age and none starves: at three times the capacity,
// three priorities get equal shares of an engine, and the highest waits two times
// priorityStep less than the lowest (TestRanksUnderOverload).
const priorityStep = time.Second

// queueTime is the time by which waiting jobs are ordered, the earliest first: the
// time of acceptance, shifted by the priority.
func (j *Job) queueTime() time.Duration {
	return j.Accepted + time.Duration(min(max(j.Priority, 0), maxPriority))*priorityStep
}

// maxPriority bounds how far a low priority can shift a job back in the queue.
const maxPriority = 10

// State is the outcome of an item.
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
	// Output is the data of all events, joined by line feeds.
	Output string `cbor:"3,keyasint,omitempty"`
	// Versions are the weight versions that generated the text.
	Versions []uint64 `cbor:"4,keyasint,omitempty"`
	// Score is the signature of the response to the item's reward call.
	Score string `cbor:"5,keyasint,omitempty"`
	// Group is the item's group.
	Group string `cbor:"6,keyasint,omitempty"`
}
