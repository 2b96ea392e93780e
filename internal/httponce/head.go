package httponce

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for an answer with a head that no HTTP answer has. What the server did
// with the request is unknown, whatever the rest of the head says.
var ErrMalformed = errors.New("httponce: malformed answer")

// checkHead returns an error that wraps ErrMalformed if an answer's head is malformed in a way that
// net/http accepts.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return fmt.Errorf("%w: status %03d is no final one", ErrMalformed, resp.StatusCode)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.40q", ErrMalformed, name)
		}
	}
	return nil
}

// discard closes the connection of an answer that is not returned.
func discard(resp *http.Response) {
	closeConn(resp)
	resp.Body.Close()
}
