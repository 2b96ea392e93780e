// Package forward sends clients' requests on to the endpoints of their routes: it picks an
// endpoint, retries what may be retried, and reports for each failure whether the request can
// have run.
package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/drain"
	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
	"mulberryscale.example/picker"
	"mulberryscale.example/quarantine"
)

// Request is a client's request with its whole body.
type Request struct {
	ID    string
	Route *fleet.Route
	// Organisation is the name of the organisation that sends it; empty for none.
	Organisation string
	Method       string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header http.Header // the headers to pass on
	Body   []byte
	// Arrived is when the request arrived; zero for when it is first forwarded. The route's timeout
	// counts from then, however often the request is sent.
	Arrived time.Time
	// Deadline is when the client stops waiting; zero for never.
	Deadline time.Time
	// LastEventID is the id of the last event of a stream that the client has received.
	LastEventID string
	// Reached counts the endpoints that the request may have reached so far. Do updates it, so
	// that a stream which is resumed several times reaches no more endpoints than its route
	// allows.
	Reached int
}

// fingerprint identifies the request's content: who asks for what, whatever the request's id.
func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.Organisation, r.Host, r.Method, r.Target, string(r.Body))
}

// noteArrival sets when the request arrived, unless that is known.
func (r *Request) noteArrival(now time.Time) {
	if r.Arrived.IsZero() {
		r.Arrived = now
	}
}

// limit returns when the request's final answer is due: when its route's timeout has passed since
// its arrival, or when the client stops waiting, whichever comes first.
func (r *Request) limit() time.Time {
	limit := r.Arrived.Add(r.Route.Timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(limit) {
		return r.Deadline
	}
	return limit
}

// Answer is an endpoint's answer.
type Answer struct {
	Status int
	Header http.Header // the headers to pass on
	// Body is the whole body; it is nil for a stream.
	Body []byte
	// Stream is the answer of a streaming route.
	Stream Events
	// Declined is set if the endpoint did not run the request and never will.
	Declined bool
	// Failures is the number of endpoints that answered the request with a failure of their own,
	// including this answer.
	Failures int
	// Load is the load that the endpoint reports; nil if it reports none.
	Load *fleet.Load
	// Signature is the endpoint's signature of the answer; empty if it has none.
	Signature string

	// release gives back the memory that the answer holds; nil if it is not counted.
	release func()
}

// misdirected reports whether another incarnation than the listed one declined the request.
func (a *Answer) misdirected() bool { return a.Status == http.StatusMisdirectedRequest }

// Release says that the answer has been written to the client, or cannot be. It is called at most
// once. A process counts the memory of answers until then.
func (a *Answer) Release() {
	if a.release != nil {
		a.release()
	}
}

// Events iterates over the events of a streamed answer. Next returns the bytes of an event as the
// endpoint sent them, and its id; it returns io.EOF after the last.
type Events interface {
	Next() (raw []byte, id string, err error)
	Close()
}

// Errors of a Sender.
var (
	// ErrUnsent is returned if nothing was sent.
	ErrUnsent = errors.New("forward: not sent")
	// ErrBroken is returned if the request was sent and no complete answer came.
	ErrBroken = errors.New("forward: no whole answer")
)

// Sender sends a request to one endpoint without retries.
type Sender interface {
	// Send returns the endpoint's answer. Its error is, or wraps, ErrUnsent or ErrBroken. It
	// reads the whole body unless the route streams.
	Send(ctx context.Context, to fleet.Instance, r *Request, timeLeft time.Duration) (*Answer, error)
}

// Refusal is the forwarder's own answer to a request that no endpoint answered.
type Refusal struct {
	// NotRun is set if the request has not run and never will.
	NotRun bool
	// Reason is one of the Reason constants; it is counted and logged.
	Reason string
	// RetryAfter is how long the client should wait before it asks again.
	RetryAfter time.Duration
	// Failures is the number of endpoints that answered with a failure of their own.
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

// Unwrap returns the cause.
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
	// ReasonQuarantined is for requests whose content has crashed endpoints.
	ReasonQuarantined = "held"
	// ReasonNotAdmitted is for requests that the gate of their service has refused.
	ReasonNotAdmitted = "not_admitted"
	// ReasonStopping is for requests that would not end before this process does.
	ReasonStopping = "stopping"
)

// Delays of retries, hedged requests and answers.
const (
	// retryAfter is the delay after which refused clients are asked to retry: long enough for
	// the list of instances to change, and short against the clients' deadlines.
	retryAfter = 200 * time.Millisecond
	// hedgeShare is the share of the route's objective after which a request that may run twice
	// is hedged: sent to a second endpoint as well.
	hedgeShare = 0.6
	// minHedge is the shortest hedging delay; it keeps short objectives from doubling every
	// request.
	minHedge = 50 * time.Millisecond
	// answerSlack is the time before a request's limit that is left for writing the answer.
	answerSlack = 20 * time.Millisecond
)

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	View     *fleet.View
	Sender   Sender
	Zone     string
	Log      logrus.FieldLogger
	Counters *observe.Counters
	// OnRunStarted, if set, is called for each run that an endpoint starts, with the request's
	// organisation. The function that it returns is called if the endpoint turns out not to have
	// started the run. It is set before the first request.
	OnRunStarted func(organisation string, at time.Time) (withdraw func())
	// Meter, if set, is called for each send to an endpoint; the function that it returns is
	// called when the send is over. It is set before the first request.
	Meter func(to fleet.Instance) (end func())

	// Quarantine keeps requests that crash endpoints away from them. It may be replaced before
	// the first request by one that shares its events with other processes.
	Quarantine *quarantine.Tracker

	// Gates limit what this process sends to the services that ask for it; nil sends every request
	// at once. It is set before the first request.
	Gates *Gates

	// Stop is the state of this process's stop; nil for a process that never drains. It is set
	// before the first request.
	Stop *drain.Stop

	picker    *picker.Picker
	abandoned abandonedSends
	durations *durations
}

// New returns a forwarder whose quarantine is local to this process.
func New(view *fleet.View, sender Sender, zone string, log logrus.FieldLogger, counters *observe.Counters) *Forwarder {
	return &Forwarder{
		View: view, Sender: sender, Zone: zone, Log: log, Counters: counters, picker: picker.New(),
		durations:  newDurations(time.Now()),
		Quarantine: quarantine.Local(nil, log, counters),
	}
}

// Do forwards a request and returns an endpoint's answer or a *Refusal.
func (f *Forwarder) Do(ctx context.Context, r *Request) (*Answer, error) {
	began := time.Now()
	f.picker.Prune(f.View.Snapshot())
	r.noteArrival(began)
	deadline := r.limit().Add(-answerSlack)
	bounded, cancel := context.WithDeadlineCause(ctx, deadline, errTimeout)
	c := &call{
		Forwarder: f, request: r, fingerprint: r.fingerprint(), service: f.serviceOf(r), config: f.View.Snapshot().Config,
		arrived: r.Arrived, deadline: deadline,
		tried: map[fleet.Incarnation]bool{}, unanswered: map[fleet.Incarnation]abandonedSend{}, results: make(chan attempt, maxParallel),
	}
	if c.gate = f.Gates.of(c.service); c.gate != nil && !r.Deadline.IsZero() {
		c.age = c.gate.ages.age(clientKind{r.Organisation, r.Route.Name}, r.Deadline.Sub(r.Arrived), began)
	}
	c.countArrival()
	answer, err := c.admitAndRun(bounded)
	r.Reached += c.sent
	if err != nil {
		c.keepAbandoned()
	}
	switch {
	case answer == nil:
		cancel()
	case answer.Stream != nil:
		answer.Stream = &observedStream{Events: answer.Stream, call: c, ctx: bounded, cancel: cancel}
	default:
		cancel()
		c.observeDuration()
	}
	c.holdAnswer(answer)
	c.countOutcome(answer, err, time.Since(began))
	f.logOutcome(r, c, answer, err, time.Since(began))
	return answer, err
}

var errTimeout = errors.New("forward: route's timeout or client's deadline reached")

// logOutcome logs and counts the outcome of a request.
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
		if c.logNotAdmitted(log, refusal) {
			f.Counters.Add(observe.NameForwardRefusals, refusal.Reason, 1)
			return
		}
		f.Counters.Add(observe.NameForwardRefusals, refusal.Reason, 1)
		log = log.WithFields(logrus.Fields{"reason": refusal.Reason, "not_run": refusal.NotRun})
	}
	log.WithError(err).Warn("request not answered")
}
