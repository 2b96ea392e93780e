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

// Errors of closed streams.
var (
	errClosed     = errors.New("memtransport: stream closed")
	errPeerClosed = errors.New("memtransport: stream closed by the peer")
	errPeerDone   = errors.New("memtransport: the peer's handler has returned")
	errSendClosed = errors.New("memtransport: send after CloseSend")
)

// end is one side's transport.Stream.
type end struct {
	call   *call
	self   transport.PeerID
	peer   *end
	in     *half
	ctx    context.Context
	cancel context.CancelCauseFunc

	broken      error // why this side can no longer be used; nil while it can
	readStopped bool  // Recv fails, Send goes on
	finishing   bool  // the handler has returned
	sawEnd      bool  // Recv has returned io.EOF
}

func newEnd(c *call, self transport.PeerID) *end {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &end{call: c, self: self, in: &half{changed: make(chan struct{})}, ctx: ctx, cancel: cancel}
}

// breakWith is called with the call's mutex held.
func (e *end) breakWith(err error) {
	if e.broken != nil {
		return
	}
	e.broken = err
	e.cancel(err)
	if e.peer.broken != nil {
		// The network's mutex comes before the call's, so not from here.
		go e.call.forget()
	}
}

// learn brings to this end what its peer has given up, unless the link is stalled.
func (e *end) learn() {
	if e.call.stalled {
		return
	}
	if e.in.reset {
		e.breakWith(errPeerClosed)
		return
	}
	if out := e.peer.in; out.readerGone && !out.finished {
		e.cancel(errPeerClosed)
	}
}

func (e *end) Send(msg any) error {
	data, err := codec.Marshal(msg)
	if err != nil {
		return err
	}
	err = e.enqueue(data)
	if err != nil {
		return trace.Wrap(err, "memtransport: send to %s", e.peer.self)
	}
	return nil
}

func (e *end) enqueue(data []byte) error {
	c, out := e.call, e.peer.in
	for {
		c.mu.Lock()
		if err := e.sendError(); err != nil {
			c.mu.Unlock()
			return err
		}
		if out.size == 0 || out.size+len(data) <= window {
			break
		}
		changed := out.changed
		c.mu.Unlock()
		<-changed
	}
	defer c.mu.Unlock()
	out.queue = append(out.queue, message{data: data, at: e.arrival()})
	out.size += len(data)
	out.notify()
	e.accept()
	return nil
}

// sendError says why Send cannot go on; it is called with the call's mutex held.
func (e *end) sendError() error {
	out := e.peer.in
	switch {
	case e.broken != nil:
		return e.broken
	case out.finished:
		return errSendClosed
	case out.readerDone && !e.call.stalled:
		return errPeerDone
	case out.readerGone && !e.call.stalled:
		return errPeerClosed
	}
	return nil
}

// arrival is when what is sent now arrives: never before what was sent earlier.
func (e *end) arrival() time.Time {
	at := time.Now().Add(e.call.latency)
	queue := e.peer.in.queue
	if len(queue) > 0 && queue[len(queue)-1].at.After(at) {
		return queue[len(queue)-1].at
	}
	return at
}

// accept tells the listener of a stream once something was sent on it.
func (e *end) accept() {
	c := e.call
	if c.accepted || e != c.dialer {
		return
	}
	c.accepted = true
	c.to.deliver(c.listener)
}

func (e *end) Recv(msg any) error {
	data, err := e.dequeue()
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return trace.Wrap(err, "memtransport: receive from %s", e.peer.self)
	}
	return codec.Unmarshal(data, msg)
}

func (e *end) dequeue() ([]byte, error) {
	c := e.call
	for {
		c.mu.Lock()
		data, wait, err := e.next()
		changed := e.in.changed
		c.mu.Unlock()
		if data != nil || err != nil {
			return data, err
		}
		waitFor(changed, wait)
	}
}

// next returns a message or an error that has arrived, or for how long at
// least to wait; 0 is until a change. It is called with the call's mutex held.
func (e *end) next() (data []byte, wait time.Duration, err error) {
	if e.broken != nil {
		return nil, 0, e.broken
	}
	if e.readStopped {
		return nil, 0, errClosed
	}
	if e.call.stalled {
		return nil, 0, nil
	}
	if len(e.in.queue) == 0 {
		return e.nextEnd()
	}
	first := e.in.queue[0]
	if wait := time.Until(first.at); wait > 0 {
		return nil, wait, nil
	}
	e.in.queue = e.in.queue[1:]
	e.in.size -= len(first.data)
	e.in.notify()
	return first.data, 0, nil
}

// nextEnd is next for an empty queue.
func (e *end) nextEnd() (data []byte, wait time.Duration, err error) {
	if !e.in.finished {
		return nil, 0, nil
	}
	if wait := time.Until(e.in.finishedAt); wait > 0 {
		return nil, wait, nil
	}
	e.sawEnd = true
	e.endIfBothDone()
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

func (e *end) CloseSend() error {
	c := e.call
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.broken != nil {
		return trace.Wrap(e.broken, "memtransport: close send to %s", e.peer.self)
	}
	e.closeSend()
	return nil
}

func (e *end) closeSend() {
	out := e.peer.in
	if out.finished {
		return
	}
	out.finished = true
	out.finishedAt = e.arrival()
	out.notify()
	e.accept()
	e.endIfBothDone()
}

// endIfBothDone ends the context once both directions have ended well.
func (e *end) endIfBothDone() {
	if e.sawEnd && e.peer.in.finished {
		e.cancel(errClosed)
	}
}

// Close gives up. What was sent before a CloseSend still arrives.
func (e *end) Close() error {
	c := e.call
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.broken != nil {
		return nil
	}
	e.breakWith(errClosed)
	e.peer.in.reset = !e.peer.in.finished
	e.in.readerGone = true
	e.peer.learn()
	c.notifyBoth()
	return nil
}

// finish ends the stream after its handler: what was sent still arrives. It
// waits until the peer has ended its side too, as it does once it has read all.
func (e *end) finish() {
	if !e.beginFinish() {
		return
	}
	timer := time.AfterFunc(PeerCloseTimeout, e.endFinish)
	defer timer.Stop()
	for {
		if _, err := e.dequeue(); err != nil {
			e.endFinish()
			return
		}
	}
}

// beginFinish says whether there is a peer to wait for.
func (e *end) beginFinish() bool {
	e.call.mu.Lock()
	defer e.call.mu.Unlock()
	if e.broken != nil {
		return false
	}
	e.finishing = true
	e.readStopped = false
	e.closeSend()
	e.cancel(errClosed)
	return true
}

func (e *end) endFinish() {
	e.call.mu.Lock()
	defer e.call.mu.Unlock()
	e.in.readerDone = true
	e.breakWith(errClosed)
	e.call.notifyBoth()
}

// stopReading makes a Recv that waits fail and leaves sending as it is.
func (e *end) stopReading() {
	e.call.mu.Lock()
	defer e.call.mu.Unlock()
	if e.finishing {
		return
	}
	e.readStopped = true
	e.in.notify()
}

func (e *end) Peer() transport.PeerID { return e.peer.self }

func (e *end) Context() context.Context { return e.ctx }
