package httponce

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// ErrForeignAnswer means that an answer belongs to another request, such as a second copy of the
// answer to a former one. What the server did with this request is unknown.
var ErrForeignAnswer = errors.New("httponce: answer to another request")

// DoEchoed sends a request as Do does, to a server that echoes a header of the request, its id, in its
// answer. It uses no connection that has carried the same id. After an answer with another value it
// closes the connection, since the next answer on it may be a foreign one too, and returns
// ErrForeignAnswer. An answer without the header passes.
func (c *Client) DoEchoed(req *http.Request, header string) (*http.Response, error) {
	want := req.Header.Get(header)
	resp, err := c.do(req, want)
	if err != nil {
		return nil, err
	}
	for _, got := range resp.Header.Values(header) {
		if got != "" && got != want {
			discard(resp)
			return nil, fmt.Errorf("%w: status %d to %.40q", ErrForeignAnswer, resp.StatusCode, got)
		}
	}
	return resp, nil
}

// closeConn closes the connection on which an answer came.
func closeConn(resp *http.Response) {
	if watch, ok := resp.Request.Context().Value(watchKey{}).(*requestWatch); ok {
		watch.retireConn()
	}
}

// watchKey is the key of a request's *requestWatch in its context.
type watchKey struct{}

// withWatch returns a context that carries the watch of a request.
func withWatch(ctx context.Context, watch *requestWatch) context.Context {
	return context.WithValue(ctx, watchKey{}, watch)
}
