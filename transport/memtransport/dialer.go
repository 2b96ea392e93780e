package memtransport

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/transport"
)

// Errors of Open.
var (
	ErrDialerClosed = errors.New("memtransport: dialer closed")
	errNoAnswer     = errors.New("memtransport: handshake timeout")
)

// pollInterval is how often a waiting Open looks again.
const pollInterval = 10 * time.Millisecond

// dialer is a transport.Dialer; its fields are guarded by the network's mutex.
type dialer struct {
	network *Network
	id      transport.PeerID
	closed  bool
	// conns are the listeners to which a connection is kept, by address.
	conns map[string]*listener
}

func newDialer(n *Network, id transport.PeerID) *dialer {
	return &dialer{network: n, id: id, conns: make(map[string]*listener)}
}

// Open opens a stream at once where a connection is kept, even if the link is
// stalled; else it waits for the peer until the handshake timeout.
func (d *dialer) Open(ctx context.Context, addr string) (transport.Stream, error) {
	deadline := time.Now().Add(d.network.options.HandshakeTimeout)
	for {
		if ctx.Err() != nil {
			return nil, trace.Wrap(context.Cause(ctx), "memtransport: open a stream to %s", addr)
		}
		s, err := d.tryOpen(addr)
		if err != nil {
			return nil, trace.Wrap(err, "memtransport: open a stream to %s", addr)
		}
		if s != nil {
			return s, nil
		}
		if !time.Now().Before(deadline) {
			return nil, trace.Wrap(errNoAnswer, "memtransport: open a stream to %s", addr)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// tryOpen returns nil and no error when the peer does not answer.
func (d *dialer) tryOpen(addr string) (transport.Stream, error) {
	n := d.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if d.closed {
		return nil, ErrDialerClosed
	}
	l, ok := n.listeners[addr]
	if !ok {
		return nil, nil
	}
	f, idleLeft := n.state(d.id, l.id)
	kept := d.conns[addr] == l && f != faultCut && (idleLeft > 0 || n.options.IdleTimeout < 0)
	if f != faultNone && !kept {
		return nil, nil
	}
	d.conns[addr] = l
	c := newCall(n, d, l)
	c.setLatency(n.linkOf(keyOf(d.id, l.id)).latency)
	n.calls[c] = struct{}{}
	n.stall(c, f == faultStalled, idleLeft)
	return c.dialer, nil
}

// dropCut forgets kept connections over links that are cut.
func (d *dialer) dropCut() {
	for addr, l := range d.conns {
		if f, _ := d.network.state(d.id, l.id); f == faultCut {
			delete(d.conns, addr)
		}
	}
}

func (d *dialer) Close() error {
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	d.closeLocked()
	return nil
}

func (d *dialer) closeLocked() {
	d.closed = true
	delete(d.network.dialers, d)
	for c := range d.network.calls {
		if c.from == d {
			c.breakBoth(ErrDialerClosed)
		}
	}
}
