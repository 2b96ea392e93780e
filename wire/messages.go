package wire

import (
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/platform"
)

// Class is the priority class of a request in an agent's queue.
type Class uint8

// Classes, the most urgent first.
const (
	ClassInteractive Class = iota
	ClassTraining
)

// Header is part of every message, so that processes learn of each other and of table
// versions from normal traffic.
type Header struct {
	// From is the sender's id and Incarnation the random number that it drew at its start.
	From        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// TableVersion is the table version in force at the sender.
	TableVersion uint64 `cbor:"3,keyasint"`
	// Addr is the address, "ip:port", at which the sender accepts calls of the system's
	// own processes; empty if it accepts none.
	Addr string `cbor:"4,keyasint,omitempty"`
}

// Request is the first message of a stream; exactly one of the pointers is set.
type Request struct {
	Header    Header         `cbor:"1,keyasint"`
	Run       *Run           `cbor:"2,keyasint,omitempty"`
	Fence     *Fence         `cbor:"3,keyasint,omitempty"`
	Forget    *Forget        `cbor:"4,keyasint,omitempty"`
	Watch     *Watch         `cbor:"5,keyasint,omitempty"`
	PullTable *PullTable     `cbor:"6,keyasint,omitempty"`
	PushTable *TableDocument `cbor:"7,keyasint,omitempty"`
	PullPart  *PullPart      `cbor:"8,keyasint,omitempty"`
	Gossip    *Gossip        `cbor:"9,keyasint,omitempty"`
	Drain     *Drain         `cbor:"10,keyasint,omitempty"`
	// PullManifest asks for the list of a version's parts.
	PullManifest *PullManifest `cbor:"11,keyasint,omitempty"`
}

// Run asks an agent to run a request on its endpoint.
type Run struct {
	// RunID is unique for each attempt that an entry makes.
	RunID string `cbor:"1,keyasint"`
	// Key identifies the request: a sample id ("row/sample") or a claimed
	// idempotency key. A Run whose key has a queued, running or kept run at the
	// agent attaches to that run. Empty for requests without identity.
	Key   string `cbor:"2,keyasint,omitempty"`
	Row   string `cbor:"3,keyasint"`
	Class Class  `cbor:"4,keyasint"`
	// Budget is the time left until the deadline when the message was sent.
	Budget time.Duration `cbor:"5,keyasint"`
	// Incarnation, if set, must be the agent's; otherwise the agent refuses with
	// CodeWrongIncarnation.
	Incarnation string `cbor:"6,keyasint,omitempty"`
	// Retention is how long the run goes on, and then its result is kept, after the entry
	// has disconnected; 0 cancels the run when the stream breaks.
	Retention time.Duration `cbor:"7,keyasint,omitempty"`
	// MinVersion is the oldest weight version that may be used, 0 for any.
	MinVersion uint64 `cbor:"8,keyasint,omitempty"`
	// Exactly one of Generate and Call is set.
	Generate *Generate `cbor:"9,keyasint,omitempty"`
	Call     *Call     `cbor:"10,keyasint,omitempty"`
	// AttachOnly makes the agent refuse with CodeNoEndpoint (not run) if it has no run
	// of the key.
	AttachOnly bool `cbor:"11,keyasint,omitempty"`
	// ExpectedTokens is the expected remaining length in tokens, which orders the queue.
	ExpectedTokens int `cbor:"12,keyasint,omitempty"`
	// NonIdempotent marks a run that is sent to the endpoint at most once.
	NonIdempotent bool `cbor:"13,keyasint,omitempty"`
	// ChunkInterval is the minimum time between two chunks after the first; chunks
	// that come sooner are sent as one. 0 sends each chunk as it comes.
	ChunkInterval time.Duration `cbor:"14,keyasint,omitempty"`
}

// Generate is a completion on a model engine. With a Prefix it resumes after that text.
type Generate struct {
	Model       string            `cbor:"1,keyasint"`
	Prompt      string            `cbor:"2,keyasint"`
	MaxTokens   int               `cbor:"3,keyasint"`
	Temperature float64           `cbor:"4,keyasint,omitempty"`
	Seed        int64             `cbor:"5,keyasint,omitempty"`
	Prefix      string            `cbor:"6,keyasint,omitempty"`
	PrefixSpans []api.VersionSpan `cbor:"7,keyasint,omitempty"`
}

// Call is a call of a plain service.
type Call struct {
	Method string              `cbor:"1,keyasint"`
	Path   string              `cbor:"2,keyasint"`
	Header map[string][]string `cbor:"3,keyasint,omitempty"`
	Body   []byte              `cbor:"4,keyasint,omitempty"`
}

// Reply is one message of the answer to a Request.
type Reply struct {
	Header Header `cbor:"1,keyasint"`
	// Chunk is a piece of a running generation. The first chunk for a request that
	// attached to a run holds all the text so far.
	Chunk *Chunk `cbor:"2,keyasint,omitempty"`
	// Done is the result of a run and the last message of its answer.
	Done *Done `cbor:"3,keyasint,omitempty"`
	// Refusal is the last message of any call that is refused or fails.
	Refusal *api.Refusal `cbor:"4,keyasint,omitempty"`
	// Report is the agent's state; any reply may contain it.
	Report *Report        `cbor:"5,keyasint,omitempty"`
	Table  *TableDocument `cbor:"6,keyasint,omitempty"`
	// Fenced answers a Fence.
	Fenced *Fenced `cbor:"7,keyasint,omitempty"`
	// Part is a piece of a weight part; the last piece has Last set.
	Part   *PartData `cbor:"8,keyasint,omitempty"`
	Gossip *Gossip   `cbor:"9,keyasint,omitempty"`
	// OK is the last message of calls that return no data.
	OK bool `cbor:"10,keyasint,omitempty"`
	// Manifest answers a PullManifest.
	Manifest *platform.WeightManifest `cbor:"11,keyasint,omitempty"`
}

// Chunk is a piece of a generation.
type Chunk struct {
	Text  string            `cbor:"1,keyasint"`
	Spans []api.VersionSpan `cbor:"2,keyasint"`
	// Whole is set on the first chunk after attaching: the chunk replaces all the
	// text received so far, prefix included. Other chunks are appended.
	Whole bool `cbor:"3,keyasint,omitempty"`
}

// Done is a run's result. For a generation Text and Spans are the whole
// answer, prefix included, so that a reader that missed chunks gets all of it.
type Done struct {
	RunID        string            `cbor:"1,keyasint"`
	Text         string            `cbor:"2,keyasint,omitempty"`
	Spans        []api.VersionSpan `cbor:"3,keyasint,omitempty"`
	FinishReason string            `cbor:"4,keyasint,omitempty"`
	Answer       *Answer           `cbor:"5,keyasint,omitempty"`
}

// Answer is a plain service's answer.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}

// Fence tells an agent never to start a run of Key unless it has started one already.
type Fence struct {
	Key string `cbor:"1,keyasint"`
	// Incarnation, if set, must be the agent's; otherwise the agent refuses with
	// CodeWrongIncarnation.
	Incarnation string `cbor:"2,keyasint,omitempty"`
}

// FenceState is the state of a fenced key at an agent.
type FenceState uint8

// States of a fenced key.
const (
	// FenceNeverRan: the key was not started and now never will be by this incarnation.
	FenceNeverRan FenceState = iota + 1
	// FenceRunning: the key is running; a Run with AttachOnly waits for it.
	FenceRunning
	// FenceDone: the key has run; a Run with AttachOnly gets the result if it is still kept.
	FenceDone
)

// Fenced answers a Fence.
type Fenced struct {
	State FenceState `cbor:"1,keyasint"`
	// Incarnation is the agent's incarnation that the fence applies to.
	Incarnation string `cbor:"2,keyasint,omitempty"`
}

// Forget tells an agent to drop the results of confirmed keys.
type Forget struct {
	Keys []string `cbor:"1,keyasint"`
}

// Watch subscribes to an agent's reports: one at once, one on each change (at
// most one per MinInterval) and one per MaxInterval as a heartbeat.
type Watch struct {
	MinInterval time.Duration `cbor:"1,keyasint"`
	MaxInterval time.Duration `cbor:"2,keyasint"`
}

// ModelReport is the state of one model on an agent's engine.
type ModelReport struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Ready is false while weights are loading and after a load failed partway.
	Ready bool `cbor:"3,keyasint"`
}

// RowLoad is the load of a row at one agent, in requests.
type RowLoad struct {
	Row     string `cbor:"1,keyasint"`
	Queued  int    `cbor:"2,keyasint,omitempty"`
	Running int    `cbor:"3,keyasint,omitempty"`
}

// Report is an agent's state.
type Report struct {
	// Seq grows with each report of an incarnation; reports that arrive out of order are
	// dropped.
	Seq      uint64 `cbor:"1,keyasint"`
	Zone     string `cbor:"2,keyasint"`
	Draining bool   `cbor:"3,keyasint,omitempty"`
	// Healthy is false when the endpoint does not answer.
	Healthy bool `cbor:"4,keyasint"`
	Slots   int  `cbor:"5,keyasint"`
	// Running and Queued count requests, QueuedTokens the expected tokens of the queued
	// ones.
	Running      int           `cbor:"6,keyasint,omitempty"`
	Queued       int           `cbor:"7,keyasint,omitempty"`
	QueuedTokens int           `cbor:"8,keyasint,omitempty"`
	Models       []ModelReport `cbor:"9,keyasint,omitempty"`
	// Services are the rows of the plain services that the endpoint serves.
	Services []string  `cbor:"10,keyasint,omitempty"`
	Rows     []RowLoad `cbor:"11,keyasint,omitempty"`
	// Capacity is the number of further runs that the agent would queue.
	Capacity int `cbor:"12,keyasint,omitempty"`
}

// TableDocument is one version of the table. Version numbers only increase.
type TableDocument struct {
	Version uint64 `cbor:"1,keyasint"`
	// Body is the text of the table file. Format is "csv" or "yaml".
	Body   []byte `cbor:"2,keyasint"`
	Format string `cbor:"3,keyasint"`
	// AcceptedAt is when the table service accepted the version, by the writer's clock.
	AcceptedAt time.Time `cbor:"4,keyasint"`
}

// PullTable asks a peer for its table if it is newer than Have.
type PullTable struct {
	Have uint64 `cbor:"1,keyasint"`
}

// PullPart asks a peer for a weight part.
type PullPart struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Name    string `cbor:"3,keyasint"`
}

// PullManifest asks a peer for the manifest of a version. A refusal with
// RetryAfter, here and for PullPart, means that the peer is still fetching it.
type PullManifest struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// PartData is a piece of a weight part.
type PartData struct {
	Bytes []byte `cbor:"1,keyasint"`
	Last  bool   `cbor:"2,keyasint,omitempty"`
}

// Drain tells a process to stop accepting new work, as SIGTERM does.
type Drain struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// Member is what one process knows about another; processes exchange it by gossip.
type Member struct {
	ID          string        `cbor:"1,keyasint"`
	Role        platform.Role `cbor:"2,keyasint"`
	Zone        string        `cbor:"3,keyasint"`
	Addr        string        `cbor:"4,keyasint"`
	Incarnation string        `cbor:"5,keyasint"`
	// TableVersion is the newest table version known to be in force there.
	TableVersion uint64 `cbor:"6,keyasint"`
	// Leaving, once true, stays true for the incarnation.
	Leaving bool `cbor:"7,keyasint,omitempty"`
}

// Published is the newest weight version of a model that the sender knows.
type Published struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// RowDemand is an entry's recent demand for a row, used to divide limits among entries.
type RowDemand struct {
	Row string `cbor:"1,keyasint"`
	// PerSecond is the rate of the entry's admitted and refused requests a second.
	PerSecond float64 `cbor:"2,keyasint"`
	Running   int     `cbor:"3,keyasint,omitempty"`
}

// Gossip is exchanged between entries, or between agents, both ways in one call.
type Gossip struct {
	Members []Member    `cbor:"1,keyasint,omitempty"`
	Weights []Published `cbor:"2,keyasint,omitempty"`
	Demand  []RowDemand `cbor:"3,keyasint,omitempty"`
	Entries int         `cbor:"4,keyasint,omitempty"` // live entries in the sender's view, itself included
	// Epoch is the averaging epoch that Demand belongs to; see package limits.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	// ContentEvents are recent events of contents under which endpoints crashed.
	ContentEvents []ContentEvent `cbor:"6,keyasint,omitempty"`
}

// ContentEvent is an event of a content; see quarantine.GossipEvent.
type ContentEvent struct {
	Content   string        `cbor:"1,keyasint"`
	Kind      int           `cbor:"2,keyasint"`
	Agent     string        `cbor:"3,keyasint,omitempty"` // the agent of the endpoint that crashed
	CrashedAt int64         `cbor:"4,keyasint,omitempty"` // Unix milliseconds of the crash
	Took      time.Duration `cbor:"5,keyasint,omitempty"` // how long the run had lasted
	Trial     int           `cbor:"6,keyasint,omitempty"`
	Age       time.Duration `cbor:"7,keyasint"`
}
