package quictransport

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"mulberryscale.example/transport"
)

// connection is a dialer's connection to one address, perhaps still being
// dialled. It is closed when nobody has held it for a while.
type connection struct {
	unusedTimeout time.Duration
	ready         chan struct{} // closed once conn and peer, or err, are set
	conn          *quic.Conn
	openStream    func(context.Context) (*quic.Stream, error) // of conn
	peer          transport.PeerID
	err           error

	mu     sync.Mutex
	held   int // streams open or being opened
	closed bool
	unused *time.Timer
}

// newConnection returns a connection that the caller holds.
func newConnection(unusedTimeout time.Duration) *connection {
	return &connection{unusedTimeout: unusedTimeout, ready: make(chan struct{}), held: 1}
}

func (c *connection) succeed(conn *quic.Conn, peer transport.PeerID) {
	c.conn = conn
	c.openStream = conn.OpenStreamSync
	c.peer = peer
	close(c.ready)
}

func (c *connection) fail(err error) {
	c.err = err
	close(c.ready)
}

// acquire holds the connection unless it is lost or was closed as unused.
func (c *connection) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.lost() {
		return false
	}
	c.held++
	if c.unused != nil {
		c.unused.Stop()
		c.unused = nil
	}
	return true
}

// lost says whether the dial failed or the connection has ended since.
func (c *connection) lost() bool {
	select {
	case <-c.ready:
		return c.err != nil || c.conn.Context().Err() != nil
	default:
		return false
	}
}

// hold keeps the connection until ctx, a stream's, ends.
func (c *connection) hold(ctx context.Context) {
	c.mu.Lock()
	c.held++
	c.mu.Unlock()
	context.AfterFunc(ctx, c.release)
}

func (c *connection) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held--
	if c.held > 0 || c.closed || c.lost() {
		return
	}
	c.unused = time.AfterFunc(c.unusedTimeout, c.closeUnused)
}

func (c *connection) closeUnused() {
	c.mu.Lock()
	inUse := c.held > 0 || c.closed
	c.closed = c.closed || !inUse
	c.mu.Unlock()
	if !inUse {
		c.shut(connectionUnused, "unused")
	}
}

// shut closes the connection if it was made.
func (c *connection) shut(code quic.ApplicationErrorCode, reason string) {
	c.mu.Lock()
	c.closed = true
	if c.unused != nil {
		c.unused.Stop()
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
