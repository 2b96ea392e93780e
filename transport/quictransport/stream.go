package quictransport

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"mulberryscale.example/transport"
	"mulberryscale.example/transport/codec"
)

// errClosed is the cause of the end of streams that were closed on this side.
var errClosed = errors.New("quictransport: stream closed")

// stream is a transport.Stream over one QUIC stream.
type stream struct {
	qs     *quic.Stream
	peer   transport.PeerID
	dec    *codec.Decoder
	ctx    context.Context
	cancel context.CancelCauseFunc
	sent   atomic.Bool // CloseSend was called
	read   atomic.Bool // Recv has returned io.EOF

	mu        sync.Mutex
	finishing bool // finish has set its read deadline
}

func newStream(conn *quic.Conn, qs *quic.Stream, peer transport.PeerID) *stream {
	ctx, cancel := context.WithCancelCause(conn.Context())
	s := &stream{qs: qs, peer: peer, dec: codec.NewDecoder(qs), ctx: ctx, cancel: cancel}
	context.AfterFunc(qs.Context(), s.sendSideEnded)
	return s
}

// sendSideEnded runs once the sending side has ended, by us or by the peer.
func (s *stream) sendSideEnded() {
	cause := context.Cause(s.qs.Context())
	var reset *quic.StreamError
	if errors.As(cause, &reset) && reset.Remote && reset.ErrorCode != streamDone {
		s.cancel(cause)
	}
}

func (s *stream) Send(msg any) error {
	data, err := codec.Marshal(msg)
	if err != nil {
		return err
	}
	if _, err := s.qs.Write(data); err != nil {
		return trace.Wrap(err, "quictransport: send to %s", s.peer)
	}
	return nil
}

func (s *stream) Recv(msg any) error {
	err := s.dec.Decode(msg)
	if err == nil {
		return nil
	}
	if errors.Is(err, io.EOF) {
		s.read.Store(true)
		s.endIfBothDone()
		return io.EOF
	}
	var reset *quic.StreamError
	if errors.As(err, &reset) {
		s.cancel(err)
	}
	return trace.Wrap(err, "quictransport: receive from %s", s.peer)
}

func (s *stream) CloseSend() error {
	s.sent.Store(true)
	err := s.qs.Close()
	s.endIfBothDone()
	if err != nil {
		return trace.Wrap(err, "quictransport: close send to %s", s.peer)
	}
	return nil
}

func (s *stream) endIfBothDone() {
	if s.sent.Load() && s.read.Load() {
		s.cancel(errClosed)
	}
}

func (s *stream) Close() error {
	s.qs.CancelRead(streamGivenUp)
	// After CloseSend the messages sent are left to arrive.
	if !s.sent.Load() {
		s.qs.CancelWrite(streamGivenUp)
	}
	s.cancel(errClosed)
	return nil
}

// finish ends the stream after its handler: what was sent still arrives. It
// waits until the peer has ended its side too, as it does once it has read all.
func (s *stream) finish() {
	switch {
	case s.sent.Load(): // the handler has ended it; what it sent is on its way
	case s.ctx.Err() == nil:
		_ = s.CloseSend() // fails only when the peer has gone
	default:
		s.qs.CancelWrite(streamGivenUp) // gives the stream's place back to the peer
	}
	s.cancel(errClosed)
	s.setReadDeadline(time.Now().Add(PeerCloseTimeout), true)
	_, _ = io.Copy(io.Discard, s.qs) // any error ends the wait
	s.qs.CancelRead(streamDone)
}

// stopReading makes a Recv that waits fail and leaves sending as it is.
func (s *stream) stopReading() { s.setReadDeadline(time.Now(), false) }

// setReadDeadline sets the deadline unless finish has set the last one.
func (s *stream) setReadDeadline(t time.Time, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finishing {
		return
	}
	s.finishing = last
	_ = s.qs.SetReadDeadline(t) // always nil in quic-go
}

func (s *stream) Peer() transport.PeerID { return s.peer }

func (s *stream) Context() context.Context { return s.ctx }
