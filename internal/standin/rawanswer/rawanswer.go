// Package rawanswer is a stand-in for an endpoint in trouble, which answers requests with any bytes.
package rawanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Script returns the bytes that are sent for the n-th request, counted from 0. The RemoteAddr of the request tells its
// connection.
type Script func(n int, r *http.Request) string

// Ending is what happens to a connection after an answer.
type Ending int

// Endings.
const (
	Keep  Ending = iota // it stays open
	Close               // it is closed in order
	Reset               // it is reset
)

// Endings returns the ending after the n-th request, counted from 0.
type Endings func(n int) Ending

// Always returns a script that answers all requests with the same bytes.
func Always(answer string) Script { return func(int, *http.Request) string { return answer } }

// Server answers requests as its script says. It is safe for concurrent use.
type Server struct {
	// Addr is the server's address, "ip:port".
	Addr string

	listener net.Listener
	script   Script
	endings  Endings

	mu       sync.Mutex
	conns    int
	requests int
}

// Start starts a server, which ends with the test. It keeps connections open.
func Start(t *testing.T, script Script) *Server {
	return StartEnding(t, script, func(int) Ending { return Keep })
}

// StartClosing is Start with connections that are closed after an answer.
func StartClosing(t *testing.T, script Script) *Server {
	return StartEnding(t, script, func(int) Ending { return Close })
}

// StartEnding is Start with connections that end after an answer as endings says.
func StartEnding(t *testing.T, script Script, endings Endings) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Addr: l.Addr().String(), listener: l, script: script, endings: endings}
	go s.accept()
	return s
}

// Conns returns the number of connections so far.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve answers the requests of a connection.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		req.RemoteAddr = conn.RemoteAddr().String()
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		answer, ending := s.answer(req)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		switch ending {
		case Close:
			return
		case Reset:
			_ = conn.(*net.TCPConn).SetLinger(0) // fails if the caller has closed it
			return
		}
	}
}

func (s *Server) answer(r *http.Request) (string, Ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	n := s.requests - 1
	return s.script(n, r), s.endings(n)
}
