package batch

import (
	"context"
	"errors"
	"time"
)

// Errors of a run.
var (
	// ErrNotRun says that the engine did not take the request and never will.
	ErrNotRun = errors.New("batch: not run")
	// ErrFailed says that the engine failed the request; it may be tried again.
	ErrFailed = errors.New("batch: the engine failed the request")
	// ErrImpossible says that the request can never be done.
	ErrImpossible = errors.New("batch: the request can never be done")
	// ErrBroken says that the answer broke off or was not readable.
	ErrBroken = errors.New("batch: the answer broke off")
)

// Run is one send of an item to an engine.
type Run struct {
	Addr string // of the engine
	// Instance is the incarnation that must answer.
	Instance string
	Host     string
	// Organisation is the name of the one whose job it is; empty for none.
	Organisation string
	Item         *Item
	// LastEventID is the id of the last event that is known already, 0 for none.
	LastEventID int
	// Deadline is when the engine may stop.
	Deadline time.Duration
}

// Event is one event of a run.
type Event struct {
	ID      int
	Data    string
	Version uint64 // weight version that generated it
}

// Stream is a run's answer. Next returns io.EOF after the last event of a
// whole answer; any other error leaves the answer incomplete.
type Stream interface {
	Next() (Event, error)
	// Close ends the run if it still goes on.
	Close()
}

// Report is the state of an engine.
type Report struct {
	// StartedAt is the Unix millisecond of its start; 0 if it does not say.
	StartedAt int64
	Busy      bool // an order is being carried out
	Sequence  uint64
	Versions  map[string]uint64 // by model
	Running   int
	Waiting   int
}

// Order wants an engine to change the version of a model.
type Order struct {
	Addr     string
	Instance string
	Model    string
	Version  uint64
	// KeepRunning lets running requests go on under the new version; otherwise they end first.
	KeepRunning bool
	// Holder is the process that orders, Token its fencing token.
	Holder string
	Token  uint64
	// Sequence is the number of orders that the engine must have accepted so far.
	Sequence uint64
}

// EngineClient speaks to model engines.
type EngineClient interface {
	// Start sends a run. Its error is, or wraps, one of this package's.
	Start(ctx context.Context, r Run) (Stream, error)
	// Report asks for an engine's state.
	Report(ctx context.Context, addr string) (Report, error)
	// Order gives an order and returns once the engine has answered; an error
	// leaves open whether it is carried out, unless it is ErrNotRun.
	Order(ctx context.Context, o Order) error
}
