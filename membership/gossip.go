package membership

import (
	"sync"

	"mulberryscale.example/platform"
	"mulberryscale.example/wire"
)

// Bounds of the gossip about new instances.
const (
	// gossipTransmissions is the number of times that an entry sends each member. If every entry
	// sends a member 12 times, each time to a random other entry, one in e^12 entries misses it.
	gossipTransmissions = 12
	// membersPerMessage is the maximum number of members in one message.
	membersPerMessage = 8
	// maxQueuedMembers bounds the queue; the oldest member is dropped.
	maxQueuedMembers = 256
)

// memberKey identifies a member. An id can come back at another address.
type memberKey struct{ id, addr string }

// queuedMember is an instance with the number of messages that it is still to be sent in.
type queuedMember struct {
	instance  platform.Instance
	remaining int
}

// Gossip spreads instances that are new on the instance list from entry to entry. Each entry
// reads a long list rarely, but all entries together read it often. It is safe for
// concurrent use.
type Gossip struct {
	mu   sync.Mutex
	seen map[memberKey]bool
	// queue is in the order of sending. A member that was sent goes to its end.
	queue []queuedMember
}

// NewGossip returns a Gossip with an empty queue.
func NewGossip() *Gossip { return &Gossip{seen: map[memberKey]bool{}} }

// AddNew queues the instances that are in after and not in before, two successive reads of
// the list.
func (g *Gossip) AddNew(before, after []platform.Instance) {
	if len(before) == 0 {
		return // the first read: its instances are new to this entry only
	}
	known := make(map[memberKey]bool, len(before))
	for _, in := range before {
		known[memberKey{in.ID, in.Addr}] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, in := range after {
		if !known[memberKey{in.ID, in.Addr}] {
			g.add(in)
		}
	}
}

// Merge queues the members that another entry sent and that are new here, and returns the new
// ones.
func (g *Gossip) Merge(members []wire.Member) []platform.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	var fresh []platform.Instance
	for _, m := range members[:min(len(members), membersPerMessage)] {
		in := platform.Instance{ID: m.ID, Role: m.Role, Zone: m.Zone, Addr: m.Addr, State: platform.InstanceLive}
		if m.ID != "" && m.Addr != "" && g.add(in) {
			fresh = append(fresh, in)
		}
	}
	return fresh
}

// add queues an instance and returns whether it was new.
func (g *Gossip) add(in platform.Instance) bool {
	key := memberKey{in.ID, in.Addr}
	if g.seen[key] {
		return false
	}
	if len(g.seen) >= maxQueuedMembers {
		g.pruneSeen()
	}
	if len(g.queue) >= maxQueuedMembers {
		g.queue = g.queue[1:]
	}
	g.seen[key] = true
	g.queue = append(g.queue, queuedMember{instance: in, remaining: gossipTransmissions})
	return true
}

// pruneSeen forgets the keys of members that are not queued any more.
func (g *Gossip) pruneSeen() {
	clear(g.seen)
	for _, q := range g.queue {
		g.seen[memberKey{q.instance.ID, q.instance.Addr}] = true
	}
}

// NextBatch returns the members for the next message.
func (g *Gossip) NextBatch() []wire.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := min(len(g.queue), membersPerMessage)
	var members []wire.Member
	for _, q := range g.queue[:count] {
		in := q.instance
		members = append(members, wire.Member{ID: in.ID, Role: in.Role, Zone: in.Zone, Addr: in.Addr})
		if q.remaining--; q.remaining > 0 {
			g.queue = append(g.queue, q)
		}
	}
	g.queue = g.queue[count:]
	return members
}
