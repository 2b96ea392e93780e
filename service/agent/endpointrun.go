package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/observe"
	"mulberryscale.example/wire"
)

// finishLength is the finish reason of a text that reached max_tokens.
const finishLength = "length"

// generate runs a generation on the engine and returns the number of tokens that the
// engine generated. If the prefix already has max_tokens tokens, because an earlier
// attempt lost only the end of its stream, the prefix is the whole answer.
func (a *Agent) generate(j *job) (tokens int) {
	g := j.req.Generate
	if countTokens(g.PrefixSpans) >= g.MaxTokens {
		j.run.FinishText(time.Now(), finishLength)
		return 0
	}
	stream, err := a.cfg.Engine.Generate(j.ctx, endpoint.GenerateRequest{
		RunID:        j.run.ID(),
		Model:        g.Model,
		Prompt:       g.Prompt,
		MaxTokens:    g.MaxTokens,
		Temperature:  g.Temperature,
		Seed:         g.Seed,
		Prefix:       g.Prefix,
		PrefixTokens: countTokens(g.PrefixSpans),
	})
	if err != nil {
		a.fail(j, err, api.NotRunUnknown)
		return 0
	}
	defer stream.Close()
	// Close also ends a stream that ignores the cancellation of its context.
	stop := context.AfterFunc(j.ctx, func() { stream.Close() })
	defer stop()
	return a.copyStream(j, stream)
}

// copyStream appends the stream's chunks to the run until the stream finishes or fails.
// It returns the number of tokens received.
func (a *Agent) copyStream(j *job, stream endpoint.Stream) (tokens int) {
	bytes := 0
	for {
		chunk, err := stream.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.New("the stream ended without a finish reason")
			}
			a.fail(j, err, api.NotRunFalse)
			return tokens
		}
		tokens += chunk.Tokens
		bytes += len(chunk.Text)
		if refusal := a.checkChunk(j, chunk, bytes); refusal != nil {
			j.run.Fail(time.Now(), refusal)
			return tokens
		}
		j.run.Append(chunk.Text, chunk.Version, chunk.Tokens)
		if chunk.FinishReason != "" {
			j.run.FinishText(time.Now(), chunk.FinishReason)
			return tokens
		}
	}
}

// checkChunk returns a refusal if the chunk must not be part of the answer: its weights
// are too old, or the answer, of so many bytes with it, is too large.
func (a *Agent) checkChunk(j *job, chunk endpoint.Chunk, bytes int) *api.Refusal {
	if chunk.Tokens > 0 && chunk.Version < j.req.MinVersion {
		return a.refuseRetry(api.CodeStale, api.NotRunFalse, stepRun, "the engine went on with weights older than the staleness bound")
	}
	if bytes > a.cfg.MaxAnswerBytes {
		return a.refuse(api.CodeTooLarge, api.NotRunFalse, stepRun, "the answer is over its bound of bytes")
	}
	return nil
}

// call sends the job's call to the plain service; it never retries.
func (a *Agent) call(j *job) {
	c := j.req.Call
	resp, err := a.cfg.Service.Call(j.ctx, endpoint.ServiceRequest{
		Method: c.Method,
		Path:   c.Path,
		Header: http.Header(c.Header),
		Body:   c.Body,
	})
	if err != nil {
		a.fail(j, err, api.NotRunUnknown)
		return
	}
	if len(resp.Body) > a.cfg.MaxAnswerBytes {
		j.run.Fail(time.Now(), a.refuse(api.CodeTooLarge, api.NotRunFalse, stepRun, "the answer is over its bound of bytes"))
		return
	}
	j.run.FinishAnswer(time.Now(), &wire.Answer{Status: resp.Status, Header: resp.Header, Body: resp.Body})
}

// fail fails the job's run with a refusal for err or for the cause of its context.
func (a *Agent) fail(j *job, err error, notRun api.NotRun) {
	if notStarted(err) {
		notRun = api.NotRunTrue
	}
	if j.ctx.Err() == nil {
		a.wakePoll() // the engine may have failed as a whole
	}
	refusal := a.failureRefusal(j, err, notRun)
	refusal.EndpointCrashed = notRun != api.NotRunTrue && j.ctx.Err() == nil && a.endpointExited(j.ctx)
	a.logRun(j).WithField(observe.FieldStep, refusal.Step).WithError(err).Info("run failed")
	j.run.Fail(time.Now(), refusal)
}

// endpointExited reports whether the endpoint, on which a run has just failed, no
// longer accepts connections. It is false for an endpoint that cannot be probed.
func (a *Agent) endpointExited(ctx context.Context) bool {
	var client any = a.cfg.Service
	if a.cfg.Engine != nil {
		client = a.cfg.Engine
	}
	prober, ok := client.(endpoint.Prober)
	return ok && prober.Exited(ctx)
}

func (a *Agent) failureRefusal(j *job, err error, notRun api.NotRun) *api.Refusal {
	cause := context.Cause(j.ctx)
	switch {
	case errors.Is(cause, errDeadline):
		return a.refuse(api.CodeDeadline, notRun, stepRun, "the deadline passed during the run")
	case errors.Is(cause, errAbandoned):
		return a.refuse(api.CodeCancelled, notRun, stepRun, cause.Error())
	case errors.Is(cause, errPreempted):
		return a.refuseRetry(api.CodePreempted, notRun, stepRun, cause.Error())
	case errors.Is(cause, errStalled):
		return a.refuseRetry(api.CodeEndpointFailed, notRun, stepRun, cause.Error())
	case j.req.NonIdempotent && notRun == api.NotRunUnknown:
		return a.refuse(api.CodeOutcomeUnknown, notRun, stepRun, "the answer was lost: "+err.Error())
	}
	return a.refuseRetry(api.CodeEndpointFailed, notRun, stepRun, "the endpoint failed: "+err.Error())
}
