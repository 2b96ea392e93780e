package memtransport

import (
	"errors"
	"time"

	"mulberryscale.example/transport"
)

// Errors of streams that fail because of an injected fault.
var (
	errCut  = errors.New("memtransport: link cut")
	errIdle = errors.New("memtransport: no answer within the idle timeout")
)

type fault uint8

// Faults in increasing order of severity.
const (
	faultNone fault = iota
	faultStalled
	faultCut
)

// linkKey identifies the link between two processes, the smaller id first.
type linkKey struct{ a, b transport.PeerID }

func keyOf(a, b transport.PeerID) linkKey {
	if b < a {
		a, b = b, a
	}
	return linkKey{a, b}
}

// link is the state of one link, or of all links of one process.
type link struct {
	fault      fault
	since      time.Time // when the fault began
	latency    time.Duration
	hasLatency bool
}

// Cut fails the open streams between two processes, on both sides at once, and
// prevents new ones.
func (n *Network) Cut(a, b transport.PeerID) { n.setLink(a, b, faultCut) }

// Stall blocks all messages between two processes. Their streams block until
// Heal, or fail on both sides after the idle timeout.
func (n *Network) Stall(a, b transport.PeerID) { n.setLink(a, b, faultStalled) }

// Heal removes the fault that Cut or Stall set between two processes.
func (n *Network) Heal(a, b transport.PeerID) { n.setLink(a, b, faultNone) }

// CutAll cuts every link of a process.
func (n *Network) CutAll(id transport.PeerID) { n.setProcess(id, faultCut) }

// StallAll stalls every link of a process, as if the process were frozen.
func (n *Network) StallAll(id transport.PeerID) { n.setProcess(id, faultStalled) }

// HealAll removes every fault of a process, including those of its single links.
func (n *Network) HealAll(id transport.PeerID) {
	n.mu.Lock()
	for key, l := range n.links {
		if key.a == id || key.b == id {
			l.fault = faultNone
		}
	}
	n.mu.Unlock()
	n.setProcess(id, faultNone)
}

// SetLatency sets the one-way latency between two processes for messages sent
// from now on.
func (n *Network) SetLatency(a, b transport.PeerID, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.linkOf(keyOf(a, b))
	l.latency = d
	l.hasLatency = true
	for p := range n.pairs {
		if keyOf(p.dialer.self, p.listener.self) == keyOf(a, b) {
			p.setLatency(d)
		}
	}
}

func (n *Network) setLink(a, b transport.PeerID, f fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkOf(keyOf(a, b)).set(f)
	n.applyFaults()
}

func (n *Network) setProcess(id transport.PeerID, f fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.processes[id]
	if !ok {
		l = &link{}
		n.processes[id] = l
	}
	l.set(f)
	n.applyFaults()
}

func (l *link) set(f fault) {
	if l.fault != f {
		l.fault = f
		l.since = time.Now()
	}
}

func (n *Network) linkOf(key linkKey) *link {
	l, ok := n.links[key]
	if !ok {
		l = &link{latency: n.options.Latency}
		n.links[key] = l
	}
	return l
}

// faultBetween returns the most severe fault between two processes and, if they
// are stalled, the time left until the idle timeout. It is called with n.mu held.
func (n *Network) faultBetween(a, b transport.PeerID) (worst fault, idleLeft time.Duration) {
	now := time.Now()
	idleLeft = n.options.IdleTimeout
	for _, l := range []*link{n.links[keyOf(a, b)], n.processes[a], n.processes[b]} {
		if l == nil || l.fault == faultNone {
			continue
		}
		worst = max(worst, l.fault)
		idleLeft = min(idleLeft, n.options.IdleTimeout-now.Sub(l.since))
	}
	return worst, idleLeft
}

// applyFaults applies the faults to the open streams and connections. It is
// called with n.mu held.
func (n *Network) applyFaults() {
	for d := range n.dialers {
		d.dropCutConnections()
	}
	for p := range n.pairs {
		f, idleLeft := n.faultBetween(p.dialer.self, p.listener.self)
		if f == faultCut {
			p.failBoth(errCut)
			continue
		}
		n.stall(p, f == faultStalled, idleLeft)
	}
}

// stall starts or ends a stall of a stream, which fails once the stall has lasted
// for the idle timeout.
func (n *Network) stall(p *streamPair, stalled bool, idleLeft time.Duration) {
	started := p.setStalled(stalled)
	if !started || n.options.IdleTimeout < 0 {
		return
	}
	p.setIdleTimer(time.AfterFunc(max(idleLeft, 0), p.failIfStalled))
}
