package httpendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/httponce"
	"mulberryscale.example/platform"
)

// Limits of an engine's responses, in bytes. Of an error's body, more than
// maxErrorText is ignored.
const (
	maxStatusBody = 1 << 20
	maxEventBytes = 1 << 20
	maxErrorText  = 512
)

// Engine is an HTTP client of a model engine. It implements endpoint.Engine.
type Engine struct {
	base string
	once *httponce.Client
}

var _ endpoint.Engine = (*Engine)(nil)

// NewEngine returns a client of the engine at baseURL ("http://ip:port").
func NewEngine(baseURL string) *Engine {
	return &Engine{base: strings.TrimSuffix(baseURL, "/"), once: httponce.New()}
}

// Generate implements endpoint.Engine. Cancelling ctx cancels the stream.
func (e *Engine) Generate(ctx context.Context, req endpoint.GenerateRequest) (endpoint.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := e.post(ctx, PathCompletions, NewCompletionBody(req))
	if err != nil {
		cancel()
		return nil, trace.Wrap(err, "engine.generate: engine %s", e.base)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, e.rejectionError("engine.generate", resp)
	}
	return newStream(e.base, cancel, resp.Body), nil
}

// rejectionError returns the error for a response without a stream. An engine
// checks a request before it runs it, so a 4xx status other than 408 (request
// timeout) proves that nothing ran.
func (e *Engine) rejectionError(step string, resp *http.Response) error {
	err := statusError(resp)
	if resp.StatusCode/100 == 4 && resp.StatusCode != http.StatusRequestTimeout {
		err = &endpoint.NotStartedError{Err: err}
	}
	return trace.Wrap(err, "%s: engine %s", step, e.base)
}

// Status implements endpoint.Engine.
func (e *Engine) Status(ctx context.Context) (endpoint.Status, error) {
	var s endpoint.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+PathStatus, nil)
	if err != nil {
		return s, trace.BadParameter("engine.status: %v", err)
	}
	resp, err := e.once.DoRepeatable(req)
	if err != nil {
		return s, trace.Wrap(err, "engine.status: engine %s", e.base)
	}
	if resp.StatusCode != http.StatusOK {
		return s, trace.Wrap(statusError(resp), "engine.status: engine %s", e.base)
	}
	defer resp.Body.Close()
	body, err := httponce.ReadBody(resp.Body, maxStatusBody)
	if err == nil {
		err = json.Unmarshal(body, &s)
	}
	return s, trace.Wrap(err, "engine.status: engine %s", e.base)
}

// Load implements endpoint.Engine.
func (e *Engine) Load(ctx context.Context, o endpoint.Order) error {
	resp, err := e.post(ctx, PathLoad, o)
	if err != nil {
		return trace.Wrap(err, "engine.load: engine %s", e.base)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusPreconditionFailed:
		return trace.Wrap(platform.ErrStaleFence, "engine.load: engine %s fence %d", e.base, o.Fence)
	}
	return trace.Wrap(statusError(resp), "engine.load: engine %s", e.base)
}

// post sends a JSON body once, without retries. A NotStartedError proves that it
// was not sent.
func (e *Engine) post(ctx context.Context, path string, v any) (*http.Response, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, &endpoint.NotStartedError{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &endpoint.NotStartedError{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.once.Do(req)
	return resp, mapUnsent(err)
}

// mapUnsent turns the error of a request that was never sent into a
// NotStartedError, and returns other errors unchanged.
func mapUnsent(err error) error {
	var unsent *httponce.UnsentError
	if errors.As(err, &unsent) {
		return &endpoint.NotStartedError{Err: unsent.Err}
	}
	return err
}

// statusError returns the error for an unexpected status, with the start of the
// response's body. It closes the body.
func statusError(resp *http.Response) error {
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText)) // a partial text is good enough
	return trace.Errorf("status %s: %s", resp.Status, strings.TrimSpace(string(text)))
}
