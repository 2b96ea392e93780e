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

// errClosed is the cancellation cause of the context of streams closed on this side.
var errClosed = errors.New("quictransport: stream closed")

// stream is a transport.Stream over one QUIC stream.
type stream struct {
	qs          *quic.Stream
	peer        transport.PeerID
	dec         *codec.Decoder
	ctx         context.Context
	cancel      context.CancelCauseFunc
	sendClosed  atomic.Bool // CloseSend was called
	receivedEOF atomic.Bool // Recv has returned io.EOF

	mu        sync.Mutex
	finishing bool // finish has set its read deadline
}

func newStream(conn *quic.Conn, qs *quic.Stream, peer transport.PeerID) *stream {
	ctx, cancel := context.WithCancelCause(conn.Context())
	s := &stream{qs: qs, peer: peer, dec: codec.NewDecoder(qs), ctx: ctx, cancel: cancel}
	context.AfterFunc(qs.Context(), s.onSendSideClosed)
	return s
}

// onSendSideClosed runs once the sending side is closed, by either side. It
// cancels the context if the peer has cancelled the stream.
func (s *stream) onSendSideClosed() {
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
		s.receivedEOF.Store(true)
		s.cancelIfBothDone()
		return io.EOF
	}
	var reset *quic.StreamError
	if errors.As(err, &reset) {
		s.cancel(err)
	}
	return trace.Wrap(err, "quictransport: receive from %s", s.peer)
}

func (s *stream) CloseSend() error {
	s.sendClosed.Store(true)
	err := s.qs.Close()
	s.cancelIfBothDone()
	if err != nil {
		return trace.Wrap(err, "quictransport: close send to %s", s.peer)
	}
	return nil
}

func (s *stream) cancelIfBothDone() {
	if s.sendClosed.Load() && s.receivedEOF.Load() {
		s.cancel(errClosed)
	}
}

func (s *stream) Close() error {
	s.qs.CancelRead(streamCancelled)
	// After CloseSend, messages already sent must still arrive.
	if !s.sendClosed.Load() {
		s.qs.CancelWrite(streamCancelled)
	}
	s.cancel(errClosed)
	return nil
}

// finish closes the stream after its handler has returned; messages already sent
// still arrive. It waits until the peer has closed its side too, as the peer does
// once it has read everything, for at most PeerCloseTimeout.
func (s *stream) finish() {
	switch {
	case s.sendClosed.Load(): // the handler has called CloseSend; its messages are in transit
	case s.ctx.Err() == nil:
		_ = s.CloseSend() // fails only if the peer has cancelled the stream or is lost
	default:
		s.qs.CancelWrite(streamCancelled) // lets the peer open another stream
	}
	s.cancel(errClosed)
	s.setReadDeadline(time.Now().Add(PeerCloseTimeout), true)
	_, _ = io.Copy(io.Discard, s.qs) // any error ends the wait
	s.qs.CancelRead(streamDone)
}

// stopReading makes a waiting Recv fail; Send still works.
func (s *stream) stopReading() { s.setReadDeadline(time.Now(), false) }

// setReadDeadline sets the read deadline unless finish has set the last one.
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
