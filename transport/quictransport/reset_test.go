package quictransport

import (
	"context"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"mulberryscale.example/keys"
	"mulberryscale.example/transport"
)

// request is as long as a small request of ours.
type request struct {
	Body [64]byte `cbor:"1,keyasint"`
}

// sourceOfPair is a Source that a restarted process reads again.
func sourceOfPair(t testing.TB, a *keys.Authority, pair keys.Pair) keys.Source {
	t.Helper()
	s, err := keys.NewSource(a.CertPEM(), pair)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// requestServer is a listener that answers requests.
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

// crash ends a listener as SIGKILL does: its peers are told nothing.
func (l *listener) crash() { l.packets.Close() }

// TestRestartIsNoticed kills a listener and starts it again on its address,
// while only the reset can tell the peer within the test's time.
func TestRestartIsNoticed(t *testing.T) {
	ctx := testContext(t)
	a := newAuthority(t)
	pair, err := a.Issue("agent-1")
	check(t, err)
	patient := Options{IdleTimeout: time.Minute}
	first := requestServer(t, "127.0.0.1:0", sourceOfPair(t, a, pair), patient)
	d := newTestDialer(t, sourceOf(t, a, "entry-1"), patient)
	old, err := d.Open(ctx, first.Addr())
	check(t, err)
	var answer request
	check(t, old.Send(request{}))
	check(t, old.Recv(&answer))

	first.crash()
	second := requestServer(t, first.Addr(), sourceOfPair(t, a, pair), patient)
	check(t, old.Send(request{}))
	failed := make(chan error, 1)
	go func() { failed <- old.Recv(&answer) }()
	select {
	case err := <-failed:
		if err == nil {
			t.Error("a stream of the process before was answered")
		}
	case <-ctx.Done():
		t.Fatal("the peer did not notice the restart")
	}
	anew, err := d.Open(ctx, second.Addr())
	check(t, err)
	defer anew.Close()
	check(t, anew.Send(request{}))
	check(t, anew.Recv(&answer))
}

// A connection that ends fails its streams before it says that it has ended.
// Whoever opens a stream in between gets a new connection, not the error twice.
func TestStreamIsOpenedAnewWhileALostConnectionStillLooksAlive(t *testing.T) {
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
	anew, err := d.Open(ctx, server.Addr())
	check(t, err)
	defer anew.Close()
	var answer request
	check(t, anew.Send(request{}))
	check(t, anew.Recv(&answer))
}
