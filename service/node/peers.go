package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
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

// hosts returns the hosts of the other agents, which are those of engines; only engines
// have weight versions. The order differs between processes, which spreads their load.
func (o *relayAgents) hosts() []string {
	var engines []string
	for _, i := range o.view.Snapshot().Instances {
		if len(i.Versions) > 0 && i.Addr != o.ownEngine {
			engines = append(engines, i.Addr)
		}
	}
	rank := func(e string) uint64 { return xxhash.Sum64String(o.node + "\x00" + e) }
	slices.SortFunc(engines, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	var hosts []string
	for _, e := range slices.Compact(engines) {
		if host, _, err := net.SplitHostPort(e); err == nil { // the list holds ip:port only
			hosts = append(hosts, host)
		}
	}
	return hosts
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
