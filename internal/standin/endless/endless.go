// Package endless is a stand-in for an endpoint in trouble: it reads a request and answers with bytes that do not end,
// until the caller closes the connection.
package endless

import (
	"bufio"
	"bytes"
	"errors"
	"maps"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Answer is what the server sends: Status, the headers that the caller of Start asks for, Start once, and then Repeat
// without end. Without a Status there are no headers either.
type Answer struct{ Status, Start, Repeat string }

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	chunked = "Transfer-Encoding: chunked\r\n\r\n"
)

// Heads are answers whose head does not end, by name.
func Heads() map[string]Answer {
	return map[string]Answer{
		"no answer":              {"", "", "zzzzzzzzzzzzzzzz"},
		"status line":            {"", "HTTP/1.1 200 ", "OK OK OK OK "},
		"header":                 {ok, "X-Long: ", "aaaaaaaaaaaaaaaa"},
		"headers":                {ok, "", "X-More: a\r\n"},
		"informational answers":  {"", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"continuation of a line": {ok, "X-Long: a\r\n", " a\r\n"},
	}
}

// Bodies are answers whose body does not end, by name.
func Bodies() map[string]Answer {
	return map[string]Answer{
		"one line":           {ok, "\r\n", "aaaaaaaaaaaaaaaa"},
		"lines of one event": {ok, "\r\nid: 1\n", "data: a\n"},
		"empty lines":        {ok, "\r\n", "\n\n\n\n\n\n\n\n"},
		"comments":           {ok, "\r\n", ": a\n"},
		"chunks":             {ok, chunked, "10\r\naaaaaaaaaaaaaaaa\r\n"},
		"chunk extension":    {ok, chunked + "10;", "aaaaaaaaaaaaaaaa"},
		"announced length":   {ok, "Content-Length: 1000000000000\r\n\r\n", "aaaaaaaaaaaaaaaa"},
		"trailer":            {ok, chunked + "0\r\n", "X-More: a\r\n"},
	}
}

// stride is how many bytes are written before the server waits until its caller has read them.
const stride = 1 << 20

// maxWritten returns how many bytes may be written to a caller that reads at most limit bytes of an answer: the framing
// of chunks takes less than half as much, and a stride and a block may be unread.
func maxWritten(limit int64) int64 { return limit + limit/2 + 2*stride }

// Reader is one reader of an endpoint's bytes.
type Reader struct {
	// Limit is how many bytes of an answer it may read.
	Limit int64
	// Call makes a call to the server at addr ("ip:port") and reads its answer.
	Call func(t *testing.T, addr string) error
	// Want is the error that Call returns; nil stands for any.
	Want error
	// Headers are those of Start.
	Headers func(*http.Request) http.Header
}

// Check checks that a reader breaks off all answers of this package, each after its limit.
func Check(t *testing.T, name string, r Reader) {
	answers := Heads()
	maps.Copy(answers, Bodies())
	for kind, answer := range answers {
		t.Run(name+"/"+kind, func(t *testing.T) {
			server := Start(t, answer, r.Headers)
			err := r.Call(t, server.Addr)
			if err == nil || (r.Want != nil && !errors.Is(err, r.Want)) {
				t.Errorf("got %v, want %v", err, r.Want)
			}
			if sent := server.Sent(); sent > maxWritten(r.Limit) {
				t.Errorf("%d bytes were written, at most %d may be read", sent, r.Limit)
			}
		})
	}
}

// maxSent is the number of bytes after which the server gives up, so that a client without a limit does not take all
// memory of the machine.
const maxSent = 192 << 20

// Server sends one Answer to each request. It is safe for concurrent use.
type Server struct {
	// Addr is the server's address.
	Addr string

	answer   Answer
	headers  func(*http.Request) http.Header
	listener net.Listener
	open     sync.WaitGroup

	mu   sync.Mutex
	sent int64
}

// Start starts a server, which ends with the test. The headers are those by which an answer passes the first checks of
// a client; nil for none.
func Start(t *testing.T, answer Answer, headers func(*http.Request) http.Header) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Addr: l.Addr().String(), answer: answer, headers: headers, listener: l}
	go s.accept()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.open.Go(func() { s.serve(conn) })
	}
}

// Sent waits until all callers have closed their connections and returns the bytes that were written to them: up to
// two strides more than they have read.
func (s *Server) Sent() int64 {
	s.open.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// serve answers one request.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	block := bytes.Repeat([]byte(s.answer.Repeat), (64<<10)/len(s.answer.Repeat))
	unchecked := 0 // bytes since the caller was last seen to have read all
	for next := s.start(req); s.count(len(next)); next = block {
		if _, err := conn.Write(next); err != nil {
			return
		}
		if unchecked += len(next); unchecked >= stride {
			awaitRead(conn)
			unchecked = 0
		}
	}
}

// start returns what is sent before the bytes without end.
func (s *Server) start(req *http.Request) []byte {
	var b bytes.Buffer
	b.WriteString(s.answer.Status)
	if s.answer.Status != "" && s.headers != nil {
		_ = s.headers(req).Write(&b) // a buffer takes all
	}
	b.WriteString(s.answer.Start)
	return b.Bytes()
}

// count counts n bytes and reports whether they may be sent.
func (s *Server) count(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent+int64(n) > maxSent {
		return false
	}
	s.sent += int64(n)
	return true
}
