package batch

import (
	"time"

	"mulberryscale.example/store/detour"
)

// PeerRequest is a call from one agent to another; one of the pointers is set.
type PeerRequest struct {
	// From is the address of the caller's engine.
	From   string         `cbor:"1,keyasint"`
	Status *StatusRequest `cbor:"2,keyasint,omitempty"`
	Take   *TakeRequest   `cbor:"3,keyasint,omitempty"`
	Give   *Handover      `cbor:"4,keyasint,omitempty"`
	// Store asks to make a call to the store that the caller has no path to.
	Store *detour.Call `cbor:"5,keyasint,omitempty"`
}

// PeerReply answers it.
type PeerReply struct {
	Status   *Status   `cbor:"1,keyasint,omitempty"`
	Handover *Handover `cbor:"2,keyasint,omitempty"`
	// Taken is the number of given items that were taken.
	Taken int           `cbor:"3,keyasint,omitempty"`
	Store *detour.Reply `cbor:"4,keyasint,omitempty"`
}

// StatusRequest asks for the state of jobs.
type StatusRequest struct {
	Jobs []string `cbor:"1,keyasint"`
}

// Status is what an agent says of itself.
type Status struct {
	// Up says that its engine takes work.
	Up bool `cbor:"1,keyasint"`
	// Free is how many more items it could run at once.
	Free int `cbor:"2,keyasint"`
	// EventInterval is the mean time between two events of a run there, 0 while unknown.
	EventInterval time.Duration        `cbor:"3,keyasint,omitempty"`
	Jobs          map[string]JobStatus `cbor:"4,keyasint,omitempty"`
}

// JobStatus lists items of a job by their indexes.
type JobStatus struct {
	Waiting []int `cbor:"1,keyasint,omitempty"`
	Running []int `cbor:"2,keyasint,omitempty"`
	// AwaitingScore have their last event and wait for their score.
	AwaitingScore []int `cbor:"4,keyasint,omitempty"`
	// Done are in the store or on their way there.
	Done []int `cbor:"3,keyasint,omitempty"`
}

// TakeRequest asks for items to run them at the caller's engine.
type TakeRequest struct {
	Job string `cbor:"1,keyasint"`
	Max int    `cbor:"2,keyasint"`
	// Running asks for items that run already as well.
	Running bool `cbor:"3,keyasint,omitempty"`
}

// Handover are items of a job that go from one agent to another.
type Handover struct {
	Job   string         `cbor:"1,keyasint"`
	Items []HandoverItem `cbor:"2,keyasint"`
}

// HandoverItem is an item with its text so far.
type HandoverItem struct {
	Index    int      `cbor:"1,keyasint"`
	Text     []string `cbor:"2,keyasint,omitempty"`
	Versions []uint64 `cbor:"3,keyasint,omitempty"`
	Failures int      `cbor:"4,keyasint,omitempty"`
	// Complete says that the text has its last event; RewardFailures counts the
	// failures that its reward call was answered with.
	Complete       bool `cbor:"6,keyasint,omitempty"`
	RewardFailures int  `cbor:"7,keyasint,omitempty"`
	// Avoid are engines where it broke off again and again.
	Avoid []string `cbor:"5,keyasint,omitempty"`
}
