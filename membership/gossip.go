package membership

import (
	"sync"

	"mulberryscale.example/platform"
	"mulberryscale.example/wire"
)

// Bounds of passing news of instances on.
const (
	// newsTellings is how often an entry tells each piece of news. When every
	// entry tells it so often to a random other, one in e^12 misses it.
	newsTellings = 12
	// newsPerMessage bounds the news in one message.
	newsPerMessage = 8
	// mostNews bounds the news kept; the oldest is dropped.
	mostNews = 256
)

// newsKey names a piece of news: an id can come back at another address.
type newsKey struct{ id, addr string }

// pieceOfNews is an instance that is to be told of some times more.
type pieceOfNews struct {
	instance platform.Instance
	left     int
}

// Gossip passes on which instances came since the instance list was read before,
// from entry to entry. Each entry reads a long list rarely, but all together
// read it often. It is safe for concurrent use.
type Gossip struct {
	mu   sync.Mutex
	seen map[newsKey]bool
	// pieces is a queue: what was told goes to its end.
	pieces []pieceOfNews
}

// NewGossip returns empty news.
func NewGossip() *Gossip { return &Gossip{seen: map[newsKey]bool{}} }

// AddNew takes in two readings of the list, one after the other. What the
// second names and the first does not is news.
func (n *Gossip) AddNew(before, after []platform.Instance) {
	if len(before) == 0 {
		return // the first reading: everything is new to this entry alone
	}
	known := make(map[newsKey]bool, len(before))
	for _, in := range before {
		known[newsKey{in.ID, in.Addr}] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, in := range after {
		if !known[newsKey{in.ID, in.Addr}] {
			n.add(in)
		}
	}
}

// Merge takes in what another entry told and returns what is new of it.
func (n *Gossip) Merge(members []wire.Member) []platform.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	var fresh []platform.Instance
	for _, m := range members[:min(len(members), newsPerMessage)] {
		in := platform.Instance{ID: m.ID, Role: m.Role, Zone: m.Zone, Addr: m.Addr, State: platform.InstanceLive}
		if m.ID != "" && m.Addr != "" && n.add(in) {
			fresh = append(fresh, in)
		}
	}
	return fresh
}

// add says whether the instance was not known as news.
func (n *Gossip) add(in platform.Instance) bool {
	key := newsKey{in.ID, in.Addr}
	if n.seen[key] {
		return false
	}
	if len(n.seen) >= mostNews {
		n.forgetTold()
	}
	if len(n.pieces) >= mostNews {
		n.pieces = n.pieces[1:]
	}
	n.seen[key] = true
	n.pieces = append(n.pieces, pieceOfNews{instance: in, left: newsTellings})
	return true
}

// forgetTold forgets the keys of what is not told any more.
func (n *Gossip) forgetTold() {
	clear(n.seen)
	for _, p := range n.pieces {
		n.seen[newsKey{p.instance.ID, p.instance.Addr}] = true
	}
}

// NextBatch returns what goes into the next message.
func (n *Gossip) NextBatch() []wire.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := min(len(n.pieces), newsPerMessage)
	var members []wire.Member
	for _, p := range n.pieces[:count] {
		in := p.instance
		members = append(members, wire.Member{ID: in.ID, Role: in.Role, Zone: in.Zone, Addr: in.Addr})
		if p.left--; p.left > 0 {
			n.pieces = append(n.pieces, p)
		}
	}
	n.pieces = n.pieces[count:]
	return members
}
