package wire

import (
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/platform"
)

// Class orders requests at an agent's queue.
type Class uint8

// Classes, the more urgent first.
const (
	ClassInteractive Class = iota
	ClassTraining
)

// Header goes with every message, so that knowledge spreads with the traffic.
type Header struct {
	// From is the sender's id and Incarnation the random number it drew at its start.
	From        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// TableVersion is the table version in force at the sender.
	TableVersion uint64 `cbor:"3,keyasint"`
	// Addr is where the sender listens for our processes, "ip:port"; empty when it does not.
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
	// RunID is unique for each attempt of an entry.
	RunID string `cbor:"1,keyasint"`
	// Key is the request's identity: a sample id ("row/sample") or a claimed
	// idempotency key. A Run with a key that the agent already runs or has
	// finished attaches to it. Empty for requests without identity.
	Key   string `cbor:"2,keyasint,omitempty"`
	Row   string `cbor:"3,keyasint"`
	Class Class  `cbor:"4,keyasint"`
	// Budget is the time left until the deadline, from the moment of sending.
	Budget time.Duration `cbor:"5,keyasint"`
	// Incarnation, when set, must be the agent's, or it refuses with CodeWrongIncarnation.
	Incarnation string `cbor:"6,keyasint,omitempty"`
	// Retention keeps the run going, and its result afterwards, for this long
	// after the entry has gone; 0 cancels the run when the stream breaks.
	Retention time.Duration `cbor:"7,keyasint,omitempty"`
	// MinVersion is the oldest weight version that may be used, 0 for any.
	MinVersion uint64 `cbor:"8,keyasint,omitempty"`
	// Exactly one of Generate and Call is set.
	Generate *Generate `cbor:"9,keyasint,omitempty"`
	Call     *Call     `cbor:"10,keyasint,omitempty"`
	// AttachOnly refuses with CodeNoEndpoint (not run) unless the key is known.
	AttachOnly bool `cbor:"11,keyasint,omitempty"`
	// ExpectedTokens is the expected remaining work, for the queue's order.
	ExpectedTokens int `cbor:"12,keyasint,omitempty"`
	// NonIdempotent marks a run that is sent to the endpoint at most once.
	NonIdempotent bool `cbor:"13,keyasint,omitempty"`
	// ChunkInterval is the least time between two chunks after the first; the
	// text of more is sent as one. 0 sends each as it comes.
	ChunkInterval time.Duration `cbor:"14,keyasint,omitempty"`
}

// Generate is a completion on a model engine, perhaps resumed after a prefix.
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

// Reply is one message of an answer.
type Reply struct {
	Header Header `cbor:"1,keyasint"`
	// Chunk is a piece of a running generation. A Reply that attaches to a
	// run begins with a chunk that holds all the text so far.
	Chunk *Chunk `cbor:"2,keyasint,omitempty"`
	// Done ends a run.
	Done *Done `cbor:"3,keyasint,omitempty"`
	// Refusal ends any call.
	Refusal *api.Refusal `cbor:"4,keyasint,omitempty"`
	// Report is the agent's state; it may come with any reply.
	Report *Report        `cbor:"5,keyasint,omitempty"`
	Table  *TableDocument `cbor:"6,keyasint,omitempty"`
	// Fenced answers a Fence.
	Fenced *Fenced `cbor:"7,keyasint,omitempty"`
	// Part is a piece of a weight part; the last has Last set.
	Part   *PartData `cbor:"8,keyasint,omitempty"`
	Gossip *Gossip   `cbor:"9,keyasint,omitempty"`
	// OK ends calls that have nothing to answer.
	OK bool `cbor:"10,keyasint,omitempty"`
	// Manifest answers a PullManifest.
	Manifest *platform.WeightManifest `cbor:"11,keyasint,omitempty"`
}

// Chunk is a piece of a generation.
type Chunk struct {
	Text  string            `cbor:"1,keyasint"`
	Spans []api.VersionSpan `cbor:"2,keyasint"`
	// Whole is set on the first chunk after attaching: it replaces all the
	// text known so far, a prefix included. Other chunks are appended.
	Whole bool `cbor:"3,keyasint,omitempty"`
}

// Done is a run's result. For a generation Text and Spans are the whole
// answer, prefix included, so that a reader who missed chunks has all of it.
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

// Fence tells an agent never to start a run of Key that it has not started yet.
type Fence struct {
	Key string `cbor:"1,keyasint"`
	// Incarnation, when set, must be the agent's, or it refuses with CodeWrongIncarnation.
	Incarnation string `cbor:"2,keyasint,omitempty"`
}

// FenceState is what an agent says of a fenced key.
type FenceState uint8

// States of a fenced key.
const (
	// FenceNeverRan: the key was not started and now never will be by this incarnation.
	FenceNeverRan FenceState = iota + 1
	// FenceRunning: the key is running; a Run with AttachOnly waits for it.
	FenceRunning
	// FenceDone: the key ran; a Run with AttachOnly gets the result if it is still kept.
	FenceDone
)

// Fenced answers a Fence.
type Fenced struct {
	State FenceState `cbor:"1,keyasint"`
	// Incarnation is the one that the fence holds for.
	Incarnation string `cbor:"2,keyasint,omitempty"`
}

// Forget lets an agent drop the results of confirmed keys.
type Forget struct {
	Keys []string `cbor:"1,keyasint"`
}

// Watch asks an agent for its reports: one at once, one on each change (at
// most one per MinInterval) and one per MaxInterval as heartbeat.
type Watch struct {
	MinInterval time.Duration `cbor:"1,keyasint"`
	MaxInterval time.Duration `cbor:"2,keyasint"`
}

// ModelReport is one model on an agent's engine.
type ModelReport struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Ready is false while a load runs or after one failed partway.
	Ready bool `cbor:"3,keyasint"`
}

// RowLoad is a row's load at one agent.
type RowLoad struct {
	Row     string `cbor:"1,keyasint"`
	Queued  int    `cbor:"2,keyasint,omitempty"`
	Running int    `cbor:"3,keyasint,omitempty"`
}

// Report is an agent's state.
type Report struct {
	// Seq grows with each report of an incarnation; late reports are dropped.
	Seq      uint64 `cbor:"1,keyasint"`
	Zone     string `cbor:"2,keyasint"`
	Draining bool   `cbor:"3,keyasint,omitempty"`
	// Healthy is false when the endpoint does not answer.
	Healthy bool `cbor:"4,keyasint"`
	Slots   int  `cbor:"5,keyasint"`
	// Running and Queued count requests, QueuedTokens their expected tokens.
	Running      int           `cbor:"6,keyasint,omitempty"`
	Queued       int           `cbor:"7,keyasint,omitempty"`
	QueuedTokens int           `cbor:"8,keyasint,omitempty"`
	Models       []ModelReport `cbor:"9,keyasint,omitempty"`
	// Services are the rows of the plain services that the endpoint serves.
	Services []string  `cbor:"10,keyasint,omitempty"`
	Rows     []RowLoad `cbor:"11,keyasint,omitempty"`
	// Capacity is how many more runs the agent would queue.
	Capacity int `cbor:"12,keyasint,omitempty"`
}

// TableDocument is one version of the table. Versions only grow.
type TableDocument struct {
	Version uint64 `cbor:"1,keyasint"`
	// Body is the table file's text, Format "csv" or "yaml".
	Body   []byte `cbor:"2,keyasint"`
	Format string `cbor:"3,keyasint"`
	// AcceptedAt is when the table service accepted it, by the writer's clock.
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
// RetryAfter, here and of PullPart, says that the answer is on its way there.
type PullManifest struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// PartData is a piece of a weight part.
type PartData struct {
	Bytes []byte `cbor:"1,keyasint"`
	Last  bool   `cbor:"2,keyasint,omitempty"`
}

// Drain asks a process to stop taking new work, as SIGTERM does.
type Drain struct {
	Reason string `cbor:"1,keyasint,omitempty"`
}

// Member is what one process knows of another, passed on in gossip.
type Member struct {
	ID          string        `cbor:"1,keyasint"`
	Role        platform.Role `cbor:"2,keyasint"`
	Zone        string        `cbor:"3,keyasint"`
	Addr        string        `cbor:"4,keyasint"`
	Incarnation string        `cbor:"5,keyasint"`
	// TableVersion is the newest version known to be in force there.
	TableVersion uint64 `cbor:"6,keyasint"`
	// Leaving is sticky for an incarnation.
	Leaving bool `cbor:"7,keyasint,omitempty"`
}

// Published is the newest weight version known of a model.
type Published struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// RowDemand is an entry's recent demand of a row, used to share limits out.
type RowDemand struct {
	Row string `cbor:"1,keyasint"`
	// PerSecond is the entry's admitted and refused requests a second.
	PerSecond float64 `cbor:"2,keyasint"`
	Running   int     `cbor:"3,keyasint,omitempty"`
}

// Gossip is exchanged between entries, both ways in one call.
type Gossip struct {
	Members []Member    `cbor:"1,keyasint,omitempty"`
	Weights []Published `cbor:"2,keyasint,omitempty"`
	Demand  []RowDemand `cbor:"3,keyasint,omitempty"`
	Entries int         `cbor:"4,keyasint,omitempty"` // entries that the sender believes live
	// Epoch is the averaging that Demand belongs to; see package limits.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	// ContentEvents is what has happened lately to contents under which endpoints ended.
	ContentEvents []ContentEvent `cbor:"6,keyasint,omitempty"`
}

// ContentEvent is what happened to a content; see quarantine.GossipEvent.
type ContentEvent struct {
	Content   string        `cbor:"1,keyasint"`
	Kind      int           `cbor:"2,keyasint"`
	Agent     string        `cbor:"3,keyasint,omitempty"` // beside the endpoint that ended
	CrashedAt int64         `cbor:"4,keyasint,omitempty"` // Unix milliseconds of the end
	Took      time.Duration `cbor:"5,keyasint,omitempty"` // how long the run had gone on
	Trial     int           `cbor:"6,keyasint,omitempty"`
	Age       time.Duration `cbor:"7,keyasint"`
}
