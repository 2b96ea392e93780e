package httponce

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// A body without a length ends with its connection. An orderly end and a reset look alike to a
// reader when a write fails first: the kernel reports a reset only once, to either of them, and the
// other one finds the connection ended. So such a body is whole only if the request was written
// before its end, and no write failed.

// uploadGrace is how long the end of a connection waits for the request to be written: a server may
// have the last bytes of it, and end its answer, before the write has returned here.
const uploadGrace = 50 * time.Millisecond

// upload is the state of a connection's current request. It is guarded by the connection's mutex.
type upload struct {
	unfinished bool      // the request is not wholly written
	answered   bool      // bytes of an answer have come
	failed     error     // of the first write that failed
	changed    sync.Cond // signals a change of unfinished or failed, or of the writes in progress
}

// beginUpload notes that another request begins.
func (c *watchedConn) beginUpload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload.unfinished, c.upload.answered = true, false
}

// endUpload notes that the request is wholly written, except for a last write that may be in
// progress or yet to come.
func (c *watchedConn) endUpload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload.unfinished = false
	c.upload.changed.Broadcast()
}

// Read implements net.Conn. The end of a connection is an error if it may have broken off an
// answer.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.noteAnswer()
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfAnswer()
	}
	return n, err
}

// noteAnswer notes that bytes of an answer have come.
func (c *watchedConn) noteAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload.answered = true
}

// endOfAnswer returns io.EOF if a connection that ended can't have broken off an answer, and an
// error that wraps io.ErrUnexpectedEOF otherwise.
func (c *watchedConn) endOfAnswer() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.upload.answered {
		return io.EOF
	}
	c.awaitUpload()
	switch {
	case c.upload.failed != nil:
		return fmt.Errorf("httponce: the connection broke: %w: %w", io.ErrUnexpectedEOF, c.upload.failed)
	case c.isUploading():
		return fmt.Errorf("httponce: the connection ended before the request was written: %w", io.ErrUnexpectedEOF)
	}
	return io.EOF
}

// isUploading reports whether a request is being written.
func (c *watchedConn) isUploading() bool { return c.upload.unfinished || c.writing > 0 }

// awaitUpload waits until the request is written or writing it has failed, for uploadGrace at most.
func (c *watchedConn) awaitUpload() {
	late := false
	timer := time.AfterFunc(uploadGrace, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		late = true
		c.upload.changed.Broadcast()
	})
	defer timer.Stop()
	for c.isUploading() && c.upload.failed == nil && !late {
		c.upload.changed.Wait()
	}
}
