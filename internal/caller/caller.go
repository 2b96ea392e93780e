// Package caller is an HTTP client of entries: it makes callers' requests and reads
// the responses. The demo, the experiments and the tests share it.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/httponce"
)

// Refused is the error for a refusal, with the status and header of its HTTP response.
type Refused struct {
	Refusal    *api.Refusal
	Status     int
	RetryAfter string // header Retry-After, empty if absent
}

// Error implements error.
func (r *Refused) Error() string { return r.Refusal.Error() }

// Unwrap lets errors.As find the refusal.
func (r *Refused) Unwrap() error { return r.Refusal }

// CheckHeaders returns an error if the HTTP status or header disagrees with the refusal.
func (r *Refused) CheckHeaders() error {
	if r.Status != r.Refusal.Status() || r.RetryAfter != r.Refusal.RetryAfterHeader() {
		return fmt.Errorf("status %d and Retry-After %q differ from the refusal's body: %w", r.Status, r.RetryAfter, r.Refusal)
	}
	return nil
}

// Call is one HTTP call.
type Call struct {
	Method string // POST if empty
	URL    string
	Header http.Header // not modified; may be nil
	Body   []byte
}

// Do makes a call and returns the body of the response, which the caller must close.
// For a status other than 200 the error is a *Refused, or another error if the body
// holds no refusal.
func Do(ctx context.Context, client *http.Client, c Call) (io.ReadCloser, error) {
	method := c.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, c.URL, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	if c.Header != nil {
		req.Header = c.Header.Clone()
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp.Body, nil
	}
	defer resp.Body.Close()
	return nil, readRefusal(resp)
}

// maxBody is the largest body of an answer, in bytes.
const maxBody = 32 << 20

func readRefusal(resp *http.Response) error {
	var body api.ErrorBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(&body); err != nil || body.Error == nil {
		return trace.Errorf("status %d without a refusal", resp.StatusCode)
	}
	return &Refused{Refusal: body.Error, Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After")}
}

// CallService calls the plain service of a row through the entry at a base URL. path
// is the path at the service; c.URL is not used. It returns the whole response body.
func CallService(ctx context.Context, client *http.Client, entry, row, path string, c Call) ([]byte, error) {
	c.URL = entry + api.PathServices + row + path
	body, err := Do(ctx, client, c)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	return httponce.ReadBody(body, maxBody)
}
