package batch

import (
	"time"

	"mulberryscale.example/store/relay"
)

// PeerRequest is a request from one agent to another; exactly one of the pointers is set.
type PeerRequest struct {
	// From is the address of the caller's engine.
	From   string         `cbor:"1,keyasint"`
	Status *StatusRequest `cbor:"2,keyasint,omitempty"`
	Take   *TakeRequest   `cbor:"3,keyasint,omitempty"`
	Give   *Handover      `cbor:"4,keyasint,omitempty"`
	// Store is a call to the store that the receiver makes for a caller that cannot reach it.
	Store *relay.Call `cbor:"5,keyasint,omitempty"`
}

// PeerReply is the reply to a PeerRequest.
type PeerReply struct {
	Status   *Status   `cbor:"1,keyasint,omitempty"`
	Handover *Handover `cbor:"2,keyasint,omitempty"`
	// Taken is the number of items of PeerRequest.Give that were taken over.
	Taken int          `cbor:"3,keyasint,omitempty"`
	Store *relay.Reply `cbor:"4,keyasint,omitempty"`
}

// StatusRequest asks for the state of jobs.
type StatusRequest struct {
	Jobs []string `cbor:"1,keyasint"`
}

// Status is the state that an agent reports of itself.
type Status struct {
	// Up is true if its engine takes work.
	Up bool `cbor:"1,keyasint"`
	// Free is the number of further items that it could run at once.
	Free int `cbor:"2,keyasint"`
	// EventInterval is the mean time between two events of a run there; 0 if unknown.
	EventInterval time.Duration        `cbor:"3,keyasint,omitempty"`
	Jobs          map[string]JobStatus `cbor:"4,keyasint,omitempty"`
	// Pace is the estimated pace of its engine, see package pace; 0 if none is reported.
	Pace int `cbor:"5,keyasint,omitempty"`
}

// JobStatus lists the items of a job that an agent holds or knows as done, by index.
type JobStatus struct {
	Waiting []int `cbor:"1,keyasint,omitempty"`
	Running []int `cbor:"2,keyasint,omitempty"`
	// AwaitingScore are the items whose text is complete and that wait for their score
	// or for their result to be appended.
	AwaitingScore []int `cbor:"4,keyasint,omitempty"`
	// Done are the items whose results are in the store.
	Done []int `cbor:"3,keyasint,omitempty"`
	// Transferred are the items that were handed over to another agent recently.
	Transferred []int `cbor:"5,keyasint,omitempty"`
}

// TakeRequest asks for up to Max items of a job, to run them on the caller's engine.
type TakeRequest struct {
	Job string `cbor:"1,keyasint"`
	Max int    `cbor:"2,keyasint"`
	// Running asks for items that are running already as well.
	Running bool `cbor:"3,keyasint,omitempty"`
	// Pace is the pace of the caller's engine. If it is set and the receiver's engine reports
	// its pace, only waiting items are released that complete sooner at the caller's engine.
	Pace int `cbor:"4,keyasint,omitempty"`
}

// Handover holds the items of a job that one agent hands over to another.
type Handover struct {
	Job   string         `cbor:"1,keyasint"`
	Items []HandoverItem `cbor:"2,keyasint"`
}

// HandoverItem is an item with the text generated so far.
type HandoverItem struct {
	Index    int      `cbor:"1,keyasint"`
	Text     []string `cbor:"2,keyasint,omitempty"`
	Versions []uint64 `cbor:"3,keyasint,omitempty"`
	Failures int      `cbor:"4,keyasint,omitempty"`
	// Complete says that the text has its last event; RewardFailures counts the
	// failures that its reward call was answered with.
	Complete       bool `cbor:"6,keyasint,omitempty"`
	RewardFailures int  `cbor:"7,keyasint,omitempty"`
	// Avoid are the addresses of engines whose answers to the item broke off repeatedly.
	Avoid []string `cbor:"5,keyasint,omitempty"`
	// Idle is how long the item has been at no engine.
	Idle time.Duration `cbor:"8,keyasint,omitempty"`
}
