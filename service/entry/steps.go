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
	// maxStepSamples is the largest number of samples of one step request.
	maxStepSamples = 1 << 16
	// maxIDLength is the size limit of sample ids, group ids and step names, in bytes.
	maxIDLength = 256
	// heartbeatInterval is the interval of heartbeats in a step's event stream, which show
	// the trainer that its entry is alive.
	heartbeatInterval = time.Second
	// eventWriteTimeout is the time limit for writing an event. If a trainer or caller
	// has not read enough by then, its connection counts as broken.
	eventWriteTimeout = 30 * time.Second
	// closeStepsTimeout is the time limit for closing steps at the end of a drain.
	closeStepsTimeout = 2 * time.Second
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
	if req.WaitFor < 0 || req.Received < 0 {
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

// answerStep runs the step and streams its events.
func (e *Entry) answerStep(ctx context.Context, c iris.Context, row *table.Row, req *api.StepRequest) {
	stream := newStepStream(c.ResponseWriter())
	stop := stream.startHeartbeats()
	defer stop()
	defer e.observeSince(observe.NameStepTime, row.Name, time.Now())
	minVersion := generation.OldestAllowed(req.Version, row.StalenessBound)
	end, err := e.runner.Run(ctx, row, req, minVersion, stream)
	if err != nil {
		refusal := e.stepRefusal(err)
		e.countRefusal(row.Name, refusal)
		e.logUnsentEnd(row, req, stream.event(api.EventRefusal, refusal))
		return
	}
	e.cfg.Counters.Add(observe.NameSamples, row.Name, int64(end.Delivered))
	e.logUnsentEnd(row, req, stream.event(api.EventEnd, end))
}

// logUnsentEnd logs an error in sending the last event of a step. The trainer then
// requests the step again.
func (e *Entry) logUnsentEnd(row *table.Row, req *api.StepRequest, err error) {
	if err != nil {
		e.cfg.Log.WithError(err).WithFields(logrus.Fields{"row": row.Name, "session": req.Session}).Info("step's end not sent")
	}
}

// stepRefusal returns the refusal of a step that was not completed: some of its samples
// may have run, and the trainer requests them again.
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

// stepStream writes a step's events. It is safe for concurrent use.
type stepStream struct {
	// writing is a semaphore that allows one write at a time. A write takes as long as
	// the trainer takes to read, at most eventWriteTimeout.
	writing chan struct{}
	w       http.ResponseWriter
	// conn controls the connection, which w hides.
	conn *http.ResponseController
}

// responseWriter is the part of iris's response writer that is used here.
type responseWriter interface {
	http.ResponseWriter
	Naive() http.ResponseWriter
}

func newStepStream(w responseWriter) *stepStream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	return &stepStream{w: w, conn: http.NewResponseController(w.Naive()), writing: make(chan struct{}, 1)}
}

// Sample implements rollout.ResultHandler.
func (s *stepStream) Sample(sample *api.Sample) error { return s.event(api.EventSample, sample) }

// Placement implements rollout.ResultHandler.
func (s *stepStream) Placement(p api.Placement) error { return s.event(api.EventPlacement, p) }

func (s *stepStream) event(name string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.write(func() error { return writeEvent(s.w, name, body) })
}

// write calls f, which writes to w, after earlier writes and with a deadline. If the
// write fails, net/http cancels the request's context and thus the session.
func (s *stepStream) write(f func() error) error {
	s.writing <- struct{}{}
	defer func() { <-s.writing }()
	return writeInTime(s.conn, f)
}

// writeInTime calls f, which writes to the connection; the write fails when the
// reader takes longer than eventWriteTimeout.
func writeInTime(conn *http.ResponseController, f func() error) error {
	err := conn.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) { // not every writer supports deadlines
		return err
	}
	return f()
}

// startHeartbeats sends heartbeats, as comments, until the returned function is called.
func (s *stepStream) startHeartbeats() (stop func()) {
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

func (s *stepStream) heartbeat() {
	m := &sse.Message{}
	m.AppendComment("heartbeat")
	// A failed write cancels the request's context.
	_ = s.write(func() error {
		if _, err := m.WriteTo(s.w); err != nil {
			return err
		}
		return http.NewResponseController(s.w).Flush()
	})
}

// sessionKey identifies a step of a trainer's row.
type sessionKey struct{ row, step string }

// sessions holds the newest session of each step that runs at this entry. A newer
// session cancels an older one of the same step.
type sessions struct {
	mu      sync.Mutex
	running map[sessionKey]*session
}

type session struct {
	number uint64
	cancel context.CancelFunc
}

func newSessions() *sessions { return &sessions{running: map[sessionKey]*session{}} }

// begin registers session number of a step and cancels an older one; ok is false if a
// newer one is running. The caller calls end when the session ends.
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
	current := &session{number: number, cancel: cancel}
	s.running[key] = current
	return func() { s.end(key, current) }, true
}

// cancelAll cancels all sessions. Their trainers then connect to another entry.
func (s *sessions) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, running := range s.running {
		running.cancel()
	}
}

func (s *sessions) end(key sessionKey, ended *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[key] == ended {
		delete(s.running, key)
	}
}
