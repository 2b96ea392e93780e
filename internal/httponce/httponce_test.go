package httponce

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// startBreakingServer starts a server that answers the first request, so that its
// connection is kept, and aborts the connection of each later request after reading
// it. It also returns the number of requests that the server has run.
func startBreakingServer(t *testing.T) (*httptest.Server, *atomic.Int64) {
	var runs atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(s.Close)
	return s, &runs
}

func newRequest(t *testing.T, method, url, body string) *http.Request {
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k1")
	return req
}

func openConnection(t *testing.T, c *Client, url string) {
	resp, err := c.Do(newRequest(t, http.MethodGet, url, ""))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

func TestDoSendsAtMostOnceOnAReusedConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "text"} {
			s, runs := startBreakingServer(t)
			c := New()
			openConnection(t, c, s.URL)
			_, err := c.Do(newRequest(t, method, s.URL, body))
			var unsent *UnsentError
			if err == nil || errors.As(err, &unsent) {
				t.Errorf("%s %q: want an error of unknown outcome, got %v", method, body, err)
			}
			if n := runs.Load() - 1; n != 1 {
				t.Errorf("%s %q: ran %d times", method, body, n)
			}
		}
	}
}

// TestTransportAloneRetries is the control of the test above: it checks that the
// transport alone retries the request, so that the test above can fail.
func TestTransportAloneRetries(t *testing.T) {
	s, runs := startBreakingServer(t)
	c := New()
	openConnection(t, c, s.URL)
	if resp, err := c.DoRepeatable(newRequest(t, http.MethodPost, s.URL, "text")); err == nil {
		resp.Body.Close()
		t.Fatal("want an error")
	}
	if n := runs.Load() - 1; n < 2 {
		t.Fatalf("ran %d times: the server no longer provokes a retry", n)
	}
}

func TestRefusedDialIsUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + l.Addr().String()
	l.Close()
	_, err = New().Do(newRequest(t, http.MethodPost, url, "text"))
	var unsent *UnsentError
	if !errors.As(err, &unsent) {
		t.Fatalf("want UnsentError, got %v", err)
	}
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
		var runs atomic.Int64
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			http.Redirect(w, r, "/again", status)
		}))
		defer s.Close()
		resp, err := New().Do(newRequest(t, http.MethodPost, s.URL, "text"))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != status || runs.Load() != 1 {
			t.Errorf("status %d: got %d after %d requests", status, resp.StatusCode, runs.Load())
		}
	}
}

func TestReadBodyIsBounded(t *testing.T) {
	if _, err := ReadBody(strings.NewReader("12345"), 4); err == nil {
		t.Fatal("want an error")
	}
	if b, err := ReadBody(strings.NewReader("1234"), 4); err != nil || len(b) != 4 {
		t.Fatalf("got %q, %v", b, err)
	}
}
