package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/sirupsen/logrus"
	"github.com/tmaxmax/go-sse"

	"mulberryscale.example/api"
	"mulberryscale.example/generation"
	"mulberryscale.example/observe"
	"mulberryscale.example/table"
)

const (
	// maxStepSamples bounds the samples of one step request.
	maxStepSamples = 1 << 16
	// maxIDLength bounds the ids of samples and groups and the names of steps, in bytes.
	maxIDLength = 256
	// heartbeatInterval is how often a step's answer shows that its entry lives.
	heartbeatInterval = time.Second
	// eventWriteTimeout is how long a trainer or caller may take to read so far
	// that an event can be written; then its connection counts as broken.
	eventWriteTimeout = 30 * time.Second
	// handOverTime bounds the closing of steps at the end of a drain.
	handOverTime = 2 * time.Second
)

// handleStep serves POST /v1/trainers/{row}/steps/{step}.
func (e *Entry) handleStep(c iris.Context) {
	row, refusal := e.row(c.Params().Get("row"), table.KindTrainer)
	if refusal != nil {
		e.refuse(c, c.Params().Get("row"), refusal)
		return
	}
	var req api.StepRequest
	if refusal := e.readJSON(c, &req); refusal != nil {
		e.refuse(c, row.Name, refusal)
		return
	}
	step := c.Params().Get("step")
	if err := checkStep(step, &req); err != nil {
		e.refuse(c, row.Name, e.refusal(api.CodeBadRequest, err.Error(), StepRead, 0))
		return
	}
	ctx, cancel, refusal := e.withDeadline(c, row)
	if refusal != nil {
		e.refuse(c, row.Name, refusal)
		return
	}
	defer cancel()
	end, ok := e.sessions.begin(sessionKey{row.Name, step}, req.Session, cancel)
	if !ok {
		e.refuse(c, row.Name, e.refusal(api.CodeFenced, "a newer session of this step is known here", StepStep, 0))
		return
	}
	defer end()
	e.answerStep(ctx, c, row, &req)
}

func checkStep(name string, req *api.StepRequest) error {
	if len(name) > maxIDLength {
		return fmt.Errorf("a step's name must not be longer than %d bytes", maxIDLength)
	}
	if len(req.Samples) == 0 {
		return errors.New("samples must name at least one sample")
	}
	if len(req.Samples) > maxStepSamples {
		return fmt.Errorf("a step has at most %d samples", maxStepSamples)
	}
	if len(req.Hints) > len(req.Samples) {
		return errors.New("hints must not name more samples than the step")
	}
	if req.WaitFor < 0 || req.Held < 0 {
		return errors.New("wait_for and held must not be negative")
	}
	seen := make(map[string]bool, len(req.Samples))
	for i := range req.Samples {
		if err := checkSample(&req.Samples[i], seen); err != nil {
			return fmt.Errorf("samples[%d]: %w", i, err)
		}
	}
	return nil
}

func checkSample(s *api.SampleRequest, seen map[string]bool) error {
	switch {
	case s.ID == "":
		return errors.New("id is missing")
	case seen[s.ID]:
		return fmt.Errorf("id %q stands twice", s.ID)
	case len(s.ID) > maxIDLength || len(s.Group) > maxIDLength:
		return fmt.Errorf("id and group must not be longer than %d bytes", maxIDLength)
	case s.Prompt == "":
		return errors.New("prompt is missing")
	case s.MaxTokens <= 0 || s.MaxTokens > maxTokensBound:
		return fmt.Errorf("max_tokens must be between 1 and %d", maxTokensBound)
	}
	seen[s.ID] = true
	return nil
}

// answerStep runs the step and streams its samples.
func (e *Entry) answerStep(ctx context.Context, c iris.Context, row *table.Row, req *api.StepRequest) {
	sink := newStepSink(c.ResponseWriter())
	stop := sink.startHeartbeats()
	defer stop()
	defer e.observeSince(observe.NameStepTime, row.Name, time.Now())
	minVersion := generation.OldestAllowed(req.Version, row.StalenessBound)
	end, err := e.runner.Run(ctx, row, req, minVersion, sink)
	if err != nil {
		refusal := e.stepRefusal(err)
		e.countRefusal(row.Name, refusal)
		e.tellEnd(row, req, sink.event(api.EventRefusal, refusal))
		return
	}
	e.cfg.Counters.Add(observe.NameSamples, row.Name, int64(end.Delivered))
	e.tellEnd(row, req, sink.event(api.EventEnd, end))
}

// tellEnd logs that the end of a step did not reach its trainer, which then
// asks for the step again.
func (e *Entry) tellEnd(row *table.Row, req *api.StepRequest, err error) {
	if err != nil {
		e.cfg.Log.WithError(err).WithFields(logrus.Fields{"row": row.Name, "session": req.Session}).Info("step's end not sent")
	}
}

// stepRefusal closes a step that did not come to its end: some of its samples
// may have run, and the trainer asks for them again.
func (e *Entry) stepRefusal(err error) *api.Refusal {
	r := e.refusal(api.CodeCancelled, "the step's connection is gone: "+err.Error(), StepStep, drainingRetryAfter)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		r.Code = api.CodeDeadline
		r.Message = "the step's deadline passed"
	case e.draining.Load():
		r.Code = api.CodeDraining
		r.Message = "this entry instance is stopping; the step goes on at another"
	}
	r.NotRun = api.NotRunUnknown
	return r
}

// handleConfirm serves POST /v1/trainers/{row}/steps/{step}/confirm.
func (e *Entry) handleConfirm(c iris.Context) {
	row, refusal := e.row(c.Params().Get("row"), table.KindTrainer)
	if refusal != nil {
		e.refuse(c, c.Params().Get("row"), refusal)
		return
	}
	var req api.ConfirmRequest
	if refusal := e.readJSON(c, &req); refusal != nil {
		e.refuse(c, row.Name, refusal)
		return
	}
	if err := e.runner.Confirm(c.Request().Context(), row.Name, &req); err != nil {
		e.refuse(c, row.Name, e.refusal(api.CodeBadRequest, err.Error(), StepRead, 0))
		return
	}
	c.StatusCode(http.StatusNoContent)
}

// stepSink writes a step's events. It is safe for concurrent use.
type stepSink struct {
	// turn holds the one token of the writer; a write lasts as long as the
	// trainer takes to read, at most eventWriteTimeout.
	turn chan struct{}
	w    http.ResponseWriter
	// conn is the connection below w, which hides it.
	conn *http.ResponseController
}

// responseWriter is what iris answers a request with.
type responseWriter interface {
	http.ResponseWriter
	Naive() http.ResponseWriter
}

func newStepSink(w responseWriter) *stepSink {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	return &stepSink{w: w, conn: http.NewResponseController(w.Naive()), turn: make(chan struct{}, 1)}
}

// Sample implements rollout.ResultHandler.
func (s *stepSink) Sample(sample *api.Sample) error { return s.event(api.EventSample, sample) }

// Placement implements rollout.ResultHandler.
func (s *stepSink) Placement(p api.Placement) error { return s.event(api.EventPlacement, p) }

func (s *stepSink) event(name string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.write(func() error { return writeEvent(s.w, name, body) })
}

// write calls f, which writes to w, in turn and with a deadline. A write that
// fails ends the request's context, as net/http has it, and thus the session.
func (s *stepSink) write(f func() error) error {
	s.turn <- struct{}{}
	defer func() { <-s.turn }()
	return writeInTime(s.conn, f)
}

// writeInTime calls f, which writes to the connection; the write fails when the
// reader takes longer than eventWriteTimeout.
func writeInTime(conn *http.ResponseController, f func() error) error {
	err := conn.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) { // a writer that is no connection has no deadline
		return err
	}
	return f()
}

// startHeartbeats sends comments until the returned function is called.
func (s *stepSink) startHeartbeats() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				s.heartbeat()
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

func (s *stepSink) heartbeat() {
	m := &sse.Message{}
	m.AppendComment("heartbeat")
	// A failed write ends the request's context.
	_ = s.write(func() error {
		if _, err := m.WriteTo(s.w); err != nil {
			return err
		}
		return http.NewResponseController(s.w).Flush()
	})
}

// sessionKey names a step of a trainer's row.
type sessionKey struct{ row, step string }

// sessions holds the newest session of each step that runs at this entry, so
// that an older connection of the same step is given up.
type sessions struct {
	mu      sync.Mutex
	running map[sessionKey]*session
}

type session struct {
	number uint64
	cancel context.CancelFunc
}

func newSessions() *sessions { return &sessions{running: map[sessionKey]*session{}} }

// begin makes number the step's session and cancels an older one; ok is false
// when a newer one runs. end is called when the session ends.
func (s *sessions) begin(key sessionKey, number uint64, cancel context.CancelFunc) (end func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.running[key]
	if old != nil && old.number > number {
		return nil, false
	}
	if old != nil {
		old.cancel()
	}
	mine := &session{number: number, cancel: cancel}
	s.running[key] = mine
	return func() { s.end(key, mine) }, true
}

// handOver cancels all sessions, whose trainers then go to another entry.
func (s *sessions) handOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, running := range s.running {
		running.cancel()
	}
}

func (s *sessions) end(key sessionKey, mine *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[key] == mine {
		delete(s.running, key)
	}
}
