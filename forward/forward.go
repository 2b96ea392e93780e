// Package forward sends clients' requests on to the endpoints of their routes:
// it picks an endpoint, repeats what may be repeated, and says truly of each
// failure whether the request can have run.
package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
	"mulberryscale.example/picker"
	"mulberryscale.example/quarantine"
)

// Request is a client's request, read whole.
type Request struct {
	ID    string
	Route *fleet.Route
	// Organisation is the name of the one that sends it; empty for none.
	Organisation string
	Method       string
	// Target is the path with its query as the client sent it.
	Target string
	Host   string
	Header http.Header // what is to be passed on
	Body   []byte
	// Deadline is when the client stops waiting; zero is never.
	Deadline time.Time
	// LastEventID is the last event of a stream that the client has.
	LastEventID string
	// Reached is how many endpoints it may have reached so far. Do counts it, so that
	// a stream which is resumed again and again reaches no more than its route allows.
	Reached int
}

// fingerprint names the request's content: who asks for what, whatever its id.
func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.Organisation, r.Host, r.Method, r.Target, string(r.Body))
}

// Answer is an endpoint's answer.
type Answer struct {
	Status int
	Header http.Header // what is to be passed on
	// Body is the whole body; it is nil for a stream.
	Body []byte
	// Stream is the answer of a streaming route.
	Stream Events
	// Declined says that the endpoint did not run the request and never will.
	Declined bool
	// Failures is how many endpoints answered the request with a failure of
	// their own, this answer's among them.
	Failures int
	// Load is what the endpoint tells of itself; nil if it does not.
	Load *fleet.Load
	// Signature is the endpoint's signature of the answer, empty if it has none.
	Signature string
}

// Events are the events of a streamed answer, each as the bytes that the
// endpoint sent, with its id. Next returns io.EOF after the last.
type Events interface {
	Next() (raw []byte, id string, err error)
	Close()
}

// Errors of a Sender.
var (
	// ErrUnsent says that nothing was sent.
	ErrUnsent = errors.New("forward: not sent")
	// ErrBroken says that the request was sent and no readable answer came.
	ErrBroken = errors.New("forward: no whole answer")
)

// Sender sends a request to one endpoint, once.
type Sender interface {
	// Send returns the endpoint's answer. Its error is, or wraps, ErrUnsent or
	// ErrBroken. It reads the whole body unless the route streams.
	Send(ctx context.Context, to fleet.Instance, r *Request, timeLeft time.Duration) (*Answer, error)
}

// Refusal is an answer of our own.
type Refusal struct {
	// NotRun says that the request has not run and never will.
	NotRun bool
	// Reason is counted and logged.
	Reason string
	// RetryAfter is when the client may come back.
	RetryAfter time.Duration
	// Failures is how many endpoints answered with a failure of their own.
	Failures int
	// Cause is the last endpoint's error, if any.
	Cause error
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Cause != nil {
		return "forward: " + r.Reason + ": " + r.Cause.Error()
	}
	return "forward: " + r.Reason
}

// Unwrap gives the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// Reasons of refusals and retries.
const (
	ReasonNoEndpoint = "no_endpoint"
	ReasonDeclined   = "declined"
	ReasonUnsent     = "unsent"
	ReasonBroken     = "broken"
	ReasonFailed     = "failed"
	ReasonSlow       = "slow"
	ReasonTimeout    = "timeout"
	ReasonClientGone = "client_gone"
	// ReasonQuarantined says that endpoints have ended under the request's content.
	ReasonQuarantined = "held"
)

// Times of a request's attempts.
const (
	// retryAfter is what refused clients are told: long enough for the list of
	// instances to change, and short against their deadlines.
	retryAfter = 200 * time.Millisecond
	// hedgeShare is the share of the objective after which a request that may
	// run twice is sent to a second endpoint as well.
	hedgeShare = 0.6
	// minHedge keeps short objectives from doubling every request.
	minHedge = 50 * time.Millisecond
	// answerSlack is taken off the route's timeout to write the answer.
	answerSlack = 20 * time.Millisecond
)

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	View     *fleet.View
	Sender   Sender
	Zone     string
	Log      logrus.FieldLogger
	Counters *observe.Counters
	// OnRunStarted, if set, is told of each run that an endpoint begins, with its
	// organisation. What it returns is called if the endpoint turns out not to have
	// begun it. It is set before the first request.
	OnRunStarted func(organisation string, at time.Time) (withdraw func())
	// Meter, if set, is told of each send to an endpoint and, by what it returns, of
	// its end. It is set before the first request.
	Meter func(to fleet.Instance) (end func())

	// Quarantine keeps requests that end endpoints away from them. It may be replaced
	// before the first request by one that tells other processes.
	Quarantine *quarantine.Tracker

	picker    *picker.Picker
	abandoned abandonedSends
}

// New returns a forwarder.
func New(view *fleet.View, sender Sender, zone string, log logrus.FieldLogger, counters *observe.Counters) *Forwarder {
	return &Forwarder{
		View: view, Sender: sender, Zone: zone, Log: log, Counters: counters, picker: picker.New(),
		Quarantine: quarantine.Local(nil, log, counters),
	}
}

// Do forwards a request and returns an endpoint's answer or a *Refusal.
func (f *Forwarder) Do(ctx context.Context, r *Request) (*Answer, error) {
	began := time.Now()
	f.picker.Prune(f.View.Snapshot())
	limit := r.Route.Timeout - answerSlack
	if !r.Deadline.IsZero() {
		limit = min(limit, time.Until(r.Deadline)-answerSlack)
	}
	bounded, cancel := context.WithTimeoutCause(ctx, limit, errTimeout)
	c := &call{Forwarder: f, request: r, fingerprint: r.fingerprint(), tried: map[fleet.Incarnation]bool{}, unanswered: map[fleet.Incarnation]abandonedSend{}, results: make(chan attempt, maxParallel)}
	answer, err := c.admitAndRun(bounded)
	r.Reached += c.sent
	if err != nil {
		c.keepAbandoned()
	}
	if answer != nil && answer.Stream != nil {
		answer.Stream = &observedStream{Events: answer.Stream, call: c, ctx: bounded, cancel: cancel}
	} else {
		cancel()
	}
	f.logOutcome(r, c, answer, err, time.Since(began))
	return answer, err
}

var errTimeout = errors.New("forward: route's timeout or client's deadline reached")

// logOutcome logs and counts what became of a request.
func (f *Forwarder) logOutcome(r *Request, c *call, answer *Answer, err error, took time.Duration) {
	f.Counters.Observe(observe.NameForward, r.Route.Name, took)
	log := f.Log.WithFields(logrus.Fields{
		observe.FieldRequest: r.ID, "route": r.Route.Name, "attempts": c.sent, "took_ms": took.Milliseconds(),
		"config": f.View.Snapshot().Config.Version, "engine": c.lastTo.ID, observe.FieldOrganisation: r.Organisation,
		observe.FieldContent: c.fingerprint,
	})
	if err == nil {
		log.WithField("status", answer.Status).Info("request answered")
		return
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		f.Counters.Add(observe.NameForwardRefusals, refusal.Reason, 1)
		log = log.WithFields(logrus.Fields{"reason": refusal.Reason, "not_run": refusal.NotRun})
	}
	log.WithError(err).Warn("request not answered")
}
