package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"mulberryscale.example/platform/enginehttp"
	"mulberryscale.example/platform/ingress"
)

// sendRequests sends requests of all forwarded kinds until ctx is cancelled.
func (c *soakClient) sendRequests(ctx context.Context) {
	for ctx.Err() == nil {
		c.next++
		id := fmt.Sprintf("%s-%d", c.name, c.next)
		switch c.rng.IntN(5) {
		case 0:
			c.forward(ctx, c.entry(), id, http.MethodPost, prefixBook+id, true)
		case 1:
			c.stream(ctx, c.entry(), id, prefixTell+id, false)
		case 2:
			c.stream(ctx, c.entry(), id, prefixSay+id, true)
		default:
			c.forward(ctx, c.entry(), id, http.MethodGet, prefixLook+id, false)
		}
		sleep(ctx, soakCallInterval)
	}
}

// forward makes one request with a single response body, and reports whether it was served.
func (c *soakClient) forward(ctx context.Context, entry, id, method, target string, once bool) bool {
	body := ""
	if method == http.MethodPost {
		body = bodyOf(id)
	}
	c.w.record.requestSent(id, &request{method: method, target: target, body: body, services: c.w.allowedServices(target), runsOnce: once, organisation: c.organisation})
	ctx, cancel := context.WithTimeout(ctx, soakAttemptTimeout)
	defer cancel()
	var sends atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sends.Add(1) }})
	resp, err := c.do(ctx, ingress.Attempt{Entry: entry, ID: id, Method: method, Target: target, Body: body})
	if err != nil {
		return c.unanswered(id, err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.unanswered(id, err)
	}
	if !c.checkHeader(id, entry, resp, sends.Load() > 1) {
		return false
	}
	if string(got) != answerOf(id, body) {
		c.w.record.problem("request %s at %s: answered %q", id, entry, got)
	}
	c.w.record.count("served")
	return true
}

func (c *soakClient) unanswered(id string, err error) bool {
	c.w.record.count("unanswered")
	c.w.note("request %s: %v", id, err)
	return false
}

// checkHeader checks the status and the headers of a response, and reports whether
// it is a success. repeated is set if net/http has sent the request twice, as it does when a kept
// connection is reset: a refusal then says nothing of the first send, which may have run.
func (c *soakClient) checkHeader(id, entry string, resp *http.Response, repeated bool) bool {
	signature, answeredID := enginehttp.Signature(resp.Header), ingress.RequestID(resp.Header)
	switch {
	case resp.StatusCode == http.StatusOK && (!isSignature(signature, id) || answeredID != id):
		c.w.record.problem("request %s at %s: 200 with signature %q and id %q", id, entry, signature, answeredID)
		return false
	case resp.StatusCode == http.StatusOK:
		return true
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		if !repeated {
			c.w.record.requestsRefused(id)
		}
		if resp.Header.Get("Retry-After") == "" {
			c.w.record.problem("request %s at %s: %s without Retry-After", id, entry, resp.Status)
		}
	case resp.StatusCode < http.StatusInternalServerError:
		c.w.record.problem("request %s at %s: %s", id, entry, resp.Status)
	}
	c.w.record.count(strconv.Itoa(resp.StatusCode))
	return false
}

// stream sends a request to a streaming route and checks the events. once says that the
// route's requests may run only once; streams of the other route can be resumed.
func (c *soakClient) stream(ctx context.Context, entry, id, target string, once bool) {
	body := bodyOf(id)
	c.w.record.requestSent(id, &request{method: http.MethodPost, target: target, body: body, model: soakModels[0], services: []string{serviceEngines}, runsOnce: once, organisation: c.organisation})
	ctx, cancel := context.WithTimeout(ctx, 2*soakAttemptTimeout)
	defer cancel()
	resp, err := c.do(ctx, ingress.Attempt{Entry: entry, ID: id, Method: http.MethodPost, Target: target, Body: body, Model: soakModels[0]})
	if err != nil {
		c.unanswered(id, err)
		return
	}
	defer resp.Body.Close()
	if !c.checkHeader(id, entry, resp, false) {
		return
	}
	n, err := readEvents(resp.Body, id)
	switch {
	case errors.Is(err, errWrongEvent) || errors.Is(err, ingress.ErrMalformedEvent) || errors.Is(err, ingress.ErrTruncatedEvent):
		c.w.record.problem("request %s at %s: %v", id, entry, err)
	case err != nil:
		c.unanswered(id, err)
	case n != eventCountOf(id):
		c.w.record.problem("request %s at %s: ended after event %d of %d", id, entry, n, eventCountOf(id))
	default:
		c.w.record.count("streamed")
	}
}

// errWrongEvent reports an event other than the next expected one.
var errWrongEvent = errors.New("wrong event")

// readEvents reads a stream to its end and returns the number of its events. An unexpected
// event gives errWrongEvent.
func readEvents(body io.Reader, id string) (events int, err error) {
	err = ingress.ReadEvents(body, func(n int, data string) error {
		if n != events+1 || data != eventOf(id, n) {
			return fmt.Errorf("%w: %d %q after event %d", errWrongEvent, n, data, events)
		}
		events = n
		return nil
	})
	return events, err
}
