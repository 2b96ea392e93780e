package memtransport

import (
	"context"
	"errors"
	"sync"

	"mulberryscale.example/transport"
)

var errListenerClosed = errors.New("memtransport: listener closed")

// listener is a transport.Listener.
type listener struct {
	network *Network
	id      transport.PeerID
	addr    string
	closed  context.Context
	close   context.CancelFunc

	mu      sync.Mutex
	pending []*stream
	arrived chan struct{} // buffer of 1: a value means that pending may not be empty
}

func newListener(n *Network, id transport.PeerID, addr string) *listener {
	ctx, cancel := context.WithCancel(context.Background())
	return &listener{
		network: n, id: id, addr: addr,
		closed: ctx, close: cancel,
		arrived: make(chan struct{}, 1),
	}
}

func (l *listener) Addr() string { return l.addr }

func (l *listener) deliver(s *stream) {
	l.mu.Lock()
	l.pending = append(l.pending, s)
	l.mu.Unlock()
	select {
	case l.arrived <- struct{}{}:
	default:
	}
}

func (l *listener) takePending() []*stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.pending
	l.pending = nil
	return taken
}

func (l *listener) Serve(ctx context.Context, h transport.Handler) error {
	accepting, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(l.closed, stop)()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-accepting.Done():
			return nil
		case <-l.arrived:
		}
		for _, s := range l.takePending() {
			running.Go(func() { serveStream(accepting, s, h) })
		}
	}
}

// serveStream calls the handler with a context that is cancelled with the stream's
// context or with accepting, whichever comes first.
func serveStream(accepting context.Context, s *stream, h transport.Handler) {
	defer context.AfterFunc(accepting, s.stopReading)()
	ctx, cancel := context.WithCancel(accepting)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	h(ctx, s)
	s.finish()
}

func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.closeLocked()
	return nil
}

// closeLocked is called with the network's mutex held.
func (l *listener) closeLocked() {
	l.close()
	if l.network.listeners[l.addr] == l {
		delete(l.network.listeners, l.addr)
	}
	for p := range l.network.pairs {
		if p.to == l {
			p.failUnfinished(errListenerClosed)
		}
	}
}
