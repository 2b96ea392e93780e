package quictransport

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"mulberryscale.example/keys"
	"mulberryscale.example/transport"
)

// Listen listens on addr ("ip:port", port 0 for any free one) for peers whose
// certificates were issued by the source's authorities.
func Listen(addr string, source keys.Source) (transport.Listener, error) {
	return ListenOptions(addr, source, Options{})
}

// ListenOptions is Listen with options in place of this package's constants.
func ListenOptions(addr string, source keys.Source, options Options) (transport.Listener, error) {
	udpAddr, err := resolve(addr)
	if err != nil {
		return nil, err
	}
	packets, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, trace.Wrap(err, "quictransport: listen on %s", addr)
	}
	config := source.ServerConfig()
	key, err := resetKey(config, packets.LocalAddr().String())
	if err != nil {
		return nil, trace.Wrap(errors.Join(err, packets.Close()), "quictransport: listen on %s", addr)
	}
	tr := &quic.Transport{Conn: packets, StatelessResetKey: key}
	ln, err := tr.Listen(config, options.withDefaults().listenConfig())
	if err != nil {
		return nil, trace.Wrap(errors.Join(err, packets.Close()), "quictransport: listen on %s", addr)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &listener{
		transport: tr,
		packets:   packets,
		ln:        ln,
		closed:    ctx,
		close:     cancel,
		conns:     make(map[*quic.Conn]struct{}),
	}, nil
}

func resolve(addr string) (*net.UDPAddr, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, trace.BadParameter("quictransport: bad address %q: want ip:port", addr)
	}
	return net.UDPAddrFromAddrPort(ap), nil
}

// listener is a transport.Listener on one UDP socket.
type listener struct {
	transport *quic.Transport
	packets   *net.UDPConn
	ln        *quic.Listener
	closed    context.Context
	close     context.CancelFunc
	closeOnce sync.Once
	closeErr  error

	mu           sync.Mutex
	lastFinished time.Time // when a handler last returned
	conns        map[*quic.Conn]struct{}
}

func (l *listener) Addr() string { return l.ln.Addr().String() }

func (l *listener) Serve(ctx context.Context, h transport.Handler) error {
	accepting, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(l.closed, stop)()
	var running sync.WaitGroup
	for {
		conn, err := l.ln.Accept(accepting)
		if err != nil {
			running.Wait()
			return l.serveError(accepting, err)
		}
		l.track(conn)
		running.Go(func() { l.serveConn(accepting, conn, h) })
	}
}

// serveError returns Serve's error for a failed Accept: nil if the listener was
// closed or Serve's context was cancelled.
func (l *listener) serveError(accepting context.Context, err error) error {
	if accepting.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err, "quictransport: accept on %s", l.Addr())
}

// track registers the connection for Close until it is closed.
func (l *listener) track(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	context.AfterFunc(conn.Context(), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, conn)
	})
}

// serveConn serves the streams of one connection until accepting is cancelled or
// the connection fails, then waits for their handlers.
func (l *listener) serveConn(accepting context.Context, conn *quic.Conn, h transport.Handler) {
	id, err := keys.PeerID(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(connectionClosed, err.Error()) // the peer has no id, so no stream was served
		return
	}
	var running sync.WaitGroup
	for {
		qs, err := conn.AcceptStream(accepting)
		if err != nil {
			break
		}
		s := newStream(conn, qs, transport.PeerID(id))
		running.Go(func() { l.serveStream(accepting, s, h) })
	}
	running.Wait()
}

// serveStream calls the handler with a context that is cancelled with the stream's
// context or with accepting, whichever comes first.
func (l *listener) serveStream(accepting context.Context, s *stream, h transport.Handler) {
	defer context.AfterFunc(accepting, s.stopReading)()
	ctx, cancel := context.WithCancel(accepting)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	h(ctx, s)
	s.finish()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFinished = time.Now()
}

func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.close()
		l.waitForFlush()
		l.closeConns()
		l.closeErr = errors.Join(l.ln.Close(), l.transport.Close(), l.packets.Close())
	})
	return l.closeErr
}

// closeConns closes all connections explicitly, so that no peer has to wait for
// the idle timeout.
func (l *listener) closeConns() {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, conn := range conns {
		_ = conn.CloseWithError(connectionClosed, "listener closed") // always nil in quic-go
	}
}

// waitForFlush waits until FlushGrace after the last handler's return.
func (l *listener) waitForFlush() {
	l.mu.Lock()
	last := l.lastFinished
	l.mu.Unlock()
	if last.IsZero() {
		return
	}
	time.Sleep(FlushGrace - time.Since(last))
}
