package httponce

import (
	"context"
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes to a connection whose current request was declared unsent.
var errSealed = errors.New("httponce: the request was given up before it was written")

// watchedConn is a connection that knows whether anything of a request was handed to the
// network, and whether all of it was. net/http's own trace events are no proof of the former: they
// are reported when a request has been written to a buffer. It is safe for concurrent use.
type watchedConn struct {
	net.Conn

	mu      sync.Mutex
	written uint64 // bytes handed to the network so far
	writing int    // writes in progress
	sealed  bool   // no further write is let through
	retired bool   // closed by retire; the transport may still take it for an idle one
	upload  upload // of the current request
	carried carriedIDs
}

func newWatchedConn(conn net.Conn) *watchedConn {
	c := &watchedConn{Conn: conn}
	c.upload.changed.L = &c.mu
	return c
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// watchDials returns a dial function whose connections are watched.
func watchDials(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newWatchedConn(conn), nil
	}
}

// Write implements net.Conn.
func (c *watchedConn) Write(b []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(b)
	c.endWrite(n, err)
	return n, err
}

// beginWrite notes that a write begins, and reports false if none is let through any more.
func (c *watchedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sealed {
		c.writing++
	}
	return !c.sealed
}

// endWrite notes the end of a write that handed n bytes to the network, and its error.
func (c *watchedConn) endWrite(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	c.written += uint64(n)
	if err != nil && c.upload.failed == nil {
		c.upload.failed = err
	}
	c.upload.changed.Broadcast()
}

// bytesWritten returns the number of bytes handed to the network so far.
func (c *watchedConn) bytesWritten() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealIfUnwritten reports whether nothing was written beyond the first bytes, and if so lets
// nothing through from now on: a request that is declared unsent must not be written by a
// goroutine of the transport that runs later.
func (c *watchedConn) sealIfUnwritten(first uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 || c.written != first {
		return false
	}
	c.sealed = true
	return true
}

// requestWatch follows one request from the moment at which it gets a connection. It is safe
// for concurrent use.
type requestWatch struct {
	id string // empty for none

	mu   sync.Mutex
	conn net.Conn // nil until the request has one
	// before is the number of bytes that the connection had written when the request got it.
	before uint64
}

// gotConn notes the request's connection. It closes one that may not carry the request.
func (w *requestWatch) gotConn(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = conn
	watched, ok := conn.(*watchedConn)
	if !ok {
		return
	}
	w.before = watched.bytesWritten()
	if w.id != "" && !watched.carry(w.id) {
		watched.retire()
		return
	}
	watched.beginUpload()
}

// wroteRequest notes that the request was written, or that writing it failed.
func (w *requestWatch) wroteRequest(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if watched, ok := w.conn.(*watchedConn); ok && err == nil {
		watched.endUpload()
	}
}

// unsent reports whether nothing of the request was written and nothing will be. It is called
// once the request has failed.
func (w *requestWatch) unsent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		return true
	}
	watched, ok := w.conn.(*watchedConn)
	return ok && watched.sealIfUnwritten(w.before)
}

// carry adds the id of a request to those that the connection has carried. It reports false if the connection may
// not carry the request.
func (c *watchedConn) carry(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.carried.add(id)
}

// retire closes the connection.
func (c *watchedConn) retire() {
	c.mu.Lock()
	c.sealed, c.retired = true, true
	c.mu.Unlock()
	c.Conn.Close()
}

func (c *watchedConn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

// retireConn closes the request's connection.
func (w *requestWatch) retireConn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if watched, ok := w.conn.(*watchedConn); ok {
		watched.retire()
	}
}

// gotRetiredConn reports whether the request was given a connection that was closed by retire.
func (w *requestWatch) gotRetiredConn() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	watched, ok := w.conn.(*watchedConn)
	return ok && watched.isRetired()
}
