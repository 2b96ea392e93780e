package memtransport

import (
	"sync"
	"time"
)

// window is the flow-control window: how many bytes a sender may have queued
// that its peer has not read yet.
const window = 4 << 20

// streamPair is both sides of one stream and the messages in transit between
// them. One mutex guards all of it.
type streamPair struct {
	network          *Network
	from             *dialer
	to               *listener
	dialer, listener *stream

	mu        sync.Mutex
	latency   time.Duration
	stalled   bool
	idleTimer *time.Timer
	announced bool // the stream has been delivered to the listener
}

// message is one encoded message in transit.
type message struct {
	data []byte
	at   time.Time // when it arrives
}

// direction is one direction of a stream.
type direction struct {
	queue          []message
	size           int // bytes in queue
	finished       bool
	finishedAt     time.Time     // when io.EOF arrives
	reset          bool          // the writer called Close: Recv fails at once
	readerClosed   bool          // the reader called Close: Send fails, the context is cancelled
	readerFinished bool          // the reader's handler returned: Send fails
	changed        chan struct{} // closed and replaced at each change
}

func (d *direction) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func newStreamPair(n *Network, from *dialer, to *listener) *streamPair {
	p := &streamPair{network: n, from: from, to: to}
	p.dialer = newStream(p, from.id)
	p.listener = newStream(p, to.id)
	p.dialer.peer = p.listener
	p.listener.peer = p.dialer
	return p
}

func (p *streamPair) setLatency(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = d
}

// setStalled starts or ends a stall and reports whether one has started.
func (p *streamPair) setStalled(stalled bool) (started bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	started = stalled && !p.stalled
	p.stalled = stalled
	if !stalled && p.idleTimer != nil {
		p.idleTimer.Stop()
		p.idleTimer = nil
	}
	p.dialer.applyPeerClose()
	p.listener.applyPeerClose()
	p.notifyBoth()
	return started
}

func (p *streamPair) setIdleTimer(t *time.Timer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimer = t
}

func (p *streamPair) failIfStalled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalled {
		p.failLocked(errIdle)
	}
}

func (p *streamPair) failBoth(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failLocked(err)
}

// failUnfinished fails the stream unless its handler has returned: in that case
// the peer can still read the messages that the handler sent.
func (p *streamPair) failUnfinished(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.listener.finishing {
		p.failLocked(err)
	}
}

func (p *streamPair) failLocked(err error) {
	p.dialer.fail(err)
	p.listener.fail(err)
	p.notifyBoth()
	if p.idleTimer != nil {
		p.idleTimer.Stop()
	}
}

func (p *streamPair) notifyBoth() {
	p.dialer.in.notify()
	p.listener.in.notify()
}

func (p *streamPair) remove() {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	delete(p.network.pairs, p)
}
