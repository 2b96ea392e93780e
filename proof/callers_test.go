package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/oracle"
	"mulberryscale.example/internal/standin/plain"
)

// callTimeout is how long a caller waits at most; the entry's own deadline is shorter.
const callTimeout = 2 * time.Minute

// errCut says that a connection ended before its whole answer.
var errCut = errors.New("the answer was cut off")

// lookup is one interactive request and what its caller got.
type lookup struct {
	req  api.CompletionRequest
	err  error // nil, a *api.Refusal, or a broken connection
	text string
	// versions label the text.
	versions []api.VersionSpan
	done     chan struct{}
	// once marks a lookup that must run at most once; it has a key.
	once bool
}

func (l *lookup) header() map[string]string {
	if !l.once {
		return nil
	}
	return map[string]string{api.HeaderIdempotencyKey: l.req.Prompt, api.HeaderNonIdempotent: "true"}
}

// startLookup makes a lookup at an entry.
func (w *world) startLookup(entry int, stream bool, maxTokens int) *lookup {
	l := &lookup{req: api.CompletionRequest{Model: rowLookups, MaxTokens: maxTokens, Stream: stream}}
	w.begin(entry, l)
	return l
}

// begin gives a lookup its prompt and makes it at an entry.
func (w *world) begin(entry int, l *lookup) {
	w.mu.Lock()
	n := len(w.lookups)
	l.done = make(chan struct{})
	l.req.Prompt, l.req.Seed = fmt.Sprintf("What is open near square %d?", n), int64(n)
	w.lookups = append(w.lookups, l)
	w.mu.Unlock()
	url := w.url(entry) + api.PathCompletions
	w.callers.Go(func() {
		defer close(l.done)
		l.err = w.look(url, l)
		w.checkRefusal("lookup "+l.req.Prompt, l.err)
		if ran := w.engineRuns(l.req.Prompt); notRun(l.err) && ran > 0 {
			w.breach("lookup %q was refused as not run and ran %d times: %v", l.req.Prompt, ran, l.err)
		}
	})
}

func (w *world) url(entry int) string { return w.d.EntryURLs()[entry%len(w.d.Entries)] }

func (w *world) engineRuns(prompt string) int {
	n := 0
	for _, r := range w.records() {
		if r.Prompt == prompt {
			n++
		}
	}
	return n
}

func (w *world) look(url string, l *lookup) error {
	body, err := json.Marshal(&l.req)
	if err != nil {
		return err
	}
	resp, cancel, err := w.post(url, body, l.header())
	if err != nil {
		return err
	}
	defer cancel()
	defer resp.Body.Close()
	if l.req.Stream {
		return l.readStream(resp.Body)
	}
	var answer api.Completion
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return err
	}
	l.text, l.versions = answer.Choices[0].Text, answer.WeightVersions
	return nil
}

// post makes a call; a refusal is returned as its error.
func (w *world) post(url string, body []byte, header map[string]string) (*http.Response, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, nil, err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := w.fabric.Client().Do(req)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, cancel, nil
	}
	defer cancel()
	defer resp.Body.Close()
	return nil, nil, w.readRefusal(resp)
}

func (w *world) readRefusal(resp *http.Response) error {
	var body api.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error == nil {
		return fmt.Errorf("status %d without a refusal", resp.StatusCode)
	}
	if resp.Header.Get("Retry-After") != body.Error.RetryAfterHeader() || resp.StatusCode != body.Error.Status() {
		w.breach("the header or status of a refusal differs from its body: %v", body.Error)
	}
	return body.Error
}

func (l *lookup) readStream(body io.Reader) error {
	for ev, err := range sse.Read(body, nil) {
		switch {
		case err != nil:
			return err
		case ev.Data == "[DONE]":
			return nil
		case ev.Type == "error":
			var refused api.ErrorBody
			if err := json.Unmarshal([]byte(ev.Data), &refused); err != nil {
				return err
			}
			return refused.Error
		}
		var part api.Completion
		if err := json.Unmarshal([]byte(ev.Data), &part); err != nil {
			return err
		}
		l.text += part.Choices[0].Text
		l.versions = part.WeightVersions
	}
	return errCut
}

// check says what is wrong with an answered lookup.
func (l *lookup) check(w *world) {
	if ran := w.engineRuns(l.req.Prompt); l.once && ran > 1 {
		w.breach("lookup %q, which may not be repeated, ran %d times", l.req.Prompt, ran)
	}
	if l.err != nil {
		return
	}
	if err := oracle.CheckAnswer(l.req.Prompt, l.req.Seed, l.req.MaxTokens, l.text, l.versions); err != nil {
		w.breach("lookup %q (streamed %v): %v", l.req.Prompt, l.req.Stream, err)
	}
}

// keyedCall is one call, of perhaps several with its key, of a service whose
// calls may not be repeated.
type keyedCall struct {
	key    string // its own name, and its key unless the header has none
	header map[string]string
	err    error
	done   chan struct{}
}

// newKey names a booking that was never asked for.
func (w *world) newKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprint("booking-", len(w.keyed))
}

// startBooking calls the bookings service with a key at an entry.
func (w *world) startBooking(entry int, key string) *keyedCall {
	return w.call(entry, &keyedCall{key: key, header: map[string]string{api.HeaderIdempotencyKey: key}})
}

// call makes a call of the bookings service at an entry.
func (w *world) call(entry int, c *keyedCall) *keyedCall {
	c.done = make(chan struct{})
	key := c.key
	w.mu.Lock()
	w.keyed = append(w.keyed, c)
	w.mu.Unlock()
	url := w.url(entry) + api.PathServices + rowBookings + "/book"
	w.callers.Go(func() {
		defer close(c.done)
		c.err = w.book(url, c)
		w.checkRefusal(key, c.err)
		if ran := w.bookingRuns(key); notRun(c.err) && ran > 0 {
			w.breach("%s was refused as not run and ran %d times: %v", key, ran, c.err)
		}
	})
	return c
}

func (w *world) book(url string, c *keyedCall) error {
	key := c.key
	body := "a table for " + key
	header := maps.Clone(c.header)
	header[plain.HeaderRequest] = key
	resp, cancel, err := w.post(url, []byte(body), header)
	if err != nil {
		return err
	}
	defer cancel()
	defer resp.Body.Close()
	var echo plain.EchoAnswer
	if err := json.NewDecoder(resp.Body).Decode(&echo); err != nil {
		return err
	}
	if echo.Request != key || echo.Body != body {
		w.breach("%s got the answer of %q", key, echo.Request)
	}
	return nil
}

// checkKeyed says which keys ran twice, or ran although every call was refused as not run.
func (w *world) checkKeyed() {
	neverRan := map[string]bool{}
	for _, c := range w.keyed {
		other, seen := neverRan[c.key]
		neverRan[c.key] = notRun(c.err) && (other || !seen)
	}
	for key, never := range neverRan {
		switch ran := w.bookingRuns(key); {
		case ran > 1:
			w.breach("%s ran %d times", key, ran)
		case ran > 0 && never:
			w.breach("all calls of %s were refused as not run, and it ran", key)
		}
	}
	for _, c := range w.keyed {
		if c.err == nil && w.bookingRuns(c.key) == 0 {
			w.breach("%s was answered and never ran", c.key)
		}
	}
}

// notRun says whether a call was refused as not run.
func notRun(err error) bool {
	var r *api.Refusal
	return errors.As(err, &r) && r.NotRun == api.NotRunTrue
}

// mendable are the refusals after which repeating can help. An unknown outcome
// is none: when who knew it has gone, no repeat brings it back.
var mendable = map[api.Code]bool{
	api.CodeQueueFull: true, api.CodeRateLimited: true, api.CodeConcurrency: true, api.CodeNoEndpoint: true,
	api.CodeDraining: true, api.CodeStale: true, api.CodeClaimStoreDown: true, api.CodeTransport: true,
	api.CodeEndpointFailed: true, api.CodeNoTable: true, api.CodeRetryBudget: true,
}

// checkRefusal says what a refusal lacks.
func (w *world) checkRefusal(what string, err error) {
	var r *api.Refusal
	if !errors.As(err, &r) {
		return
	}
	if r.Code == "" || r.Step == "" || r.Peer == "" || r.Message == "" || r.NotRun == "" {
		w.breach("%s: the refusal lacks a field: %+v", what, *r)
	}
	if mendable[r.Code] && r.RetryAfter <= 0 {
		w.breach("%s: the refusal does not say when to come back: %v", what, r)
	}
}
