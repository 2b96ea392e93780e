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
	ErrDialerClosed     = errors.New("memtransport: dialer closed")
	errHandshakeTimeout = errors.New("memtransport: handshake timeout")
)

// pollInterval is how often a waiting Open tries again.
const pollInterval = 10 * time.Millisecond

// dialer is a transport.Dialer; its fields are guarded by the network's mutex.
type dialer struct {
	network *Network
	id      transport.PeerID
	closed  bool
	// conns are the listeners with an established connection, by address.
	conns map[string]*listener
}

func newDialer(n *Network, id transport.PeerID) *dialer {
	return &dialer{network: n, id: id, conns: make(map[string]*listener)}
}

// Open opens a stream at once over an established connection, even if the link
// is stalled; without one it waits for the peer up to the handshake timeout.
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
			return nil, trace.Wrap(errHandshakeTimeout, "memtransport: open a stream to %s", addr)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// tryOpen returns a nil stream and no error if the peer does not answer.
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
	f, idleLeft := n.faultBetween(d.id, l.id)
	connected := d.conns[addr] == l && f != faultCut && (idleLeft > 0 || n.options.IdleTimeout < 0)
	if f != faultNone && !connected {
		return nil, nil
	}
	d.conns[addr] = l
	p := newStreamPair(n, d, l)
	p.setLatency(n.linkOf(keyOf(d.id, l.id)).latency)
	n.pairs[p] = struct{}{}
	n.stall(p, f == faultStalled, idleLeft)
	return p.dialer, nil
}

// dropCutConnections removes the connections over links that are cut. It is
// called with the network's mutex held.
func (d *dialer) dropCutConnections() {
	for addr, l := range d.conns {
		if f, _ := d.network.faultBetween(d.id, l.id); f == faultCut {
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
	for p := range d.network.pairs {
		if p.from == d {
			p.failBoth(ErrDialerClosed)
		}
	}
}
