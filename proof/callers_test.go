package proof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/caller"
	"mulberryscale.example/internal/oracle"
	"mulberryscale.example/internal/standin/plain"
)

// callTimeout is the client-side timeout of a call; the entry's own deadline is shorter.
const callTimeout = 2 * time.Minute

// lookup is one interactive request and the response that its caller received.
type lookup struct {
	req  api.CompletionRequest
	err  error // nil, an *api.Refusal or a connection error
	text string
	// versions are the weight versions that the response gives for spans of the text.
	versions []api.VersionSpan
	done     chan struct{}
	// atMostOnce marks a non-idempotent lookup, which is sent with an idempotency key.
	atMostOnce bool
}

func (l *lookup) header() http.Header {
	if !l.atMostOnce {
		return nil
	}
	return http.Header{api.HeaderIdempotencyKey: {l.req.Prompt}, api.HeaderNonIdempotent: {"true"}}
}

// startLookup sends a lookup to an entry in the background.
func (h *harness) startLookup(entry int, stream bool, maxTokens int) *lookup {
	l := &lookup{req: api.CompletionRequest{Model: rowLookups, MaxTokens: maxTokens, Stream: stream}}
	h.sendLookup(entry, l)
	return l
}

// sendLookup sets the prompt of a lookup and sends it to an entry in the background.
func (h *harness) sendLookup(entry int, l *lookup) {
	h.mu.Lock()
	n := len(h.lookups)
	l.done = make(chan struct{})
	l.req.Prompt, l.req.Seed = fmt.Sprintf("What is open near square %d?", n), int64(n)
	h.lookups = append(h.lookups, l)
	h.mu.Unlock()
	url := h.url(entry)
	h.callers.Go(func() {
		defer close(l.done)
		l.err = h.complete(url, l)
		h.checkRefusal("lookup "+l.req.Prompt, l.err)
		if ran := h.engineRuns(l.req.Prompt); notRun(l.err) && ran > 0 {
			h.errorf("lookup %q was refused with not_run=true and ran %d times: %v", l.req.Prompt, ran, l.err)
		}
	})
}

func (h *harness) url(entry int) string { return h.d.EntryURLs()[entry%len(h.d.Entries)] }

func (h *harness) engineRuns(prompt string) int {
	n := 0
	for _, r := range h.records() {
		if r.Prompt == prompt {
			n++
		}
	}
	return n
}

func (h *harness) complete(url string, l *lookup) error {
	ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
	defer cancel()
	answer, err := caller.Complete(ctx, h.fabric.Client(), url, &l.req, l.header())
	if err != nil {
		return h.refusalOf(err)
	}
	l.text, l.versions = answer.Choices[0].Text, answer.WeightVersions
	return nil
}

// refusalOf checks the headers and status of a refused request and returns its *api.Refusal.
// It returns any other error unchanged.
func (h *harness) refusalOf(err error) error {
	var refused *caller.Refused
	if !errors.As(err, &refused) {
		return err
	}
	if err := refused.CheckHeaders(); err != nil {
		h.errorf("%v", err)
	}
	return refused.Refusal
}

// callService calls a plain service through an entry. The error is an *api.Refusal or a
// connection error.
func (h *harness) callService(entry int, row, path string, body string, header http.Header) ([]byte, error) {
	ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
	defer cancel()
	answer, err := caller.CallService(ctx, h.fabric.Client(), h.url(entry), row, path, caller.Call{Header: header, Body: []byte(body)})
	return answer, h.refusalOf(err)
}

// check reports a lookup that ran too often or whose response does not match its request.
func (l *lookup) check(h *harness) {
	if ran := h.engineRuns(l.req.Prompt); l.atMostOnce && ran > 1 {
		h.errorf("non-idempotent lookup %q ran %d times", l.req.Prompt, ran)
	}
	if l.err != nil {
		return
	}
	if err := oracle.CheckAnswer(l.req.Prompt, l.req.Seed, l.req.MaxTokens, l.text, l.versions); err != nil {
		h.errorf("lookup %q (streamed %v): %v", l.req.Prompt, l.req.Stream, err)
	}
}

// keyedCall is one call to a service whose calls are not idempotent. Several calls may share
// a key.
type keyedCall struct {
	key    string // name of the booking; also the idempotency key if the header has one
	header http.Header
	err    error
	done   chan struct{}
}

// newKey returns a name that no earlier booking has.
func (h *harness) newKey() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprint("booking-", len(h.keyed))
}

// startBooking calls the bookings service with an idempotency key through an entry.
func (h *harness) startBooking(entry int, key string) *keyedCall {
	return h.call(entry, &keyedCall{key: key, header: http.Header{api.HeaderIdempotencyKey: {key}}})
}

// call sends a call to the bookings service through an entry in the background.
func (h *harness) call(entry int, c *keyedCall) *keyedCall {
	c.done = make(chan struct{})
	key := c.key
	h.mu.Lock()
	h.keyed = append(h.keyed, c)
	h.mu.Unlock()
	h.callers.Go(func() {
		defer close(c.done)
		c.err = h.book(entry, c)
		h.checkRefusal(key, c.err)
		if ran := h.bookingRuns(key); notRun(c.err) && ran > 0 {
			h.errorf("%s was refused with not_run=true and ran %d times: %v", key, ran, c.err)
		}
	})
	return c
}

func (h *harness) book(entry int, c *keyedCall) error {
	key := c.key
	body := "a table for " + key
	header := c.header.Clone()
	header.Set(plain.HeaderRequest, key)
	answer, err := h.callService(entry, rowBookings, "/book", body, header)
	if err != nil {
		return err
	}
	var echo plain.EchoAnswer
	if err := json.Unmarshal(answer, &echo); err != nil {
		return err
	}
	if echo.Request != key || echo.Body != body {
		h.errorf("%s got the response of %q", key, echo.Request)
	}
	return nil
}

// checkKeyed reports bookings that ran more than once, that ran although every call was
// refused with not_run=true, or that were confirmed without a run.
func (h *harness) checkKeyed() {
	neverRan := map[string]bool{}
	for _, c := range h.keyed {
		other, seen := neverRan[c.key]
		neverRan[c.key] = notRun(c.err) && (other || !seen)
	}
	for key, never := range neverRan {
		switch ran := h.bookingRuns(key); {
		case ran > 1:
			h.errorf("%s ran %d times", key, ran)
		case ran > 0 && never:
			h.errorf("all calls of %s were refused with not_run=true, and it ran", key)
		}
	}
	for _, c := range h.keyed {
		if c.err == nil && h.bookingRuns(c.key) == 0 {
			h.errorf("%s succeeded and never ran", c.key)
		}
	}
}

// notRun reports whether err is a refusal with not_run=true.
func notRun(err error) bool {
	var r *api.Refusal
	return errors.As(err, &r) && r.NotRun == api.NotRunTrue
}

// retryableCodes are the codes of refusals after which a retry can succeed. An unknown outcome
// is not retryable: once the process that knew the outcome is gone, no retry recovers it.
var retryableCodes = map[api.Code]bool{
	api.CodeQueueFull: true, api.CodeRateLimited: true, api.CodeConcurrency: true, api.CodeNoEndpoint: true,
	api.CodeDraining: true, api.CodeStale: true, api.CodeClaimStoreDown: true, api.CodeTransport: true,
	api.CodeEndpointFailed: true, api.CodeNoTable: true, api.CodeRetryBudget: true,
}

// checkRefusal reports a refusal with missing fields.
func (h *harness) checkRefusal(what string, err error) {
	var r *api.Refusal
	if !errors.As(err, &r) {
		return
	}
	if r.Code == "" || r.Step == "" || r.Peer == "" || r.Message == "" || r.NotRun == "" {
		h.errorf("%s: the refusal lacks a field: %+v", what, *r)
	}
	if retryableCodes[r.Code] && r.RetryAfter <= 0 {
		h.errorf("%s: the refusal of a retryable request has no retry_after: %v", what, r)
	}
}
