package httponce

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// ErrTooLong is returned for an answer, or an event of a stream, that has more bytes than it may have, or more than
// this process has memory for. The rest is not read: the caller closes the body, and with it the connection.
var ErrTooLong = errors.New("httponce: the answer is too long")

const (
	// uncounted is the part of each answer or event, in bytes, that takes nothing from an AnswerMemory, so
	// that ordinary ones are read however many long ones there are.
	uncounted = 64 << 10
	// minBlock and maxBlock bound the size, in bytes, of the blocks into which a body is read.
	minBlock = 4 << 10
	maxBlock = 64 << 10
)

// AnswerMemory limits the memory of the answers that are being read, all together. An endpoint in trouble may send
// bytes without end, and several may do so at once. It is safe for concurrent use.
type AnswerMemory struct {
	mu   sync.Mutex
	left int64
}

// NewAnswerMemory returns a memory of the given size in bytes.
func NewAnswerMemory(size int64) *AnswerMemory { return &AnswerMemory{left: size} }

// take takes n bytes and reports whether there were that many.
func (m *AnswerMemory) take(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.left {
		return false
	}
	m.left -= n
	return true
}

// release gives n bytes back.
func (m *AnswerMemory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left += n
}

// ReadBody reads the whole body of an answer. It fails with ErrTooLong if that has more than limit bytes, or more than
// the memory has left.
func (m *AnswerMemory) ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit && resp.Body != http.NoBody { // the answer to a HEAD request has a length only
		return nil, fmt.Errorf("%w: %d bytes announced, %d allowed", ErrTooLong, resp.ContentLength, limit)
	}
	taken := share{memory: m, limit: limit}
	defer taken.release()
	var full [][]byte
	block := make([]byte, 0, firstBlock(resp.ContentLength))
	for {
		n, err := resp.Body.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		if tooLong := taken.grow(n); tooLong != nil {
			return nil, tooLong
		}
		if errors.Is(err, io.EOF) {
			return join(full, block), nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
		if len(block) == cap(block) {
			full = append(full, block)
			block = make([]byte, 0, min(2*cap(block), maxBlock))
		}
	}
}

// firstBlock returns the size of the first block for a body of the given length, negative if that is unknown. A known
// length leaves room for the read that finds the end.
func firstBlock(length int64) int {
	if length < 0 {
		return minBlock
	}
	return int(min(length+1, maxBlock))
}

// join returns the blocks of a body as one.
func join(full [][]byte, last []byte) []byte {
	if len(full) == 0 {
		return last
	}
	return bytes.Join(append(full, last), nil)
}

// ReadBody reads a whole body. It fails with ErrTooLong if that has more than limit bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(b)) > limit {
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLong, limit)
	}
	return b, nil
}

// share is what one answer or event has taken of an AnswerMemory.
type share struct {
	memory *AnswerMemory
	limit  int64
	size   int64 // bytes read
	taken  int64 // bytes taken from the memory
}

// grow counts n more bytes.
func (s *share) grow(n int) error {
	s.size += int64(n)
	if s.size > s.limit {
		return fmt.Errorf("%w: over %d bytes", ErrTooLong, s.limit)
	}
	more := s.size - uncounted - s.taken
	if more <= 0 {
		return nil
	}
	if !s.memory.take(more) {
		return fmt.Errorf("%w: no memory left after %d bytes", ErrTooLong, s.size)
	}
	s.taken += more
	return nil
}

// release gives back what was taken; the next bytes count from zero.
func (s *share) release() {
	if s.taken > 0 {
		s.memory.release(s.taken)
	}
	s.size, s.taken = 0, 0
}

// EventLines reads the lines of a stream of server-sent events, and limits the bytes of each event. It is not safe for
// concurrent use.
type EventLines struct {
	lines *bufio.Reader
	share share
}

// EventLines returns a reader of the lines of a stream whose events have at most limit bytes each.
func (m *AnswerMemory) EventLines(body io.Reader, limit int64) *EventLines {
	return &EventLines{lines: bufio.NewReader(body), share: share{memory: m, limit: limit}}
}

// Next returns the next line with its line feed. At the end of the stream it returns what is left, and io.EOF. All
// bytes since the former EndEvent count, also those of empty lines. The line is valid until the next call.
func (l *EventLines) Next() ([]byte, error) {
	var line []byte
	for {
		part, err := l.lines.ReadSlice('\n')
		if tooLong := l.share.grow(len(part)); tooLong != nil {
			return nil, tooLong
		}
		whole := !errors.Is(err, bufio.ErrBufferFull)
		if whole && line == nil {
			return part, err
		}
		line = append(line, part...)
		if whole {
			return line, err
		}
	}
}

// EndEvent says that the next line begins another event.
func (l *EventLines) EndEvent() { l.share.release() }
