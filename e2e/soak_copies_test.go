package e2e

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	fleetview "mulberryscale.example/fleet"
)

// Engines in trouble send an answer a second time, late: where the answer to the next request on its connection is
// due. In the worlds of some seeds all engines do so with some answers, while faults go on.

const (
	// copyChance is the share of answers that are sent again.
	copyChance = 0.3
	// maxCopied is the size in bytes of the largest answer that is sent again.
	maxCopied = 64 << 10
	// copiedItemAttempts is MaxAttempts of batch routes where answers are sent again, so that a failure and a copy of
	// it would be enough to give an item up.
	copiedItemAttempts = 2
)

// copiesAnswers reports whether the engines of a seed send answers again. The seeds of KNOWN-RED.txt are even.
func copiesAnswers(seed uint64, kinds int) bool { return kinds == len(soakFaults) && seed%4 == 3 }

// answerCopies decides which answers engines send again. It is safe for concurrent use.
type answerCopies struct {
	on     atomic.Bool
	copied atomic.Int64 // answers sent again
}

// due reports whether an answer is sent again now.
func (c *answerCopies) due() bool { return c.on.Load() && rand.Float64() < copyChance }

// configure allows the items of a configuration few attempts.
func (c *answerCopies) configure(config *fleetview.Config) {
	for i := range config.Routes {
		if r := &config.Routes[i]; r.Kind == fleetview.KindBatch {
			r.MaxAttempts = copiedItemAttempts
		}
	}
}

// copyingListener accepts connections on which answers may be sent again.
type copyingListener struct {
	net.Listener
	copies *answerCopies
}

// Accept implements net.Listener.
func (l *copyingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &copyingConn{Conn: conn, copies: l.copies}, nil
}

// copyingConn keeps the last answer on a connection, and may send it again when the next request comes.
type copyingConn struct {
	net.Conn
	copies *answerCopies

	mu   sync.Mutex
	last []byte // the answer so far; empty once the next request has come
}

// Read implements net.Conn.
func (c *copyingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.requestCame()
	}
	return n, err
}

// requestCame sends the last answer again if that is due.
func (c *copyingConn) requestCame() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.last) > 0 && len(c.last) <= maxCopied && c.copies.due() {
		c.copies.copied.Add(1)
		_, _ = c.Conn.Write(c.last) // fails if the caller has disconnected
	}
	c.last = nil
}

// Write implements net.Conn.
func (c *copyingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.last) <= maxCopied {
		c.last = append(c.last, b...)
	}
	return c.Conn.Write(b)
}
