package quictransport

import (
	"context"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"mulberryscale.example/keys"
	"mulberryscale.example/transport"
)

// request has the size of a small request of the system.
type request struct {
	Body [64]byte `cbor:"1,keyasint"`
}

// sourceOfPair returns a new Source of the same key pair, as a restarted process
// reads it.
func sourceOfPair(t testing.TB, a *keys.Authority, pair keys.Pair) keys.Source {
	t.Helper()
	s, err := keys.NewSource(a.CertPEM(), pair)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// requestServer returns a listener that answers requests.
func requestServer(t testing.TB, addr string, source keys.Source, o Options) *listener {
	t.Helper()
	l, err := ListenOptions(addr, source, o)
	if err != nil {
		t.Fatal(err)
	}
	go l.Serve(context.Background(), func(_ context.Context, s transport.Stream) {
		var m request
		for s.Recv(&m) == nil && s.Send(m) == nil {
		}
	})
	t.Cleanup(func() { l.Close() })
	return l.(*listener)
}

// crash closes a listener's socket as SIGKILL does, without closing its connections.
func (l *listener) crash() { l.packets.Close() }

// TestRestartIsNoticed crashes a listener and restarts it on its address. The
// idle timeout is longer than the test, so the peer can only detect it by the
// stateless reset.
func TestRestartIsNoticed(t *testing.T) {
	ctx := testContext(t)
	a := newAuthority(t)
	pair, err := a.Issue("agent-1")
	check(t, err)
	longTimeouts := Options{IdleTimeout: time.Minute}
	first := requestServer(t, "127.0.0.1:0", sourceOfPair(t, a, pair), longTimeouts)
	d := newTestDialer(t, sourceOf(t, a, "entry-1"), longTimeouts)
	old, err := d.Open(ctx, first.Addr())
	check(t, err)
	var answer request
	check(t, old.Send(request{}))
	check(t, old.Recv(&answer))

	first.crash()
	second := requestServer(t, first.Addr(), sourceOfPair(t, a, pair), longTimeouts)
	check(t, old.Send(request{}))
	failed := make(chan error, 1)
	go func() { failed <- old.Recv(&answer) }()
	select {
	case err := <-failed:
		if err == nil {
			t.Error("the restarted process answered on a stream of its predecessor")
		}
	case <-ctx.Done():
		t.Fatal("the peer did not detect the restart")
	}
	reopened, err := d.Open(ctx, second.Addr())
	check(t, err)
	defer reopened.Close()
	check(t, reopened.Send(request{}))
	check(t, reopened.Recv(&answer))
}

// A lost connection fails its streams before it cancels its context. An Open in
// between must dial a new connection rather than fail twice on the lost one.
func TestOpenRedialsBeforeLostConnectionIsClosed(t *testing.T) {
	ctx := testContext(t)
	a := newAuthority(t)
	server := requestServer(t, "127.0.0.1:0", sourceOf(t, a, "agent-1"), Options{})
	d := newTestDialer(t, sourceOf(t, a, "entry-1"), Options{})
	old, err := d.Open(ctx, server.Addr())
	check(t, err)
	defer old.Close()
	inner := d.(*dialer)
	inner.mu.Lock()
	inner.conns[server.Addr()].openStream = func(context.Context) (*quic.Stream, error) {
		return nil, &quic.StatelessResetError{}
	}
	inner.mu.Unlock()
	reopened, err := d.Open(ctx, server.Addr())
	check(t, err)
	defer reopened.Close()
	var answer request
	check(t, reopened.Send(request{}))
	check(t, reopened.Recv(&answer))
}
