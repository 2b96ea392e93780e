package batch

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a run.
var (
	// ErrNotRun says that the engine did not accept the request and will not run it later.
	ErrNotRun = errors.New("batch: not run")
	// ErrMisdirected says that another incarnation than the expected one answered. It wraps
	// ErrNotRun.
	ErrMisdirected = fmt.Errorf("%w: another incarnation answered", ErrNotRun)
	// ErrUnreachable says that the engine refuses connections: it has crashed or left. It wraps ErrNotRun.
	ErrUnreachable = fmt.Errorf("%w: the engine refuses connections", ErrNotRun)
	// ErrFailed says that the engine failed the request, which may be retried.
	ErrFailed = errors.New("batch: the engine failed the request")
	// ErrImpossible says that the request can never succeed.
	ErrImpossible = errors.New("batch: the request can never be done")
	// ErrBroken says that the answer broke off or was not readable.
	ErrBroken = errors.New("batch: the answer broke off")
)

// Run is one attempt at an item on an engine.
type Run struct {
	Addr string // address of the engine
	// Instance is the id of the incarnation that must answer.
	Instance string
	Host     string
	// Organisation is the name of the organisation that owns the job; empty for none.
	Organisation string
	Item         *Item
	// LastEventID is the id of the last event that earlier attempts received, 0 for none.
	LastEventID int
	// Deadline is the time after which the engine may stop.
	Deadline time.Duration
}

// Event is one event of the answer to a run.
type Event struct {
	ID      int
	Data    string
	Version uint64 // weight version that generated the data
}

// Stream is the answer to a run. Next returns io.EOF after the last event of a complete
// answer; any other error leaves the answer incomplete.
type Stream interface {
	Next() (Event, error)
	// Close cancels the run if it has not completed.
	Close()
}

// PaceReporter is implemented by a Stream whose answer named the pace of its engine.
type PaceReporter interface {
	// Pace returns the time that work took at the engine when the run began, in hundredths of
	// the usual time; 0 if it was not reported.
	Pace() int
}

// Report is the state of an engine as it reports it.
type Report struct {
	// StartedAt is when the engine started, in Unix milliseconds; 0 if it does not say.
	StartedAt int64
	Busy      bool              // an order is being carried out
	Sequence  uint64            // number of orders accepted so far
	Versions  map[string]uint64 // by model
	Running   int
	Waiting   int
}

// Order tells an engine to change the weight version of a model.
type Order struct {
	Addr     string
	Instance string
	Model    string
	Version  uint64
	// KeepRunning lets running requests continue on the new version; otherwise they
	// complete first.
	KeepRunning bool
	// Holder is the process that sends the order, Token its fencing token.
	Holder string
	Token  uint64
	// Sequence is the number of orders that the engine must have accepted so far.
	Sequence uint64
}

// EngineClient sends runs and orders to model engines.
type EngineClient interface {
	// Start sends a run. Its error is, or wraps, one of this package's.
	Start(ctx context.Context, r Run) (Stream, error)
	// Report fetches the state of an engine.
	Report(ctx context.Context, addr string) (Report, error)
	// Order sends an order and returns once the engine has answered. After an error the
	// order may still be carried out, unless the error is ErrNotRun.
	Order(ctx context.Context, o Order) error
}
