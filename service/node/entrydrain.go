package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/drain"
)

// answerShare is the share of the plan's reserve that aborted requests have to write their
// answers.
const answerShare = 0.25

// drain continues to serve until the balancer and the clients have noticed, then waits for the
// requests in flight and aborts those that exceed the grace period.
func (e *Entry) drain(clients *http.Server) {
	plan := drain.NewPlan(e.settings.Grace)
	e.stop.Begin()
	abortAt := time.Now().Add(plan.Abort)
	e.log.WithFields(logrus.Fields{
		"in_flight": e.inFlight.Load(), "accept_ms": plan.Accept.Milliseconds(), "abort_ms": plan.Abort.Milliseconds(),
	}).Info("draining")
	time.Sleep(plan.Accept)
	ctx, cancel := context.WithDeadline(context.Background(), abortAt)
	defer cancel()
	if errors.Is(clients.Shutdown(ctx), context.DeadlineExceeded) {
		e.abortRequests(clients, time.Duration(answerShare*float64(plan.Reserve)))
	}
}

// abortRequests aborts the requests in flight. Those whose answer has not begun are answered with
// an error within answerTime, and the streams of the others are broken off.
func (e *Entry) abortRequests(clients *http.Server, answerTime time.Duration) {
	e.log.WithField("in_flight", e.inFlight.Load()).Warn("requests aborted")
	e.abort(drain.ErrEnded)
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	if err := clients.Shutdown(ctx); err != nil {
		e.log.WithError(err).WithField("in_flight", e.inFlight.Load()).Warn("requests cut off")
	}
}
