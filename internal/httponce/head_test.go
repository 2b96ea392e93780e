package httponce

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// startRawServer starts a server that sends the same bytes as each answer and keeps connections
// open. It returns its URL and the number of its connections.
func startRawServer(t *testing.T, answer string) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var conns atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go answerAll(conn, answer)
		}
	}()
	return "http://" + l.Addr().String(), &conns
}

func answerAll(conn net.Conn, answer string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

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
			url, conns := startRawServer(t, head+"Content-Length: 0\r\n\r\n")
			c := New()
			for range 2 {
				resp, err := do(c, newRequest(t, http.MethodGet, url, ""))
				var unsent *UnsentError
				if !errors.Is(err, ErrMalformed) || errors.As(err, &unsent) {
					t.Errorf("%s, %s: got %+v, %v", name, way, resp, err)
				}
			}
			if n := conns.Load(); n != 2 {
				t.Errorf("%s, %s: %d connections for two requests", name, way, n)
			}
		}
	}
}
