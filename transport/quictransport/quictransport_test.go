package quictransport

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"mulberryscale.example/keys"
	"mulberryscale.example/transport"
)

// shortTimeouts keep tests of unresponsive peers short. No test measures them.
var shortTimeouts = Options{IdleTimeout: 400 * time.Millisecond, KeepAlive: 100 * time.Millisecond}

const hangGuard = 20 * time.Second

type ping struct {
	N int `cbor:"1,keyasint"`
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func newAuthority(t *testing.T) *keys.Authority {
	t.Helper()
	a, err := keys.NewDevAuthority()
	check(t, err)
	return a
}

func sourceOf(t *testing.T, a *keys.Authority, id string) keys.Source {
	t.Helper()
	s, err := a.Source(id)
	check(t, err)
	return s
}

// echoServer returns a listener that echoes messages and counts its connections.
func echoServer(t *testing.T, addr string, source keys.Source, o Options) *listener {
	t.Helper()
	l, err := ListenOptions(addr, source, o)
	check(t, err)
	go l.Serve(context.Background(), echoHandler)
	t.Cleanup(func() { l.Close() })
	return l.(*listener)
}

func echoHandler(_ context.Context, s transport.Stream) {
	var m ping
	for s.Recv(&m) == nil && s.Send(m) == nil {
	}
}

func (l *listener) connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func newTestDialer(t *testing.T, source keys.Source, o Options) transport.Dialer {
	d := NewDialerOptions(source, o)
	t.Cleanup(func() { d.Close() })
	return d
}

func exchange(ctx context.Context, d transport.Dialer, addr string) error {
	s, err := d.Open(ctx, addr)
	if err != nil {
		return err
	}
	defer s.Close()
	var m ping
	if err := errors.Join(s.Send(ping{7}), s.Recv(&m)); err != nil {
		return err
	}
	if m.N != 7 {
		return errors.New("wrong echo")
	}
	return nil
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), hangGuard)
	t.Cleanup(cancel)
	return ctx
}

func TestUnknownAuthoritiesAreRefused(t *testing.T) {
	ctx := testContext(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	l := echoServer(t, "127.0.0.1:0", sourceOf(t, ours, "agent-1"), shortTimeouts)
	check(t, exchange(ctx, newTestDialer(t, sourceOf(t, ours, "entry-1"), shortTimeouts), l.Addr()))
	foreign := newTestDialer(t, sourceOf(t, theirs, "entry-1"), shortTimeouts)
	if err := exchange(ctx, foreign, l.Addr()); err == nil {
		t.Fatal("a request with another authority's certificate was answered")
	}
	if n := l.connections(); n > 1 {
		t.Fatalf("%d connections, want that of the authenticated peer only", n)
	}
}

func TestOneConnectionIsReused(t *testing.T) {
	ctx := testContext(t)
	longTimeouts := Options{IdleTimeout: time.Minute} // else a paused test process may let the connection time out
	a := newAuthority(t)
	l := echoServer(t, "127.0.0.1:0", sourceOf(t, a, "agent-1"), longTimeouts)
	d := newTestDialer(t, sourceOf(t, a, "entry-1"), longTimeouts)
	errs := make(chan error)
	const calls = 50
	for range calls {
		go func() { errs <- exchange(ctx, d, l.Addr()) }()
	}
	for range calls {
		check(t, <-errs)
	}
	if n := l.connections(); n != 1 {
		t.Fatalf("%d connections, want 1", n)
	}
}

func TestLostConnectionIsRedialled(t *testing.T) {
	ctx := testContext(t)
	a := newAuthority(t)
	source := sourceOf(t, a, "agent-1")
	longTimeouts := Options{IdleTimeout: time.Minute} // above hangGuard: the peer must not rely on the idle timeout
	l := echoServer(t, "127.0.0.1:0", source, longTimeouts)
	d := newTestDialer(t, sourceOf(t, a, "entry-1"), longTimeouts)
	s, err := d.Open(ctx, l.Addr())
	check(t, err)
	check(t, errors.Join(s.Send(ping{1}), s.Recv(&ping{})))
	check(t, l.Close())
	select {
	case <-s.Context().Done():
	case <-ctx.Done():
		t.Fatal("the stream's context is not cancelled after the listener closed")
	}
	if err := exchange(ctx, d, l.Addr()); err == nil {
		t.Fatal("a closed listener answered")
	}
	echoServer(t, l.Addr(), source, longTimeouts)
	check(t, exchange(ctx, d, l.Addr()))
}

func TestUnusedConnectionIsClosed(t *testing.T) {
	ctx := testContext(t)
	a := newAuthority(t)
	l := echoServer(t, "127.0.0.1:0", sourceOf(t, a, "agent-1"), shortTimeouts)
	o := shortTimeouts
	o.UnusedTimeout = 50 * time.Millisecond
	d := newTestDialer(t, sourceOf(t, a, "entry-1"), o).(*dialer)
	s, err := d.Open(ctx, l.Addr())
	check(t, err)
	d.mu.Lock()
	c := d.conns[l.Addr()]
	d.mu.Unlock()
	time.Sleep(2 * o.UnusedTimeout)
	check(t, errors.Join(s.Send(ping{1}), s.Recv(&ping{}))) // an open stream keeps the connection
	check(t, s.Close())
	select {
	case <-c.conn.Context().Done():
	case <-ctx.Done():
		t.Fatal("the unused connection was not closed")
	}
	check(t, exchange(ctx, d, l.Addr()))
}

// udpRelay forwards UDP packets between one client and a server, or drops them.
type udpRelay struct {
	front, back *net.UDPConn
	client      atomic.Pointer[net.UDPAddr]
	dropping    atomic.Bool
}

func newUDPRelay(t *testing.T, server string) *udpRelay {
	t.Helper()
	addr, err := resolve(server)
	check(t, err)
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	check(t, err)
	back, err := net.DialUDP("udp", nil, addr)
	check(t, err)
	r := &udpRelay{front: front, back: back}
	t.Cleanup(func() { errors.Join(front.Close(), back.Close()) })
	go r.pass(front.ReadFromUDP, back.Write)
	go r.pass(back.ReadFromUDP, func(b []byte) (int, error) { return front.WriteToUDP(b, r.client.Load()) })
	return r
}

func (r *udpRelay) pass(read func([]byte) (int, *net.UDPAddr, error), write func([]byte) (int, error)) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if from != nil && from.Port != r.back.RemoteAddr().(*net.UDPAddr).Port {
			r.client.Store(from)
		}
		if err == nil && !r.dropping.Load() {
			write(buf[:n])
		}
	}
}

// A peer that becomes unresponsive, because its process is frozen or its network
// is down, must fail the streams on both sides; once it responds again, Open must
// reach it.
func TestUnresponsivePeerFailsStreams(t *testing.T) {
	ctx := testContext(t)
	a := newAuthority(t)
	l, err := ListenOptions("127.0.0.1:0", sourceOf(t, a, "agent-1"), shortTimeouts)
	check(t, err)
	defer l.Close()
	sendErr := make(chan error, 1)
	go l.Serve(ctx, func(_ context.Context, s transport.Stream) {
		_ = s.Recv(&ping{})
		_ = s.Send(ping{7})
		<-s.Context().Done()
		sendErr <- s.Send(ping{8})
	})
	r := newUDPRelay(t, l.Addr())
	d := newTestDialer(t, sourceOf(t, a, "entry-1"), shortTimeouts)
	front := r.front.LocalAddr().String()
	s, err := d.Open(ctx, front)
	check(t, err)
	check(t, errors.Join(s.Send(ping{1}), s.Recv(&ping{})))
	time.Sleep(2 * shortTimeouts.IdleTimeout) // an idle connection to a live peer must stay open
	if s.Context().Err() != nil {
		t.Fatal("the stream of a live peer was cancelled")
	}
	r.dropping.Store(true)
	if err := s.Recv(&ping{}); err == nil || errors.Is(err, io.EOF) {
		t.Fatalf("Recv from an unresponsive peer: got %v", err)
	}
	if err := <-sendErr; err == nil {
		t.Fatal("the server could send to an unresponsive client")
	}
	if _, err := d.Open(ctx, front); err == nil {
		t.Fatal("Open reached an unresponsive peer")
	}
	r.dropping.Store(false)
	check(t, exchange(ctx, d, front))
}

// However a stream is closed, it must no longer count against MaxStreams: a
// connection serves more streams in total than may be open at once.
func TestClosedStreamsFreeTheirSlot(t *testing.T) {
	closers := map[string]func(transport.Stream) error{
		"closed by the client": transport.Stream.Close,
		"closed by both": func(s transport.Stream) error {
			if err := s.CloseSend(); err != nil {
				return err
			}
			if err := s.Recv(&ping{}); err != io.EOF {
				return err
			}
			return nil
		},
	}
	handlers := map[string]transport.Handler{
		"handler returns": echoHandler,
		"handler closes sending": func(ctx context.Context, s transport.Stream) {
			echoHandler(ctx, s)
			_ = s.CloseSend()
		},
		"handler sends once": func(ctx context.Context, s transport.Stream) {
			_ = errors.Join(s.Recv(&ping{}), s.Send(ping{}), s.CloseSend())
			_ = s.Recv(&ping{})
		},
	}
	for name, closeStream := range closers {
		for handlerName, handler := range handlers {
			testStreamSlots(t, name+", "+handlerName, closeStream, handler)
		}
	}
}

func testStreamSlots(t *testing.T, name string, closeStream func(transport.Stream) error, handler transport.Handler) {
	t.Run(name, func(t *testing.T) {
		ctx := testContext(t)
		a := newAuthority(t)
		l, err := ListenOptions("127.0.0.1:0", sourceOf(t, a, "agent-1"), Options{MaxStreams: 4})
		check(t, err)
		defer l.Close()
		go l.Serve(ctx, handler)
		d := newTestDialer(t, sourceOf(t, a, "entry-1"), Options{})
		for i := range 40 {
			s, err := d.Open(ctx, l.Addr())
			if err != nil {
				t.Fatalf("stream %d: %v", i, err)
			}
			check(t, errors.Join(s.Send(ping{i}), s.Recv(&ping{}), closeStream(s)))
		}
	})
}

// A stopping server must wait for a client that reads the last message later than
// FlushGrace after it was sent.
func TestSlowReaderGetsTheLastMessage(t *testing.T) {
	ctx := testContext(t)
	a := newAuthority(t)
	l, err := Listen("127.0.0.1:0", sourceOf(t, a, "agent-1"))
	check(t, err)
	serveCtx, stop := context.WithCancel(ctx)
	sent, stopped := make(chan struct{}), make(chan error, 1)
	go func() {
		serveErr := l.Serve(serveCtx, func(ctx context.Context, s transport.Stream) {
			_ = s.Recv(&ping{})
			_ = s.Send(ping{7})
			close(sent)
		})
		stopped <- errors.Join(serveErr, l.Close())
	}()
	d := newTestDialer(t, sourceOf(t, a, "entry-1"), Options{})
	s, err := d.Open(ctx, l.Addr())
	check(t, err)
	check(t, s.Send(ping{1}))
	<-sent
	stop()
	time.Sleep(PeerCloseTimeout/2 + FlushGrace)
	var m ping
	if err := s.Recv(&m); err != nil || m.N != 7 {
		t.Fatalf("got %d, %v", m.N, err)
	}
	check(t, s.Close())
	check(t, <-stopped)
}

func TestBadAddresses(t *testing.T) {
	a := newAuthority(t)
	source := sourceOf(t, a, "agent-1")
	d := newTestDialer(t, source, shortTimeouts)
	for _, addr := range []string{"", "localhost:1", "127.0.0.1", "127.0.0.1:99999"} {
		if _, err := Listen(addr, source); err == nil {
			t.Errorf("Listen(%q): no error", addr)
		}
		if _, err := d.Open(t.Context(), addr); err == nil {
			t.Errorf("Open(%q): no error", addr)
		}
	}
}
