package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"mulberryscale.example/platform/enginehttp"
	"mulberryscale.example/platform/ingress"
)

// look makes requests of all forwarded kinds until ctx ends.
func (c *soakClient) look(ctx context.Context) {
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
		sleep(ctx, soakPause)
	}
}

// forward makes one request whose answer is a whole, and says whether it was served.
func (c *soakClient) forward(ctx context.Context, entry, id, method, target string, once bool) bool {
	body := ""
	if method == http.MethodPost {
		body = bodyOf(id)
	}
	c.w.record.send(id, &request{method: method, target: target, body: body, services: c.w.allowed(target), once: once, organisation: c.organisation})
	ctx, cancel := context.WithTimeout(ctx, soakDeadline)
	defer cancel()
	resp, err := c.do(ctx, ingress.Attempt{Entry: entry, ID: id, Method: method, Target: target, Body: body})
	if err != nil {
		return c.lost(id, err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.lost(id, err)
	}
	if !c.checkHead(id, entry, resp) {
		return false
	}
	if string(got) != answerOf(id, body) {
		c.w.record.problem("request %s at %s: answered %q", id, entry, got)
	}
	c.w.record.count("served")
	return true
}

func (c *soakClient) lost(id string, err error) bool {
	c.w.record.count("unanswered")
	c.w.note("request %s: %v", id, err)
	return false
}

// checkHead checks the status and the headers of an answer, and says whether
// it is a success.
func (c *soakClient) checkHead(id, entry string, resp *http.Response) bool {
	stamp, answered := enginehttp.Signature(resp.Header), ingress.RequestID(resp.Header)
	switch {
	case resp.StatusCode == http.StatusOK && (!isStamp(stamp, id) || answered != id):
		c.w.record.problem("request %s at %s: 200 with stamp %q and id %q", id, entry, stamp, answered)
		return false
	case resp.StatusCode == http.StatusOK:
		return true
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		c.w.record.refuse(id)
		if resp.Header.Get("Retry-After") == "" {
			c.w.record.problem("request %s at %s: %s without Retry-After", id, entry, resp.Status)
		}
	case resp.StatusCode < http.StatusInternalServerError:
		c.w.record.problem("request %s at %s: %s", id, entry, resp.Status)
	}
	c.w.record.count(strconv.Itoa(resp.StatusCode))
	return false
}

// stream reads a stream, of a route that may be resumed or of one whose
// requests run once only.
func (c *soakClient) stream(ctx context.Context, entry, id, target string, once bool) {
	body := bodyOf(id)
	c.w.record.send(id, &request{method: http.MethodPost, target: target, body: body, model: soakModels[0], services: []string{serviceEngines}, once: once, organisation: c.organisation})
	ctx, cancel := context.WithTimeout(ctx, 2*soakDeadline)
	defer cancel()
	resp, err := c.do(ctx, ingress.Attempt{Entry: entry, ID: id, Method: http.MethodPost, Target: target, Body: body, Model: soakModels[0]})
	if err != nil {
		c.lost(id, err)
		return
	}
	defer resp.Body.Close()
	if !c.checkHead(id, entry, resp) {
		return
	}
	n, err := readText(resp.Body, id)
	switch {
	case errors.Is(err, errWrongEvent) || errors.Is(err, ingress.ErrMalformedEvent) || errors.Is(err, ingress.ErrTruncatedEvent):
		c.w.record.problem("request %s at %s: %v", id, entry, err)
	case err != nil:
		c.lost(id, err)
	case n != eventsOf(id):
		c.w.record.problem("request %s at %s: ended after event %d of %d", id, entry, n, eventsOf(id))
	default:
		c.w.record.count("streamed")
	}
}

// errWrongEvent says that an event is not the one that is due.
var errWrongEvent = errors.New("wrong event")

// readText reads a stream to its end and returns how many events it had.
func readText(body io.Reader, id string) (events int, err error) {
	err = ingress.ReadEvents(body, func(n int, data string) error {
		if n != events+1 || data != eventOf(id, n) {
			return fmt.Errorf("%w: %d %q after event %d", errWrongEvent, n, data, events)
		}
		events = n
		return nil
	})
	return events, err
}
