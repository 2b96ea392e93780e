package daemon

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/buildid"
	"mulberryscale.example/observe"
)

// DefaultDrainTimeout bounds a drain if Program.DrainTimeout is not set. It is long
// enough for a step in progress: trainers' deadlines are 6 minutes unless their rows
// say otherwise.
const DefaultDrainTimeout = 10 * time.Minute

// stopTimeout is how long Serve may take to return after its context is cancelled.
const stopTimeout = 10 * time.Second

// Errors of Run.
var (
	// ErrDrainTimeout means that requests were still running at the drain timeout.
	ErrDrainTimeout = errors.New("daemon: drain timeout: requests were cut off")
	// ErrStoppedAtOnce means that a second signal interrupted the drain.
	ErrStoppedAtOnce = errors.New("daemon: stopped at once by a second signal")
	errStopTimeout   = errors.New("daemon: the program did not stop")
)

// Program is a long-running program.
type Program struct {
	// Name identifies this process in log lines, as the field "process".
	Name string
	Log  *logrus.Logger
	// Counters are served to operators.
	Counters *observe.Counters
	// AdminAddr is the address of the operators' listener, "ip:port"; empty for none.
	AdminAddr string
	// AdminToken is the bearer token of operators' calls; if empty, all calls that
	// need a token are refused.
	AdminToken string
	// Routes are additional routes of the operators' listener.
	Routes []Route
	// DrainTimeout bounds the drain; 0 is DefaultDrainTimeout.
	DrainTimeout time.Duration
	// UnreadyDelay is how long the program reports itself unready before the drain
	// starts, so that load balancers stop sending requests.
	UnreadyDelay time.Duration
	// Serve runs the program until its context is cancelled.
	Serve func(ctx context.Context) error
	// Drain refuses new work and returns when all running work has finished. It may be nil.
	Drain func(ctx context.Context) error
	// Ready reports whether the program accepts new requests; a draining program is
	// never ready. It may be nil.
	Ready func() bool
}

// Run serves until SIGTERM, SIGINT, POST /drain or the cancellation of ctx, then
// drains and stops. A second signal stops the program at once.
func Run(ctx context.Context, p Program) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return run(ctx, p, signals)
}

// runner is the state of one Run.
type runner struct {
	Program
	unready        atomic.Bool
	drainRequested chan struct{} // buffer of one; signalled by POST /drain
	signals        <-chan os.Signal
}

func run(ctx context.Context, p Program, signals <-chan os.Signal) error {
	r := &runner{Program: p, drainRequested: make(chan struct{}, 1), signals: signals}
	if r.DrainTimeout <= 0 {
		r.DrainTimeout = DefaultDrainTimeout
	}
	r.log().WithField(observe.FieldBuild, buildid.Own()).Info("starting")
	admin, err := r.startAdmin()
	if err != nil {
		return err
	}
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	served := make(chan error, 1)
	go func() { served <- p.Serve(serveCtx) }()
	err = r.serve(ctx, served, stop)
	return errors.Join(err, admin.close())
}

// serve waits until Serve returns or a stop is requested, then drains and stops the program.
func (r *runner) serve(ctx context.Context, served <-chan error, stop context.CancelFunc) error {
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		r.log().Info("stopping")
	case <-r.drainRequested:
		r.log().Info("draining on an operator's call")
	case s := <-r.signals:
		r.log().WithField("signal", s.String()).Info("draining on a signal")
	}
	r.unready.Store(true)
	drainErr := r.drain()
	stop()
	select {
	case err := <-served:
		return errors.Join(drainErr, err)
	case <-r.signals:
		return errors.Join(drainErr, ErrStoppedAtOnce)
	case <-time.After(stopTimeout):
		return errors.Join(drainErr, errStopTimeout)
	}
}

// drain waits for the program's Drain, the drain timeout or another signal.
func (r *runner) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), r.UnreadyDelay+r.DrainTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- r.unreadyThenDrain(ctx) }()
	select {
	case err := <-done:
		return r.drainError(ctx, err)
	case <-ctx.Done():
		return r.drainError(ctx, context.Cause(ctx))
	case <-r.signals:
		return ErrStoppedAtOnce
	}
}

func (r *runner) unreadyThenDrain(ctx context.Context) error {
	select {
	case <-time.After(r.UnreadyDelay):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if r.Program.Drain == nil {
		return nil
	}
	return r.Program.Drain(ctx)
}

func (r *runner) drainError(ctx context.Context, err error) error {
	if err == nil {
		r.log().Info("drained")
		return nil
	}
	if ctx.Err() != nil {
		return ErrDrainTimeout
	}
	return trace.Wrap(err, "daemon: drain")
}

func (r *runner) log() *logrus.Entry {
	return r.Log.WithField(observe.FieldProcess, r.Name)
}
