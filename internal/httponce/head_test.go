package httponce

import (
	"errors"
	"net/http"
	"testing"

	"mulberryscale.example/internal/standin/rawanswer"
)

// Guards against a malformed answer that one of the ways to send a request lets pass, and against
// its connection in use for the next request.
func TestMalformedAnswersAreRefused(t *testing.T) {
	for name, head := range map[string]string{
		"status 000": "HTTP/1.1 000 OK\r\n",
		"status 099": "HTTP/1.1 099 OK\r\n",
		"field name": "HTTP/1.1 200 OK\r\nX Odd: v\r\n",
	} {
		for way, do := range map[string]func(*Client, *http.Request) (*http.Response, error){
			"once": (*Client).Do, "repeatable": (*Client).DoRepeatable,
		} {
			server := rawanswer.Start(t, rawanswer.Always(head+"Content-Length: 0\r\n\r\n"))
			c := New()
			for range 2 {
				resp, err := do(c, newRequest(t, http.MethodGet, "http://"+server.Addr, ""))
				var unsent *UnsentError
				if !errors.Is(err, ErrMalformed) || errors.As(err, &unsent) {
					t.Errorf("%s, %s: got %+v, %v", name, way, resp, err)
				}
			}
			if n := server.Conns(); n != 2 {
				t.Errorf("%s, %s: %d connections for two requests", name, way, n)
			}
		}
	}
}
