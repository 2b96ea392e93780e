package quictransport

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"mulberryscale.example/transport"
)

// connection is a dialer's reference-counted connection to one address, perhaps
// still being dialled. It is closed once it has been unused for unusedTimeout.
type connection struct {
	unusedTimeout time.Duration
	ready         chan struct{} // closed once conn and peer, or err, are set
	conn          *quic.Conn
	openStream    func(context.Context) (*quic.Stream, error) // conn's; tests replace it
	peer          transport.PeerID
	err           error

	mu          sync.Mutex
	refs        int // streams open or being opened
	closed      bool
	unusedTimer *time.Timer
}

// newConnection returns a connection with one reference, the caller's.
func newConnection(unusedTimeout time.Duration) *connection {
	return &connection{unusedTimeout: unusedTimeout, ready: make(chan struct{}), refs: 1}
}

func (c *connection) setConn(conn *quic.Conn, peer transport.PeerID) {
	c.conn = conn
	c.openStream = conn.OpenStreamSync
	c.peer = peer
	close(c.ready)
}

func (c *connection) setError(err error) {
	c.err = err
	close(c.ready)
}

// acquire takes a reference and reports whether it could: it can't if the
// connection has failed or was closed.
func (c *connection) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.failed() {
		return false
	}
	c.refs++
	if c.unusedTimer != nil {
		c.unusedTimer.Stop()
		c.unusedTimer = nil
	}
	return true
}

// failed reports whether the dial failed or the connection has been closed or
// lost since.
func (c *connection) failed() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.conn.Context().Err() != nil
	default:
		return false
	}
}

// retainUntil takes a reference until ctx, a stream's context, is cancelled.
func (c *connection) retainUntil(ctx context.Context) {
	c.mu.Lock()
	c.refs++
	c.mu.Unlock()
	context.AfterFunc(ctx, c.release)
}

func (c *connection) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refs--
	if c.refs > 0 || c.closed || c.failed() {
		return
	}
	c.unusedTimer = time.AfterFunc(c.unusedTimeout, c.closeUnused)
}

func (c *connection) closeUnused() {
	c.mu.Lock()
	inUse := c.refs > 0 || c.closed
	c.closed = c.closed || !inUse
	c.mu.Unlock()
	if !inUse {
		c.close(connectionUnused, "unused")
	}
}

// close closes the connection if it was established.
func (c *connection) close(code quic.ApplicationErrorCode, reason string) {
	c.mu.Lock()
	c.closed = true
	if c.unusedTimer != nil {
		c.unusedTimer.Stop()
	}
	c.mu.Unlock()
	select {
	case <-c.ready:
	default:
		return
	}
	if c.conn != nil {
		_ = c.conn.CloseWithError(code, reason) // always nil in quic-go
	}
}
