package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/tmaxmax/go-sse"

	"mulberryscale.example/api"
	"mulberryscale.example/generation"
	"mulberryscale.example/observe"
	"mulberryscale.example/routing"
	"mulberryscale.example/table"
	"mulberryscale.example/wire"
)

const (
	objectCompletion  = "text_completion"
	defaultMaxTokens  = 16 // as in the OpenAI API
	maxTokensBound    = 1 << 20
	streamEndSentinel = "[DONE]"
)

// handleCompletion serves POST /v1/completions.
func (e *Entry) handleCompletion(c iris.Context) {
	var req api.CompletionRequest
	if refusal := e.readJSON(c, &req); refusal != nil {
		e.refuse(c, "", refusal)
		return
	}
	row, refusal := e.checkCompletion(&req)
	if refusal != nil {
		e.refuse(c, req.Model, refusal)
		return
	}
	id, refusal := e.identity(c)
	if refusal != nil {
		e.refuse(c, row.Name, refusal)
		return
	}
	ctx, end := e.beginCall(c, row)
	if end == nil {
		return
	}
	tokens := 0
	defer func() { end(tokens) }()
	tokens = e.answerCompletion(ctx, c, row, &req, id)
	e.cfg.Counters.Add(observe.NameTokens, row.Name, int64(tokens))
}

// beginCall sets a call's deadline and admits it under the row's limits. The caller
// calls end with the number of generated tokens when the call is done; end is nil if
// beginCall has refused the call.
func (e *Entry) beginCall(c iris.Context, row *table.Row) (ctx context.Context, end func(tokens int)) {
	ctx, cancel, refusal := e.withDeadline(c, row)
	if refusal != nil {
		e.refuse(c, row.Name, refusal)
		return nil, nil
	}
	release, refusal := e.admit(row)
	if refusal != nil {
		cancel()
		e.refuse(c, row.Name, refusal)
		return nil, nil
	}
	began := time.Now()
	return ctx, func(tokens int) {
		e.observeSince(observe.NameCallTime, row.Name, began)
		release(tokens)
		cancel()
	}
}

func (e *Entry) checkCompletion(req *api.CompletionRequest) (*table.Row, *api.Refusal) {
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	switch {
	case req.Model == "":
		return nil, e.refusal(api.CodeBadRequest, "model must name a row of the table", StepRead, 0)
	case req.Prompt == "":
		return nil, e.refusal(api.CodeBadRequest, "prompt must be a text that is not empty", StepRead, 0)
	case req.MaxTokens < 0 || req.MaxTokens > maxTokensBound:
		return nil, e.refusal(api.CodeBadRequest, "max_tokens must be between 1 and "+strconv.Itoa(maxTokensBound), StepRead, 0)
	}
	return e.row(req.Model, table.KindService, table.KindTrainer)
}

// answerCompletion runs the request and writes the response. It returns the number of
// generated tokens.
func (e *Entry) answerCompletion(ctx context.Context, c iris.Context, row *table.Row, req *api.CompletionRequest, id identity) int {
	completion := &api.Completion{
		ID: "cmpl-" + uuid.NewString(), Object: objectCompletion, Created: time.Now().Unix(), Model: req.Model,
	}
	work := &call{
		row: row, idempotent: !id.nonIdempotent,
		route: routing.Request{Model: row.Model, Zone: e.cfg.Zone, PrefixKey: routing.PrefixKey(req.Prompt)},
		template: wire.Run{Class: wire.ClassInteractive, ExpectedTokens: req.MaxTokens, Generate: &wire.Generate{
			Model: row.Model, Prompt: req.Prompt, MaxTokens: req.MaxTokens,
			Temperature: req.Temperature, Seed: req.Seed,
		}},
	}
	var stream *completionStream
	if req.Stream {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		stream = newCompletionStream(c.ResponseWriter(), completion, cancel)
		work.onText = stream.text
	}
	done, refusal := e.runIdentified(ctx, work, id, claimDigest(req))
	if refusal != nil {
		e.failCompletion(c, row.Name, stream, refusal)
		return work.progress.Tokens()
	}
	if stream != nil {
		stream.end(done)
	} else {
		e.writeCompletion(c, completion, done)
	}
	return generation.CountTokens(done.Spans)
}

func (e *Entry) failCompletion(c iris.Context, row string, stream *completionStream, refusal *api.Refusal) {
	if stream == nil || !stream.started {
		e.refuse(c, row, refusal)
		return
	}
	e.countRefusal(row, refusal)
	stream.fail(refusal)
}

func (e *Entry) writeCompletion(c iris.Context, completion *api.Completion, done *wire.Done) {
	completion.Choices = []api.Choice{{Text: done.Text, FinishReason: done.FinishReason}}
	completion.Usage = usageOf(done)
	completion.WeightVersions = done.Spans
	w := c.ResponseWriter()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderTableVersion, strconv.FormatUint(e.cfg.Holder.Version(), 10))
	if err := json.NewEncoder(w).Encode(completion); err != nil {
		e.cfg.Log.WithError(err).Debug("answer not written")
	}
}

func usageOf(done *wire.Done) *api.Usage {
	return &api.Usage{CompletionTokens: generation.CountTokens(done.Spans)}
}

// completionStream writes a completion as server-sent events.
type completionStream struct {
	w http.ResponseWriter
	// conn controls the connection, which w hides.
	conn *http.ResponseController
	// cancel cancels the request if its caller no longer reads.
	cancel     context.CancelFunc
	completion *api.Completion
	started    bool
	sent       int // bytes of the text already sent
}

// newCompletionStream returns a stream that calls cancel if a write to the caller fails.
func newCompletionStream(w responseWriter, completion *api.Completion, cancel context.CancelFunc) *completionStream {
	return &completionStream{w: w, conn: http.NewResponseController(w.Naive()), completion: completion, cancel: cancel}
}

// text sends the part of the text that has not been sent yet.
func (s *completionStream) text(p *generation.Progress) {
	if len(p.Text) <= s.sent {
		return
	}
	s.choice(api.Choice{Text: p.Text[s.sent:]})
	s.sent = len(p.Text)
}

// end sends the rest of the text, the finish reason and the closing event.
func (s *completionStream) end(done *wire.Done) {
	s.completion.Usage = usageOf(done)
	s.completion.WeightVersions = done.Spans
	s.choice(api.Choice{Text: done.Text[min(s.sent, len(done.Text)):], FinishReason: done.FinishReason})
	s.event("", []byte(streamEndSentinel))
}

// fail ends a started stream with an error event and without the closing event, so that
// no reader takes it for complete.
func (s *completionStream) fail(r *api.Refusal) {
	body, err := json.Marshal(api.ErrorBody{Error: r})
	if err != nil {
		return
	}
	s.event("error", body)
}

func (s *completionStream) choice(c api.Choice) {
	s.completion.Choices = []api.Choice{c}
	body, err := json.Marshal(s.completion)
	if err != nil {
		return
	}
	s.event("", body)
}

func (s *completionStream) event(name string, data []byte) {
	if !s.started {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
		s.started = true
	}
	if err := writeInTime(s.conn, func() error { return writeEvent(s.w, name, data) }); err != nil {
		s.cancel()
	}
}

// writeEvent writes one server-sent event and flushes it.
func writeEvent(w http.ResponseWriter, name string, data []byte) error {
	m := &sse.Message{}
	if name != "" {
		m.Type = sse.Type(name)
	}
	m.AppendData(string(data))
	if _, err := m.WriteTo(w); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
