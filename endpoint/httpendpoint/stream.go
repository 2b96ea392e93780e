package httpendpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/tmaxmax/go-sse"

	"mulberryscale.example/endpoint"
)

// ErrStreamBroken is returned when a stream stops without a finish reason.
var ErrStreamBroken = errors.New("stream ended without a finish reason")

// drainTimeout limits the wait for the engine to close a response whose finish
// reason has arrived.
const drainTimeout = 100 * time.Millisecond

// stream reads a generation's server-sent events. Close may be called
// concurrently with Next.
type stream struct {
	peer   string
	cancel context.CancelFunc
	body   io.Closer

	mu       sync.Mutex // held by Next, and by Close once the body is closed
	next     func() (sse.Event, error, bool)
	stop     func()
	finished bool
	err      error // the error that ended the stream, returned by each further Next
}

func newStream(peer string, cancel context.CancelFunc, body io.ReadCloser) *stream {
	next, stop := iter.Pull2(sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return &stream{peer: peer, cancel: cancel, body: body, next: next, stop: stop}
}

// Next implements endpoint.Stream.
func (s *stream) Next() (endpoint.Chunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return endpoint.Chunk{}, s.err
	}
	chunk, err := s.read()
	if err != nil && err != io.EOF {
		err = trace.Wrap(err, "engine.stream: engine %s", s.peer)
	}
	s.err = err
	return chunk, err
}

func (s *stream) read() (endpoint.Chunk, error) {
	if s.finished {
		s.drain()
		return endpoint.Chunk{}, io.EOF
	}
	event, err, ok := s.next()
	if err != nil {
		return endpoint.Chunk{}, fmt.Errorf("%w: %w", ErrStreamBroken, err)
	}
	if !ok || event.Data == DoneData {
		return endpoint.Chunk{}, ErrStreamBroken
	}
	var body EventBody
	if err := json.Unmarshal([]byte(event.Data), &body); err != nil {
		return endpoint.Chunk{}, trace.Wrap(err, "event is not the JSON expected")
	}
	chunk := body.Chunk()
	s.finished = chunk.FinishReason != ""
	return chunk, nil
}

// drain reads the rest of a finished response, so that the connection can be
// reused. If the engine doesn't close the response within drainTimeout, drain
// closes the connection.
func (s *stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	for ok := true; ok; {
		_, _, ok = s.next()
	}
}

// Close implements endpoint.Stream. It closes the connection, upon which the
// engine cancels the run.
func (s *stream) Close() error {
	s.cancel()
	err := s.body.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
	return trace.Wrap(err, "engine.stream: close: engine %s", s.peer)
}
