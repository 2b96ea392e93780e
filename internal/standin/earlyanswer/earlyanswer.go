// Package earlyanswer is a stand-in for an endpoint that answers with a body without a length, which ends with the
// connection, and that may do so before it has read the request's body, and break the answer off.
package earlyanswer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// wholeUpload stands for all bytes of a request's body.
const wholeUpload = -1

// MinUpload is the smallest request body, in bytes, that is still being written when the answer comes: the buffers of
// both sockets hold less.
const MinUpload = 16 << 20

// answer says how the server answers.
type answer struct {
	// upload is the number of bytes of the request's body that are read first.
	upload int64
	// length says that the answer announces its length.
	length bool
	// cut says that the connection is reset after a part of the answer.
	cut bool
	// pause is the time between the last byte and the reset.
	pause time.Duration
}

// cutAnswers are answers of which a part is sent.
func cutAnswers() []answer {
	var all []answer
	for _, upload := range []int64{0, 64 << 10, 1 << 20} {
		for _, pause := range []time.Duration{0, 0, 20 * time.Millisecond, 100 * time.Millisecond} {
			all = append(all, answer{upload: upload, cut: true, pause: pause})
		}
	}
	return all
}

// wholeAnswers are answers that are sent whole.
func wholeAnswers() []answer {
	return []answer{{upload: wholeUpload}, {upload: wholeUpload, length: true}, {length: true}}
}

// Reader is one reader of an endpoint's answers.
type Reader struct {
	// Call makes a call with a body of MinUpload bytes or more to the server at addr ("ip:port") and reads its
	// answer to the end. The error is nil if the answer is whole.
	Call func(t *testing.T, addr string) error
	// Headers are those by which an answer passes the reader's checks; nil for none.
	Headers func(*http.Request) http.Header
	// Body is the body of an answer, and as much as is sent of one that is cut: by itself it is valid.
	Body string
}

// Check checks that a reader takes no part of an answer for the whole one, and that it takes whole ones.
func Check(t *testing.T, name string, r Reader) {
	for _, a := range append(cutAnswers(), wholeAnswers()...) {
		t.Run(fmt.Sprintf("%s/%s", name, a), func(t *testing.T) {
			t.Parallel()
			err := r.Call(t, start(t, a, r))
			if a.cut && err == nil {
				t.Error("a part was taken for the whole answer")
			}
			if !a.cut && err != nil {
				t.Errorf("a whole answer was refused: %v", err)
			}
		})
	}
}

// String implements fmt.Stringer.
func (a answer) String() string {
	return fmt.Sprintf("upload=%d,length=%t,cut=%t,pause=%s", a.upload, a.length, a.cut, a.pause)
}

// start starts a server, which ends with the test, and returns its address.
func start(t *testing.T, a answer, r Reader) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(conn.(*net.TCPConn), r)
		}
	}()
	return l.Addr().String()
}

// serve answers one request.
func (a answer) serve(conn *net.TCPConn, r Reader) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || a.readUpload(req) != nil {
		return
	}
	if _, err := io.WriteString(conn, a.text(req, r)); err != nil {
		return
	}
	if a.cut {
		time.Sleep(a.pause)
		_ = conn.SetLinger(0) // resets the connection
		return
	}
	if a.length {
		_, _ = io.Copy(io.Discard, req.Body) // until the caller closes the connection
	}
}

// readUpload reads what is read of the request's body before the answer.
func (a answer) readUpload(req *http.Request) error {
	upload := a.upload
	if upload == wholeUpload {
		upload = req.ContentLength
	}
	_, err := io.CopyN(io.Discard, req.Body, upload)
	return err
}

// text returns the answer, or what is sent of it.
func (a answer) text(req *http.Request, r Reader) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	if r.Headers != nil {
		_ = r.Headers(req).Write(&b) // a builder takes all
	}
	if a.length {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n" + r.Body)
	return b.String()
}
