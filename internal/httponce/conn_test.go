package httponce

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"
)

// cutBeforeWrite returns a context for one request that is cancelled, and its connection closed,
// while net/http has written the request to its buffer but not to the connection.
func cutBeforeWrite(parent context.Context) context.Context {
	ctx, cancel := context.WithCancel(parent)
	var conn net.Conn
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		WroteHeaders: func() {
			cancel()
			for conn.SetDeadline(time.Time{}) == nil { // until it is closed
				time.Sleep(time.Millisecond)
			}
		},
	})
}

// TestRequestCutBeforeItIsWrittenIsUnsent cuts a request that has a connection, but of which
// nothing was written to it, as happens on a busy machine.
func TestRequestCutBeforeItIsWrittenIsUnsent(t *testing.T) {
	for _, kept := range []bool{false, true} {
		var runs atomic.Int64
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
		c := New()
		if kept {
			openConnection(t, c, s.URL)
		}
		before := runs.Load()
		_, err := c.Do(newRequest(t, http.MethodPost, s.URL, "text").WithContext(cutBeforeWrite(t.Context())))
		var unsent *UnsentError
		if !errors.As(err, &unsent) {
			t.Errorf("kept connection %t: want UnsentError, got %v", kept, err)
		}
		s.Close() // waits for requests that the server has
		if n := runs.Load() - before; n != 0 {
			t.Errorf("kept connection %t: an unsent request ran %d times", kept, n)
		}
	}
}

// TestWriteToAClosedConnectionSendsNothing lets the transport write only after it has closed the
// connection of a request that was given up.
func TestWriteToAClosedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := newWatchedConn(near)
	watch := &requestWatch{}
	watch.gotConn(conn)
	near.Close()
	if _, err := conn.Write([]byte("late")); err == nil {
		t.Fatal("a closed connection takes bytes")
	}
	if !watch.unsent() {
		t.Error("a request of which nothing was written counts as sent")
	}
}

// TestRequestThatIsBeingWrittenHasUnknownOutcome asks while a write is in progress.
func TestRequestThatIsBeingWrittenHasUnknownOutcome(t *testing.T) {
	near, far := net.Pipe()
	conn := newWatchedConn(near)
	watch := &requestWatch{}
	watch.gotConn(conn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn.Write([]byte("text")) // ends with an error once the pipe is closed
	}()
	far.Read(make([]byte, 1)) // the peer has a part of it
	if watch.unsent() {
		t.Error("a request that is being written counts as unsent")
	}
	far.Close()
	<-done
	if watch.unsent() {
		t.Error("a request that was written in part counts as unsent")
	}
}

// TestRequestCutAfterItIsWrittenHasUnknownOutcome is the other half: a request that the server
// may have is not declared unsent, whether its answer is cut off by the caller or the server.
func TestRequestCutAfterItIsWrittenHasUnknownOutcome(t *testing.T) {
	for _, byServer := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body) // until then, the server does not notice that the client closes
			if byServer {
				panic(http.ErrAbortHandler)
			}
			cancel()
			<-r.Context().Done()
		}))
		_, err := New().Do(newRequest(t, http.MethodPost, s.URL, "text").WithContext(ctx))
		var unsent *UnsentError
		if err == nil || errors.As(err, &unsent) {
			t.Errorf("cut by the server %t: want an error of unknown outcome, got %v", byServer, err)
		}
		cancel()
		s.Close()
	}
}

// TestNoWriteAfterARequestWasDeclaredUnsent writes late, as a goroutine of the transport does
// that did not run before the request was given up: nothing may reach the peer.
func TestNoWriteAfterARequestWasDeclaredUnsent(t *testing.T) {
	near, far := net.Pipe()
	got := make(chan int, 1)
	go func() {
		n, _ := far.Read(make([]byte, 8)) // ends with an error once near is closed
		got <- n
	}()
	conn := newWatchedConn(near)
	watch := &requestWatch{}
	watch.gotConn(conn)
	if !watch.unsent() {
		t.Fatal("a request that was not written is not unsent")
	}
	if _, err := conn.Write([]byte("late")); !errors.Is(err, errSealed) {
		t.Errorf("a late write: %v", err)
	}
	near.Close()
	if n := <-got; n != 0 {
		t.Errorf("%d bytes reached the peer", n)
	}
}
