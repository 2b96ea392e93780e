package httponce

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// countingReader returns bytes without end and counts them.
type countingReader struct {
	line string
	n    int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], r.line)
	}
	r.n += int64(n)
	return n, nil
}

func answerOf(body io.Reader, length int64) *http.Response {
	return &http.Response{Body: io.NopCloser(body), ContentLength: length}
}

func TestBodiesAreReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, minBlock - 1, minBlock, 3*minBlock + 1, maxBlock, 5*maxBlock + 7, 1 << 20} {
		want := bytes.Repeat([]byte("b"), size)
		for _, length := range []int64{-1, int64(size)} {
			for name, body := range map[string]io.Reader{
				"at once": bytes.NewReader(want), "end with the last byte": iotest.DataErrReader(bytes.NewReader(want)), "in halves": iotest.HalfReader(bytes.NewReader(want)),
			} {
				m := NewAnswerMemory(2 << 20)
				got, err := m.ReadBody(answerOf(body, length), 1<<20)
				if err != nil || !bytes.Equal(got, want) {
					t.Errorf("%s: %d of %d bytes, announced %d: %v", name, len(got), size, length, err)
				}
				if m.left != 2<<20 {
					t.Errorf("%d bytes of memory left", m.left)
				}
			}
		}
	}
}

// TestCutBodyIsNoBody guards against a body that was cut off and counts as whole.
func TestCutBodyIsNoBody(t *testing.T) {
	cut := io.MultiReader(strings.NewReader("whole?"), iotest.ErrReader(io.ErrUnexpectedEOF))
	if got, err := NewAnswerMemory(1).ReadBody(answerOf(cut, -1), 100); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %q, %v", got, err)
	}
}

// TestBodiesWithoutEndShareTheMemory guards against several endpoints that send bodies without end at once: each has a
// limit, but all limits together are more than the process has.
func TestBodiesWithoutEndShareTheMemory(t *testing.T) {
	const size, limit, readers = 4 << 20, 3 << 20, 8
	m := NewAnswerMemory(size)
	var bodies []*countingReader
	var held []*EventLines
	for range readers { // streams that hold what they have read of an event
		body := &countingReader{line: "data: a\n"}
		lines := m.EventLines(body, limit)
		for lines.share.size < limit {
			if _, err := lines.Next(); err != nil {
				if !errors.Is(err, ErrTooLong) {
					t.Fatal(err)
				}
				break
			}
		}
		bodies, held = append(bodies, body), append(held, lines)
	}
	var read int64
	for _, b := range bodies {
		read += b.n
	}
	if most := int64(size + readers*(uncounted+maxBlock)); read > most {
		t.Errorf("%d bytes were read, want at most %d", read, most)
	}
	body := &countingReader{line: "b"}
	if _, err := m.ReadBody(answerOf(body, -1), limit); !errors.Is(err, ErrTooLong) || body.n > uncounted+2*maxBlock {
		t.Errorf("%d bytes of a body were read with no memory left: %v", body.n, err)
	}
	if _, err := m.ReadBody(answerOf(strings.NewReader("short"), -1), limit); err != nil {
		t.Errorf("a short answer is not read while others have no end: %v", err)
	}
	for _, lines := range held {
		lines.EndEvent()
	}
	if m.left != size {
		t.Errorf("%d of %d bytes are left after the end", m.left, size)
	}
	if _, err := m.ReadBody(answerOf(bytes.NewReader(make([]byte, limit)), -1), limit); err != nil {
		t.Errorf("a long answer is not read afterwards: %v", err)
	}
}

// TestEventsWithoutEndAreBounded guards against lines, events and empty lines that do not end.
func TestEventsWithoutEndAreBounded(t *testing.T) {
	const limit = 1 << 20
	for name, text := range map[string]string{"one line": "a", "lines": "data: a\n", "empty lines": "\n"} {
		body := &countingReader{line: text}
		lines := NewAnswerMemory(limit).EventLines(body, limit)
		var err error
		for err == nil {
			_, err = lines.Next()
		}
		if !errors.Is(err, ErrTooLong) || body.n > limit+maxBlock {
			t.Errorf("%s: %d bytes were read, %v", name, body.n, err)
		}
	}
}

// TestEventsOfALongStreamAreRead guards against a limit for events that counts the stream.
func TestEventsOfALongStreamAreRead(t *testing.T) {
	const events = 1000
	lines := NewAnswerMemory(0).EventLines(strings.NewReader(strings.Repeat("data: "+strings.Repeat("a", 300)+"\n\n", events)), 512)
	n := 0
	for {
		line, err := lines.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if string(line) == "\n" {
			lines.EndEvent()
			n++
		}
	}
	if n != events {
		t.Errorf("%d of %d events", n, events)
	}
}

// TestLengthWithoutABodyIsNoBody guards against the answer to a HEAD request that counts as too long.
func TestLengthWithoutABodyIsNoBody(t *testing.T) {
	resp := &http.Response{Body: http.NoBody, ContentLength: 1 << 40}
	if got, err := NewAnswerMemory(1).ReadBody(resp, 100); err != nil || len(got) > 0 {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
}
