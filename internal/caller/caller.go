// Package caller makes the calls of callers at entries over HTTP and reads
// their answers. The demo, the experiments and the tests share it.
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
)

// Refused is a refusal with the HTTP status and header that came beside it.
type Refused struct {
	Refusal    *api.Refusal
	Status     int
	RetryAfter string // header Retry-After, empty if there was none
}

// Error implements error.
func (r *Refused) Error() string { return r.Refusal.Error() }

// Unwrap lets errors.As find the refusal.
func (r *Refused) Unwrap() error { return r.Refusal }

// CheckHeaders says whether the status and header differ from the refusal; nil
// means that they agree.
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
	Header http.Header // not changed; nil for none
	Body   []byte
}

// Do makes a call and returns the body of its answer, which its caller closes.
// An answer other than 200 is a *Refused, or a plain error if it holds no refusal.
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

func readRefusal(resp *http.Response) error {
	var body api.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error == nil {
		return trace.Errorf("status %d without a refusal", resp.StatusCode)
	}
	return &Refused{Refusal: body.Error, Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After")}
}

// CallService calls the plain service of a row through the entry at a base URL:
// path is the service's own, and c.URL is not used. It returns the whole answer.
func CallService(ctx context.Context, client *http.Client, entry, row, path string, c Call) ([]byte, error) {
	c.URL = entry + api.PathServices + row + path
	body, err := Do(ctx, client, c)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	return io.ReadAll(body)
}
