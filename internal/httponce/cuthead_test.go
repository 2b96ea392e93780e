package httponce

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"mulberryscale.example/internal/standin/rawanswer"
)

// wholeAnswer is an answer in two parts; its head includes interim ones.
type wholeAnswer struct{ head, body string }

// wholeAnswers are answers by their framing.
var wholeAnswers = map[string]wholeAnswer{
	"length":       {"HTTP/1.1 200 OK\r\nX-Odd: s\r\nContent-Length: 2\r\n\r\n", "hi"},
	"no body":      {"HTTP/1.1 200 OK\r\nX-Odd: s\r\nContent-Length: 0\r\n\r\n", ""},
	"chunked":      {"HTTP/1.1 200 OK\r\nX-Odd: s\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nhi\r\n0\r\n\r\n"},
	"neither":      {"HTTP/1.1 200 OK\r\nX-Odd: s\r\n\r\n", "hi"},
	"interim":      {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "hi"},
	"line feeds":   {"HTTP/1.1 200 OK\nX-Odd: s\nContent-Length: 2\n\n", "hi"},
	"not modified": {"HTTP/1.1 304 Not Modified\r\nX-Odd: s\r\n\r\n", ""},
}

// TestCutHeadIsNoAnswer guards against an answer that stops in the middle of its head and counts as a whole one with
// an empty or short body. It holds for each way to send a request, so for all readers of answers.
func TestCutHeadIsNoAnswer(t *testing.T) {
	ways := map[string]func(*Client, *http.Request) (*http.Response, error){
		"once": (*Client).Do, "repeatable": (*Client).DoRepeatable,
		"echoed": func(c *Client, r *http.Request) (*http.Response, error) { return c.DoEchoed(r, echoHeader) },
	}
	for framing, whole := range wholeAnswers {
		for way, do := range ways {
			for _, ending := range []rawanswer.Ending{rawanswer.Close, rawanswer.Reset} {
				t.Run(fmt.Sprint(framing, ", ", way, ", ending ", ending), func(t *testing.T) {
					for cut := range len(whole.head) {
						checkCutHead(t, do, whole.head[:cut], ending)
					}
				})
			}
		}
	}
}

// checkCutHead checks that a part of a head is no answer, neither on a new connection nor on a kept one.
func checkCutHead(t *testing.T, do func(*Client, *http.Request) (*http.Response, error), cut string, ending rawanswer.Ending) {
	t.Helper()
	for _, before := range []int{0, 1} { // whole answers on the connection before
		script := func(n int, _ *http.Request) string {
			if n < before {
				return wholeAnswers["length"].head + wholeAnswers["length"].body
			}
			return cut
		}
		endings := func(n int) rawanswer.Ending {
			if n < before {
				return rawanswer.Keep
			}
			return ending
		}
		server, c := rawanswer.StartEnding(t, script, endings), New()
		for n := range before + 1 {
			resp, err := do(c, newRequest(t, http.MethodGet, "http://"+server.Addr, ""))
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if (err == nil) != (n < before) {
				t.Fatalf("request %d, cut after %q: %v", n, cut, err)
			}
		}
		c.CloseIdle()
	}
}

// TestHeadThatStopsIsNoAnswer guards against an answer whose head comes in part, and whose connection stays open: it
// counts as one when the time of its request is up.
func TestHeadThatStopsIsNoAnswer(t *testing.T) {
	head := wholeAnswers["length"].head
	for cut := range len(head) {
		server := rawanswer.Start(t, rawanswer.Always(head[:cut]))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		resp, err := New().Do(newRequest(t, http.MethodGet, "http://"+server.Addr, "").WithContext(ctx))
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("cut after %q: got %+v, %v", head[:cut], resp, err)
		}
	}
}
