package httponce

import (
	"fmt"
	"net/http"
	"testing"

	"mulberryscale.example/internal/standin/rawanswer"
)

const echoHeader = "X-Echo"

// startEcho starts a server that echoes the ids of requests.
func startEcho(t *testing.T) *rawanswer.Server {
	return rawanswer.Start(t, func(_ int, r *http.Request) string {
		return "HTTP/1.1 200 OK\r\n" + echoHeader + ": " + r.Header.Get(echoHeader) + "\r\nContent-Length: 0\r\n\r\n"
	})
}

// sendID sends a request with an id.
func sendID(t *testing.T, c *Client, s *rawanswer.Server, id string) {
	t.Helper()
	req := newRequest(t, http.MethodPost, "http://"+s.Addr, "text")
	req.Header.Set(echoHeader, id)
	resp, err := c.DoEchoed(req, echoHeader)
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	resp.Body.Close()
}

// TestIDGoesOutOnceOnAConnection guards against a late copy of the answer to a request, which can't be told from the
// answer to the same request when that is sent again on the same connection.
func TestIDGoesOutOnceOnAConnection(t *testing.T) {
	s, c := startEcho(t), New()
	const attempts = 2 * maxRetiredConns // more than there may be kept connections
	for n := range attempts {
		sendID(t, c, s, "again")
		sendID(t, c, s, fmt.Sprint("between-", n))
	}
	if n := s.Conns(); n != attempts {
		t.Errorf("%d connections for %d attempts", n, attempts)
	}
}

// TestConnectionCarriesABoundedNumberOfIDs guards against memory that grows with the requests of a connection.
func TestConnectionCarriesABoundedNumberOfIDs(t *testing.T) {
	s, c := startEcho(t), New()
	for n := range 2*maxCarried + 1 {
		sendID(t, c, s, fmt.Sprint("r-", n))
	}
	if n := s.Conns(); n != 3 {
		t.Errorf("%d connections for %d requests", n, 2*maxCarried+1)
	}
}
