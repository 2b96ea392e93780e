package memtransport

import (
	"sync"
	"time"
)

// window is how many bytes a sender may be ahead of its reader.
const window = 4 << 20

// call is one stream: its two ends and what is on the way between them. One
// mutex guards all of it.
type call struct {
	network          *Network
	from             *dialer
	to               *listener
	dialer, listener *end

	mu        sync.Mutex
	latency   time.Duration
	stalled   bool
	idleTimer *time.Timer
	accepted  bool // the listener has been told
}

// message is one encoded message on the way.
type message struct {
	data []byte
	at   time.Time // when it arrives
}

// half is one direction of a call.
type half struct {
	queue      []message
	size       int // bytes in queue
	finished   bool
	finishedAt time.Time     // when the end of the messages arrives
	reset      bool          // the writer gave up: Recv fails at once
	readerGone bool          // the reader gave up: Send fails, the context ends
	readerDone bool          // the reader's handler returned: Send fails
	changed    chan struct{} // closed and replaced at each change
}

func (h *half) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func newCall(n *Network, from *dialer, to *listener) *call {
	c := &call{network: n, from: from, to: to}
	c.dialer = newEnd(c, from.id)
	c.listener = newEnd(c, to.id)
	c.dialer.peer = c.listener
	c.listener.peer = c.dialer
	return c
}

func (c *call) setLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = d
}

// setStalled says whether a stall has begun.
func (c *call) setStalled(stalled bool) (started bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	started = stalled && !c.stalled
	c.stalled = stalled
	if !stalled && c.idleTimer != nil {
		c.idleTimer.Stop()
		c.idleTimer = nil
	}
	c.dialer.learn()
	c.listener.learn()
	c.notifyBoth()
	return started
}

func (c *call) setIdleTimer(t *time.Timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleTimer = t
}

func (c *call) breakIfStalled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stalled {
		c.breakLocked(errIdle)
	}
}

func (c *call) breakBoth(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakLocked(err)
}

// breakUnfinished breaks the stream unless its handler has returned: then what
// the handler sent can still be read.
func (c *call) breakUnfinished(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listener.finishing {
		c.breakLocked(err)
	}
}

func (c *call) breakLocked(err error) {
	c.dialer.breakWith(err)
	c.listener.breakWith(err)
	c.notifyBoth()
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
}

func (c *call) notifyBoth() {
	c.dialer.in.notify()
	c.listener.in.notify()
}

func (c *call) forget() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.calls, c)
}
