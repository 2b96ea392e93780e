package memtransport

import (
	"errors"
	"time"

	"mulberryscale.example/transport"
)

// Errors of broken streams.
var (
	errCut  = errors.New("memtransport: link cut")
	errIdle = errors.New("memtransport: no answer within the idle timeout")
)

type fault uint8

// Faults, the worse later.
const (
	faultNone fault = iota
	faultStalled
	faultCut
)

// linkKey names a link, the smaller id first.
type linkKey struct{ a, b transport.PeerID }

func keyOf(a, b transport.PeerID) linkKey {
	if b < a {
		a, b = b, a
	}
	return linkKey{a, b}
}

// link is the state of a link, or of all links of a process.
type link struct {
	fault      fault
	since      time.Time // when the fault began
	latency    time.Duration
	hasLatency bool
}

// Cut breaks the open streams between two processes, on both sides at once,
// and lets no new ones through.
func (n *Network) Cut(a, b transport.PeerID) { n.setLink(a, b, faultCut) }

// Stall lets nothing through between two processes. Their streams hang until
// Heal, or break on both sides after the idle timeout.
func (n *Network) Stall(a, b transport.PeerID) { n.setLink(a, b, faultStalled) }

// Heal ends what Cut and Stall did between two processes.
func (n *Network) Heal(a, b transport.PeerID) { n.setLink(a, b, faultNone) }

// CutAll cuts every link of a process.
func (n *Network) CutAll(id transport.PeerID) { n.setProcess(id, faultCut) }

// StallAll stalls every link of a process, as freezing it does.
func (n *Network) StallAll(id transport.PeerID) { n.setProcess(id, faultStalled) }

// HealAll ends every fault of a process, also those of its single links.
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

// SetLatency sets the time one way between two processes for messages sent from now on.
func (n *Network) SetLatency(a, b transport.PeerID, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.linkOf(keyOf(a, b))
	l.latency = d
	l.hasLatency = true
	for c := range n.calls {
		if keyOf(c.dialer.self, c.listener.self) == keyOf(a, b) {
			c.setLatency(d)
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

// state returns the worst fault between two processes and, when it stalls
// them, the time left until the idle timeout. It is called with n.mu held.
func (n *Network) state(a, b transport.PeerID) (worst fault, idleLeft time.Duration) {
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

// applyFaults brings the faults to the open streams and kept connections. It
// is called with n.mu held.
func (n *Network) applyFaults() {
	for d := range n.dialers {
		d.dropCut()
	}
	for c := range n.calls {
		f, idleLeft := n.state(c.dialer.self, c.listener.self)
		if f == faultCut {
			c.breakBoth(errCut)
			continue
		}
		n.stall(c, f == faultStalled, idleLeft)
	}
}

// stall sets or ends a stall of a stream, which breaks when it lasts too long.
func (n *Network) stall(c *call, stalled bool, idleLeft time.Duration) {
	started := c.setStalled(stalled)
	if !started || n.options.IdleTimeout < 0 {
		return
	}
	c.setIdleTimer(time.AfterFunc(max(idleLeft, 0), c.breakIfStalled))
}
