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
	// keyPause is the pause before the store is asked for the keys again.
	keyPause = 300 * time.Millisecond
	// peerIdle is how long a connection between our processes lives without any
	// call. Nothing is sent to keep it alive: an agent asks each of twenty others
	// every few seconds, and a call has a bound of its own, so that a keep-alive each
	// second would be most of the packets and tell nothing.
	peerIdle = 8 * time.Second
)

// peerOptions are the times of connections between our processes.
func peerOptions() quictransport.Options {
	return quictransport.Options{KeepAlive: quictransport.NoKeepAlive, IdleTimeout: peerIdle}
}

// peers calls agents. It is a batch.PeerClient.
type peers struct {
	mu     sync.Mutex
	dialer transport.Dialer
}

var errNoKeys = errors.New("node: the keys of our processes are not known yet")

func (p *peers) open(source keys.Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer = quictransport.NewDialerOptions(source, peerOptions())
}

// errUnsent wraps the errors of calls that were not sent.
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
	// othersAsked is how many agents are asked in turn while each says that it was
	// turned away itself: where a third of the processes are, all are in one case of
	// 27, and the next calls ask others.
	othersAsked = 3
)

// others draws the agents through which this process reaches the store when its
// own path is lost. It is a relay.Peers.
type others struct {
	node  string
	own   string // address of the engine beside this process, if there is one
	port  int    // where agents listen
	view  *fleet.View
	peers *peers
	// turn moves on when all that were drawn have failed, so that connections are
	// kept while they serve.
	turn atomic.Uint32
}

// Candidates implements relay.Peers.
func (o *others) Candidates() []store.Store {
	hosts := o.hosts()
	var drawn []store.Store
	for i := range min(othersAsked, len(hosts)) {
		at := (int(o.turn.Load())*othersAsked + i) % len(hosts)
		addr := net.JoinHostPort(hosts[at], strconv.Itoa(o.port))
		last := i == min(othersAsked, len(hosts))-1
		drawn = append(drawn, relay.Remote{Call: func(ctx context.Context, c *relay.Call) (*relay.Reply, error) {
			reply, err := o.call(ctx, addr, c)
			if last && (err != nil || reply == nil || !reply.Done()) {
				o.turn.Add(1)
			}
			return reply, err
		}})
	}
	return drawn
}

// hosts are the machines of agents: of the engines, which alone have weight
// versions, in an order of this process's own.
func (o *others) hosts() []string {
	var engines []string
	for _, i := range o.view.Snapshot().Instances {
		if len(i.Versions) > 0 && i.Addr != o.own {
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

// call asks one agent.
func (o *others) call(ctx context.Context, addr string, c *relay.Call) (*relay.Reply, error) {
	reply, err := o.peers.Call(ctx, addr, &batch.PeerRequest{From: o.own, Store: c})
	if errors.Is(err, errUnsent) {
		return nil, fmt.Errorf("%w: %v", store.ErrRefused, err)
	}
	if err != nil {
		return nil, err
	}
	return reply.Store, nil
}
