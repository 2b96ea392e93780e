package agent

import (
	"context"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/results"
	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// answerRun admits a run or attaches to an existing one, and sends its chunks and its
// final reply.
func (a *Agent) answerRun(ctx context.Context, s transport.Stream, req *wire.Run) {
	a.countAnswering(1)
	defer a.countAnswering(-1)
	reader, refusal := a.admit(time.Now(), req)
	if refusal != nil {
		a.finalReply(s, req.Row, refused(refusal))
		return
	}
	defer func() { reader.Close(time.Now()) }()
	a.stream(ctx, s, req, reader)
}

func (a *Agent) countAnswering(n int) {
	a.mu.Lock()
	a.answering += n
	a.mu.Unlock()
	a.finished.Fire()
}

// maxChunkInterval is the largest chunk interval that a request may have.
const maxChunkInterval = time.Second

// stream sends a run's chunks, at most one per ChunkInterval, and its final reply.
func (a *Agent) stream(ctx context.Context, s transport.Stream, req *wire.Run, reader *results.Reader) {
	interval := min(req.ChunkInterval, maxChunkInterval)
	row := req.Row
	for {
		event, err := reader.Next(ctx)
		switch {
		case err != nil:
			return
		case event.Done != nil:
			if a.finalReply(s, row, &wire.Reply{Done: event.Done}) {
				reader.MarkDelivered()
			}
			return
		case event.Refusal != nil:
			a.finalReply(s, row, refused(event.Refusal))
			return
		}
		if a.reply(s, &wire.Reply{Chunk: event.Chunk}) != nil {
			return
		}
		if interval > 0 {
			reader.Pause(ctx, interval)
		}
	}
}

// finalReply sends the last reply of a run, with the agent's report in it, and
// returns whether it was sent.
func (a *Agent) finalReply(s transport.Stream, row string, r *wire.Reply) bool {
	if r.Refusal != nil {
		a.cfg.Counters.Refusal(row, r.Refusal.Code)
	}
	r.Report = a.Report()
	return a.reply(s, r) == nil && s.CloseSend() == nil
}

// admit checks a request, then starts its run through the queue or attaches to the run
// that its key has already. The caller closes the reader.
func (a *Agent) admit(now time.Time, req *wire.Run) (*results.Reader, *api.Refusal) {
	reader, refusal := a.beginRun(now, req)
	if refusal != nil {
		return nil, refusal
	}
	if reader.Attached() {
		a.extend(now, reader.Run(), req.Budget)
		return reader, nil
	}
	if refusal := a.enqueue(now, reader.Run(), req); refusal != nil {
		refusal = reader.Run().Refuse(now, refusal)
		reader.Close(now)
		return nil, refusal
	}
	a.dispatch()
	return reader, nil
}

// beginRun checks a request and begins its run or attaches to it. The incarnation does
// not change in between.
func (a *Agent) beginRun(now time.Time, req *wire.Run) (*results.Reader, *api.Refusal) {
	a.incarnation.renewMu.RLock()
	defer a.incarnation.renewMu.RUnlock()
	if refusal := a.checkRun(req); refusal != nil {
		return nil, refusal
	}
	return a.results.Begin(now, req, a.admissionRefusal(req))
}

// checkRun returns a refusal if the request itself is invalid.
func (a *Agent) checkRun(req *wire.Run) *api.Refusal {
	if !a.incarnation.accepts(req.Incarnation) {
		return a.wrongIncarnationRefusal()
	}
	if req.AttachOnly {
		return nil
	}
	if req.RunID == "" || req.Row == "" {
		return a.badRequest("a run needs its id and its row")
	}
	if req.Budget < 0 {
		return a.refuse(api.CodeDeadline, api.NotRunTrue, stepAdmit, "the deadline has passed")
	}
	if (req.Generate == nil) == (req.Call == nil) {
		return a.badRequest("a run is either a generation or a call")
	}
	if runBytes(req) > a.cfg.MaxRequestBytes {
		return a.refuse(api.CodeTooLarge, api.NotRunTrue, stepAdmit, "the request is over its bound of bytes")
	}
	if req.Generate != nil {
		return a.checkGenerate(req)
	}
	return a.checkCall(req)
}

func (a *Agent) wrongIncarnationRefusal() *api.Refusal {
	return a.refuse(api.CodeWrongIncarnation, api.NotRunUnknown, stepAdmit, "the agent has restarted since")
}

func (a *Agent) badRequest(message string) *api.Refusal {
	return a.refuse(api.CodeBadRequest, api.NotRunTrue, stepAdmit, message)
}

func (a *Agent) checkGenerate(req *wire.Run) *api.Refusal {
	g := req.Generate
	switch {
	case a.cfg.Engine == nil:
		return a.badRequest("no model engine is here")
	case g.Model == "":
		return a.badRequest("a generation needs its model")
	case g.MaxTokens < 1:
		return a.badRequest("a generation needs max_tokens of at least 1")
	case len(g.PrefixSpans) > 0 && api.OldestVersion(g.PrefixSpans) < req.MinVersion:
		return a.refuse(api.CodeStale, api.NotRunTrue, stepAdmit, "the prefix is older than the staleness bound")
	}
	return nil
}

func (a *Agent) checkCall(req *wire.Run) *api.Refusal {
	if a.cfg.Service == nil {
		return a.badRequest("no plain service is here")
	}
	for _, row := range a.cfg.Services {
		if row == req.Row {
			return nil
		}
	}
	return a.refuse(api.CodeNoEndpoint, api.NotRunTrue, stepAdmit, "the row is not served here")
}

// admissionRefusal returns the refusal for a new run, or nil if the agent accepts it.
func (a *Agent) admissionRefusal(req *wire.Run) *api.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return a.drainingRefusal()
	}
	if !a.engine.healthy {
		return a.refuseRetry(api.CodeNoEndpoint, api.NotRunTrue, stepAdmit, "the endpoint does not answer")
	}
	if req.Generate != nil {
		return a.modelRefusal(req)
	}
	return nil
}

func (a *Agent) modelRefusal(req *wire.Run) *api.Refusal {
	m, ok := a.engine.models[req.Generate.Model]
	if !ok {
		return a.refuseRetry(api.CodeNoEndpoint, api.NotRunTrue, stepAdmit, "the engine does not serve the model")
	}
	if req.MinVersion > m.minRequired {
		m.minRequired = req.MinVersion
		a.reconcile(time.Now(), m.model) // a rolling swap may be due earlier for this request
	}
	if a.quarantined(req.Generate.Model) {
		return a.quarantineRefusal(stepAdmit)
	}
	if m.version < req.MinVersion && m.target < req.MinVersion {
		return a.refuseRetry(api.CodeStale, api.NotRunTrue, stepAdmit, "the engine's weights are older than the staleness bound")
	}
	return nil
}

func countTokens(spans []api.VersionSpan) int {
	n := 0
	for _, s := range spans {
		n += s.Tokens
	}
	return n
}

// runBytes returns the size in bytes that a queued request takes in memory.
func runBytes(req *wire.Run) int {
	n := len(req.Key) + len(req.RunID)
	if g := req.Generate; g != nil {
		n += len(g.Prompt) + len(g.Prefix)
	}
	if c := req.Call; c != nil {
		n += len(c.Path) + len(c.Body)
		for k, vs := range c.Header {
			n += len(k)
			for _, v := range vs {
				n += len(v)
			}
		}
	}
	return n
}
