package httponce

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// endingConn is a connection whose peer has sent an answer and ended the connection. A write takes
// writeTime and returns writeErr.
type endingConn struct {
	net.Conn
	answer    io.Reader
	writeTime time.Duration
	writeErr  error
}

func (c *endingConn) Read(b []byte) (int, error) { return c.answer.Read(b) }

func (c *endingConn) Write(b []byte) (int, error) {
	time.Sleep(c.writeTime)
	return len(b), c.writeErr
}

// Guards against a part of an answer that counts as whole: a reset that a write has reported looks
// like an orderly end to the reader.
func TestEndOfAnAnswerDuringTheUpload(t *testing.T) {
	for name, tt := range map[string]struct {
		conn  endingConn
		whole bool
	}{
		"written":                    {endingConn{answer: strings.NewReader("answer")}, true},
		"written soon after the end": {endingConn{answer: strings.NewReader("answer"), writeTime: uploadGrace / 2}, true},
		"still being written":        {endingConn{answer: strings.NewReader("answer"), writeTime: time.Hour}, false},
		"reset":                      {endingConn{answer: strings.NewReader("answer"), writeErr: syscall.ECONNRESET}, false},
		"reset soon after the end":   {endingConn{answer: strings.NewReader("answer"), writeTime: uploadGrace / 2, writeErr: syscall.EPIPE}, false},
		"no answer":                  {endingConn{answer: strings.NewReader(""), writeTime: time.Hour}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn, watch := newWatchedConn(&tt.conn), &requestWatch{}
				watch.gotConn(conn)
				var upload sync.WaitGroup
				defer upload.Wait()
				upload.Go(func() {
					_, err := conn.Write([]byte("upload"))
					watch.wroteRequest(err)
				})
				synctest.Wait()
				_, err := io.ReadAll(conn)
				if whole := err == nil; whole != tt.whole || (!whole && !errors.Is(err, io.ErrUnexpectedEOF)) {
					t.Errorf("got %v", err)
				}
			})
		})
	}
}

// Guards against an upload in several writes that counts as written between two of them.
func TestEndOfAnAnswerBetweenTwoWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, watch := newWatchedConn(&endingConn{answer: strings.NewReader("answer")}), &requestWatch{}
		watch.gotConn(conn)
		if _, err := conn.Write([]byte("up")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(conn); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("got %v", err)
		}
	})
}
