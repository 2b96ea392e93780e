package memtransport

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/transport"
	"mulberryscale.example/transport/codec"
)

// Errors of Send and Recv on closed streams.
var (
	errClosed     = errors.New("memtransport: stream closed")
	errPeerClosed = errors.New("memtransport: stream closed by the peer")
	errPeerDone   = errors.New("memtransport: the peer's handler has returned")
	errSendClosed = errors.New("memtransport: send after CloseSend")
)

// stream is one side of a stream pair, a transport.Stream.
type stream struct {
	pair   *streamPair
	self   transport.PeerID
	peer   *stream
	in     *direction
	ctx    context.Context
	cancel context.CancelCauseFunc

	err         error // why this side failed; nil while it is usable
	readStopped bool  // Recv fails, Send still works
	finishing   bool  // the handler has returned
	receivedEOF bool  // Recv has returned io.EOF
}

func newStream(p *streamPair, self transport.PeerID) *stream {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &stream{pair: p, self: self, in: &direction{changed: make(chan struct{})}, ctx: ctx, cancel: cancel}
}

// fail makes Send and Recv return err and cancels the context. It is called with
// the pair's mutex held.
func (s *stream) fail(err error) {
	if s.err != nil {
		return
	}
	s.err = err
	s.cancel(err)
	if s.peer.err != nil {
		// Lock order: the network's mutex before the pair's, which is held here.
		go s.pair.remove()
	}
}

// applyPeerClose applies the peer's Close to this side, unless the link is
// stalled. It is called with the pair's mutex held.
func (s *stream) applyPeerClose() {
	if s.pair.stalled {
		return
	}
	if s.in.reset {
		s.fail(errPeerClosed)
		return
	}
	if out := s.peer.in; out.readerClosed && !out.finished {
		s.cancel(errPeerClosed)
	}
}

func (s *stream) Send(msg any) error {
	data, err := codec.Marshal(msg)
	if err != nil {
		return err
	}
	err = s.enqueue(data)
	if err != nil {
		return trace.Wrap(err, "memtransport: send to %s", s.peer.self)
	}
	return nil
}

func (s *stream) enqueue(data []byte) error {
	p, out := s.pair, s.peer.in
	for {
		p.mu.Lock()
		if err := s.sendError(); err != nil {
			p.mu.Unlock()
			return err
		}
		if out.size == 0 || out.size+len(data) <= window {
			break
		}
		changed := out.changed
		p.mu.Unlock()
		<-changed
	}
	defer p.mu.Unlock()
	out.queue = append(out.queue, message{data: data, at: s.arrival()})
	out.size += len(data)
	out.notify()
	s.announce()
	return nil
}

// sendError returns why Send can't proceed, or nil. It is called with the pair's
// mutex held.
func (s *stream) sendError() error {
	out := s.peer.in
	switch {
	case s.err != nil:
		return s.err
	case out.finished:
		return errSendClosed
	case out.readerFinished && !s.pair.stalled:
		return errPeerDone
	case out.readerClosed && !s.pair.stalled:
		return errPeerClosed
	}
	return nil
}

// arrival returns when a message sent now arrives: never before earlier messages.
func (s *stream) arrival() time.Time {
	at := time.Now().Add(s.pair.latency)
	queue := s.peer.in.queue
	if len(queue) > 0 && queue[len(queue)-1].at.After(at) {
		return queue[len(queue)-1].at
	}
	return at
}

// announce delivers the stream to the listener once the dialing side has sent on it.
func (s *stream) announce() {
	p := s.pair
	if p.announced || s != p.dialer {
		return
	}
	p.announced = true
	p.to.deliver(p.listener)
}

func (s *stream) Recv(msg any) error {
	data, err := s.dequeue()
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return trace.Wrap(err, "memtransport: receive from %s", s.peer.self)
	}
	return codec.Unmarshal(data, msg)
}

func (s *stream) dequeue() ([]byte, error) {
	p := s.pair
	for {
		p.mu.Lock()
		data, wait, err := s.next()
		changed := s.in.changed
		p.mu.Unlock()
		if data != nil || err != nil {
			return data, err
		}
		waitFor(changed, wait)
	}
}

// next returns a message or an error that has arrived, or else the time to wait
// unless there is a change before; 0 means to wait for a change. It is called
// with the pair's mutex held.
func (s *stream) next() (data []byte, wait time.Duration, err error) {
	if s.err != nil {
		return nil, 0, s.err
	}
	if s.readStopped {
		return nil, 0, errClosed
	}
	if s.pair.stalled {
		return nil, 0, nil
	}
	if len(s.in.queue) == 0 {
		return s.nextEOF()
	}
	first := s.in.queue[0]
	if wait := time.Until(first.at); wait > 0 {
		return nil, wait, nil
	}
	s.in.queue = s.in.queue[1:]
	s.in.size -= len(first.data)
	s.in.notify()
	return first.data, 0, nil
}

// nextEOF is the part of next for an empty queue: it returns io.EOF once the peer's end of
// the stream has arrived. Its other results are those of next.
func (s *stream) nextEOF() (data []byte, wait time.Duration, err error) {
	if !s.in.finished {
		return nil, 0, nil
	}
	if wait := time.Until(s.in.finishedAt); wait > 0 {
		return nil, wait, nil
	}
	s.receivedEOF = true
	s.cancelIfBothDone()
	return nil, 0, io.EOF
}

func waitFor(changed <-chan struct{}, d time.Duration) {
	if d <= 0 {
		<-changed
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func (s *stream) CloseSend() error {
	p := s.pair
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.err != nil {
		return trace.Wrap(s.err, "memtransport: close send to %s", s.peer.self)
	}
	s.closeSend()
	return nil
}

func (s *stream) closeSend() {
	out := s.peer.in
	if out.finished {
		return
	}
	out.finished = true
	out.finishedAt = s.arrival()
	out.notify()
	s.announce()
	s.cancelIfBothDone()
}

// cancelIfBothDone cancels the context once both directions are closed without an error.
func (s *stream) cancelIfBothDone() {
	if s.receivedEOF && s.peer.in.finished {
		s.cancel(errClosed)
	}
}

// Close cancels both directions. Messages sent before a CloseSend still arrive.
func (s *stream) Close() error {
	p := s.pair
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.err != nil {
		return nil
	}
	s.fail(errClosed)
	s.peer.in.reset = !s.peer.in.finished
	s.in.readerClosed = true
	s.peer.applyPeerClose()
	p.notifyBoth()
	return nil
}

// finish closes the stream after its handler has returned; messages already sent
// still arrive. It waits until the peer has closed its side too, as the peer does
// once it has read everything, for at most PeerCloseTimeout.
func (s *stream) finish() {
	if !s.beginFinish() {
		return
	}
	timer := time.AfterFunc(PeerCloseTimeout, s.completeFinish)
	defer timer.Stop()
	for {
		if _, err := s.dequeue(); err != nil {
			s.completeFinish()
			return
		}
	}
}

// beginFinish closes the sending direction and reports whether there is a peer to
// wait for.
func (s *stream) beginFinish() bool {
	s.pair.mu.Lock()
	defer s.pair.mu.Unlock()
	if s.err != nil {
		return false
	}
	s.finishing = true
	s.readStopped = false
	s.closeSend()
	s.cancel(errClosed)
	return true
}

func (s *stream) completeFinish() {
	s.pair.mu.Lock()
	defer s.pair.mu.Unlock()
	s.in.readerFinished = true
	s.fail(errClosed)
	s.pair.notifyBoth()
}

// stopReading makes a waiting Recv fail; Send still works.
func (s *stream) stopReading() {
	s.pair.mu.Lock()
	defer s.pair.mu.Unlock()
	if s.finishing {
		return
	}
	s.readStopped = true
	s.in.notify()
}

func (s *stream) Peer() transport.PeerID { return s.peer.self }

func (s *stream) Context() context.Context { return s.ctx }
