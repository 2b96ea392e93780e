// Package memtransport is an in-memory transport for tests that run many
// processes of the system in one: it behaves like quictransport and injects
// network faults. Messages are encoded and decoded, so that no memory is shared.
//
// It blocks only on channels and package time and so runs under testing/synctest.
package memtransport

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/transport"
)

// Timeouts of a network, the same as quictransport's; Options may change the first two.
const (
	DefaultHandshakeTimeout = time.Second
	DefaultIdleTimeout      = 3 * time.Second
	// PeerCloseTimeout is how long a stream whose handler has returned waits
	// for its peer to close it too.
	PeerCloseTimeout = time.Second
)

// firstPort is the first port assigned to listeners that ask for port 0.
const firstPort = 20000

// Options are the timeouts and the latency of a network.
type Options struct {
	// HandshakeTimeout is how long Open waits for a peer that does not answer.
	HandshakeTimeout time.Duration
	// IdleTimeout is how long a stalled link keeps its streams; negative means forever.
	IdleTimeout time.Duration
	// Latency is the one-way latency of links without a SetLatency of their own.
	Latency time.Duration
}

// Network connects the processes of a test.
type Network struct {
	options Options

	mu        sync.Mutex
	nextPort  uint16
	listeners map[string]*listener // by address
	dialers   map[*dialer]struct{}
	pairs     map[*streamPair]struct{}
	links     map[linkKey]*link
	processes map[transport.PeerID]*link // faults on all links of a process
}

// NewNetwork returns a network without faults or latency, with the default timeouts.
func NewNetwork() *Network { return NewNetworkOptions(Options{}) }

// NewNetworkOptions returns a network without faults.
func NewNetworkOptions(options Options) *Network {
	if options.HandshakeTimeout <= 0 {
		options.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	return &Network{
		options:   options,
		nextPort:  firstPort,
		listeners: make(map[string]*listener),
		dialers:   make(map[*dialer]struct{}),
		pairs:     make(map[*streamPair]struct{}),
		links:     make(map[linkKey]*link),
		processes: make(map[transport.PeerID]*link),
	}
}

// Listen listens as process id on addr ("ip:port", port 0 for any free one). It
// returns an error if addr is malformed or in use.
func (n *Network) Listen(id transport.PeerID, addr string) (transport.Listener, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, trace.BadParameter("memtransport: bad address %q: want ip:port", addr)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if ap.Port() == 0 {
		ap = n.freePort(ap.Addr())
	}
	if _, taken := n.listeners[ap.String()]; taken {
		return nil, trace.AlreadyExists("memtransport: listen on %s: address in use", ap)
	}
	l := newListener(n, id, ap.String())
	n.listeners[l.addr] = l
	return l, nil
}

// freePort returns ip with a port that is not in use. It is called with n.mu held.
func (n *Network) freePort(ip netip.Addr) netip.AddrPort {
	for {
		ap := netip.AddrPortFrom(ip, n.nextPort)
		n.nextPort++
		if _, taken := n.listeners[ap.String()]; !taken {
			return ap
		}
	}
}

// Dialer returns a dialer for process id.
func (n *Network) Dialer(id transport.PeerID) transport.Dialer {
	d := newDialer(n, id)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialers[d] = struct{}{}
	return d
}

// Kill closes the listeners and dialers of a process and fails its streams at
// once, as a crash of the process does. A process of the same id may listen again.
func (n *Network) Kill(id transport.PeerID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		if l.id == id {
			l.closeLocked()
		}
	}
	for d := range n.dialers {
		if d.id == id {
			d.closeLocked()
		}
	}
	err := fmt.Errorf("memtransport: process %s was killed", id)
	for p := range n.pairs {
		if p.dialer.self == id || p.listener.self == id {
			p.failBoth(err)
		}
	}
}
