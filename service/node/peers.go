package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberryscale.example/batch"
	"mulberryscale.example/fleet"
	"mulberryscale.example/keys"
	"mulberryscale.example/store"
	"mulberryscale.example/store/relay"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/quictransport"
)

const (
	// keyRetryDelay is the delay before a failed read of the keys is retried.
	keyRetryDelay = 300 * time.Millisecond
	// peerIdleTimeout is how long a connection between processes stays open without any
	// call. No keep-alives are sent: an agent calls each of twenty others every few
	// seconds, and a call has its own timeout, so a keep-alive each second would be
	// most of the packets without detecting anything.
	peerIdleTimeout = 8 * time.Second
)

// peerOptions returns the options of connections between processes.
func peerOptions() quictransport.Options {
	return quictransport.Options{KeepAlive: quictransport.NoKeepAlive, IdleTimeout: peerIdleTimeout}
}

// peers calls agents. It implements batch.PeerClient.
type peers struct {
	mu     sync.Mutex
	dialer transport.Dialer
}

var errNoKeys = errors.New("node: the keys of our processes are not known yet")

// open enables calls, with the keys of the given source.
func (p *peers) open(source keys.Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer = quictransport.NewDialerOptions(source, peerOptions())
}

// errUnsent is wrapped by the errors of calls that were certainly not sent.
var errUnsent = errors.New("node: not sent")

// Call implements batch.PeerClient.
func (p *peers) Call(ctx context.Context, addr string, req *batch.PeerRequest) (*batch.PeerReply, error) {
	p.mu.Lock()
	dialer := p.dialer
	p.mu.Unlock()
	if dialer == nil {
		return nil, fmt.Errorf("%w: %w", errUnsent, errNoKeys)
	}
	s, err := dialer.Open(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnsent, err)
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Send(req); err != nil {
		return nil, fmt.Errorf("call to %s: %w", addr, err)
	}
	var reply batch.PeerReply
	if err := s.Recv(&reply); err != nil {
		return nil, fmt.Errorf("call to %s: %w", addr, err)
	}
	return &reply, nil
}

const (
	// relaysPerCall is how many agents a call tries one after the other while each
	// replies that the store refused it too. If the store refuses a third of the
	// processes, all three fail in one case of 27, and the next calls try other agents.
	relaysPerCall = 3
)

// relayAgents selects the agents through which this process reaches the store while its
// direct connection fails. It implements relay.Peers.
type relayAgents struct {
	node      string
	ownEngine string // address of the engine beside this process, if there is one
	port      int    // port on which agents listen
	view      *fleet.View
	peers     *peers
	// rotation selects the next agents after all selected ones have failed. Until then
	// the same agents are used, so that their connections are reused.
	rotation atomic.Uint32

	mu sync.Mutex
	// ranked are the hosts in the snapshot rankedFor, in this process's order.
	ranked    []string
	rankedFor *fleet.Snapshot
	// rankedHosts counts the hosts that were ranked so far.
	rankedHosts int
}

// Candidates implements relay.Peers.
func (o *relayAgents) Candidates() []store.Store {
	hosts := o.hosts()
	var relays []store.Store
	for i := range min(relaysPerCall, len(hosts)) {
		next := (int(o.rotation.Load())*relaysPerCall + i) % len(hosts)
		addr := net.JoinHostPort(hosts[next], strconv.Itoa(o.port))
		last := i == min(relaysPerCall, len(hosts))-1
		relays = append(relays, relay.Remote{Call: func(ctx context.Context, c *relay.Call) (*relay.Reply, error) {
			reply, err := o.call(ctx, addr, c)
			if last && (err != nil || reply == nil || !reply.Done()) {
				o.rotation.Add(1)
			}
			return reply, err
		}})
	}
	return relays
}

// hosts returns the hosts of the other agents. The order differs between processes, which spreads
// their load. It is computed once for each snapshot: while the store refuses this process, each of
// its calls asks for it.
func (o *relayAgents) hosts() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if snap := o.view.Snapshot(); snap != o.rankedFor {
		o.ranked, o.rankedFor = o.rankHosts(snap), snap
	}
	return o.ranked
}

// rankHosts returns the hosts of the other agents of a snapshot, which are those of engines; only
// engines have weight versions. It is called with o.mu held.
func (o *relayAgents) rankHosts(snap *fleet.Snapshot) []string {
	ranks := map[string]uint64{}
	for _, i := range snap.Instances {
		if len(i.Versions) == 0 || i.Addr == o.ownEngine {
			continue
		}
		if host, _, err := net.SplitHostPort(i.Addr); err == nil { // the list holds ip:port only
			ranks[host] = xxhash.Sum64String(o.node + "\x00" + host)
		}
	}
	o.rankedHosts += len(ranks)
	return slices.SortedFunc(maps.Keys(ranks), func(a, b string) int {
		return cmp.Or(cmp.Compare(ranks[a], ranks[b]), cmp.Compare(a, b))
	})
}

// call sends a call to the store through one agent.
func (o *relayAgents) call(ctx context.Context, addr string, c *relay.Call) (*relay.Reply, error) {
	reply, err := o.peers.Call(ctx, addr, &batch.PeerRequest{From: o.ownEngine, Store: c})
	if errors.Is(err, errUnsent) {
		return nil, fmt.Errorf("%w: %v", store.ErrRefused, err)
	}
	if err != nil {
		return nil, err
	}
	return reply.Store, nil
}
