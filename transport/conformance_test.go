package transport_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberryscale.example/keys"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/codec"
	"mulberryscale.example/transport/memtransport"
	"mulberryscale.example/transport/quictransport"
)

const (
	serverID = transport.PeerID("agent-1")
	clientID = transport.PeerID("entry-1")
)

// hangGuard is the timeout of a test that would otherwise hang; no result depends on it.
const hangGuard = 20 * time.Second

type note struct {
	N    int       `cbor:"1,keyasint"`
	Text string    `cbor:"2,keyasint,omitempty"`
	At   time.Time `cbor:"3,keyasint"`
}

// fixture holds a listener and a dialer of one implementation.
type fixture struct {
	listener transport.Listener
	dialer   transport.Dialer
}

func newMem(t *testing.T) fixture {
	n := memtransport.NewNetwork()
	l, err := n.Listen(serverID, "127.0.0.1:0")
	must(t, err)
	return fixture{l, n.Dialer(clientID)}
}

func newQUIC(t *testing.T) fixture {
	authority, err := keys.NewDevAuthority()
	must(t, err)
	server, err := authority.Source(string(serverID))
	must(t, err)
	client, err := authority.Source(string(clientID))
	must(t, err)
	l, err := quictransport.Listen("127.0.0.1:0", server)
	must(t, err)
	return fixture{l, quictransport.NewDialer(client)}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// runConformance runs a test against both implementations.
func runConformance(t *testing.T, test func(t *testing.T, ctx context.Context, f fixture)) {
	for name, make := range map[string]func(*testing.T) fixture{"mem": newMem, "quic": newQUIC} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), hangGuard)
			defer cancel()
			f := make(t)
			defer f.listener.Close()
			defer f.dialer.Close()
			test(t, ctx, f)
		})
	}
}

// serve runs a handler and returns a function that stops it and waits for Serve.
func serve(t *testing.T, f fixture, h transport.Handler) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := f.listener.Serve(ctx, h); err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return func() {
		cancel()
		serving.Wait()
	}
}

func open(t *testing.T, ctx context.Context, f fixture) transport.Stream {
	t.Helper()
	s, err := f.dialer.Open(ctx, f.listener.Addr())
	must(t, err)
	return s
}

func echo(_ context.Context, s transport.Stream) {
	for {
		var m note
		if s.Recv(&m) != nil {
			return
		}
		if s.Send(m) != nil {
			return
		}
	}
}

func TestEchoInOrderAndPeers(t *testing.T) {
	runConformance(t, func(t *testing.T, ctx context.Context, f fixture) {
		peers := make(chan transport.PeerID, 1)
		defer serve(t, f, func(ctx context.Context, s transport.Stream) {
			peers <- s.Peer()
			echo(ctx, s)
		})()
		s := open(t, ctx, f)
		at := time.Date(2026, 1, 2, 3, 4, 5, 678901234, time.UTC)
		const count = 200
		for i := range count {
			must(t, s.Send(note{N: i, At: at}))
		}
		must(t, s.CloseSend())
		for i := range count {
			var m note
			must(t, s.Recv(&m))
			if m.N != i || !m.At.Equal(at) {
				t.Fatalf("message %d: got %+v", i, m)
			}
		}
		if err := s.Recv(&note{}); err != io.EOF {
			t.Fatalf("after the last message: got %v, want io.EOF", err)
		}
		if got := <-peers; got != clientID || s.Peer() != serverID {
			t.Fatalf("peers: server saw %q, client saw %q", got, s.Peer())
		}
		<-s.Context().Done()
	})
}

// A handler's last message must arrive although the handler returns, the server
// stops serving and the listener is closed right after it was sent.
func TestLastMessageSurvivesReturnAndClose(t *testing.T) {
	runConformance(t, func(t *testing.T, ctx context.Context, f fixture) {
		text := strings.Repeat("x", 256<<10)
		got := make(chan struct{})
		stop := serve(t, f, func(ctx context.Context, s transport.Stream) {
			_ = s.Recv(&note{})
			close(got)
			<-ctx.Done()
			if err := s.Send(note{N: 7, Text: text}); err != nil {
				t.Errorf("send after the context was cancelled: %v", err)
			}
		})
		s := open(t, ctx, f)
		must(t, s.Send(note{N: 1}))
		<-got
		received := make(chan error, 1)
		go func() {
			var m note
			err := s.Recv(&m)
			if err == nil && (m.N != 7 || len(m.Text) != len(text)) {
				err = fmt.Errorf("got message %d of %d bytes", m.N, len(m.Text))
			}
			if err == nil {
				if eof := s.Recv(&note{}); eof != io.EOF {
					err = fmt.Errorf("after the last message: %w", eof)
				}
			}
			received <- err
		}()
		stop()
		closed := make(chan error, 1)
		go func() { closed <- f.listener.Close() }()
		must(t, <-received)
		must(t, <-closed)
	})
}

func TestCloseEndsThePeersContextAndRecv(t *testing.T) {
	runConformance(t, func(t *testing.T, ctx context.Context, f fixture) {
		first, second := make(chan struct{}), make(chan error, 1)
		stop := serve(t, f, func(ctx context.Context, s transport.Stream) {
			_ = s.Recv(&note{})
			close(first)
			<-ctx.Done()
			second <- s.Recv(&note{})
		})
		defer stop()
		s := open(t, ctx, f)
		must(t, s.Send(note{N: 1}))
		<-first
		must(t, s.Close())
		if err := <-second; err == nil || errors.Is(err, io.EOF) {
			t.Fatalf("the peer's Recv after Close: got %v, want an error", err)
		}
		if err := s.Send(note{}); err == nil {
			t.Fatal("Send after Close: got no error")
		}
		if s.Context().Err() == nil {
			t.Fatal("the context is not cancelled after Close")
		}
	})
}

// Messages sent before CloseSend must arrive although the sender then calls Close.
func TestSentBeforeCloseSendArrives(t *testing.T) {
	runConformance(t, func(t *testing.T, ctx context.Context, f fixture) {
		var got []int
		done := make(chan struct{})
		stop := serve(t, f, func(ctx context.Context, s transport.Stream) {
			defer close(done)
			<-ctx.Done()
			for {
				var m note
				if s.Recv(&m) != nil {
					return
				}
				got = append(got, m.N)
			}
		})
		defer stop()
		s := open(t, ctx, f)
		must(t, s.Send(note{N: 1}))
		must(t, s.Send(note{N: 2}))
		must(t, s.CloseSend())
		must(t, s.Close())
		<-done
		if fmt.Sprint(got) != "[1 2]" {
			t.Fatalf("got %v", got)
		}
	})
}

func TestServeStopEndsHandlersThatWait(t *testing.T) {
	runConformance(t, func(t *testing.T, ctx context.Context, f fixture) {
		started := make(chan struct{})
		stop := serve(t, f, func(ctx context.Context, s transport.Stream) {
			_ = s.Recv(&note{})
			close(started)
			_ = s.Recv(&note{}) // the client sends no second message
		})
		s := open(t, ctx, f)
		must(t, s.Send(note{}))
		<-started
		stop()
	})
}

func TestClosedListenerBreaksStreams(t *testing.T) {
	runConformance(t, func(t *testing.T, ctx context.Context, f fixture) {
		started := make(chan struct{})
		defer serve(t, f, func(ctx context.Context, s transport.Stream) {
			_ = s.Recv(&note{})
			close(started)
			<-s.Context().Done()
		})()
		s := open(t, ctx, f)
		must(t, s.Send(note{}))
		<-started
		must(t, f.listener.Close())
		if err := s.Recv(&note{}); err == nil {
			t.Fatal("Recv from a closed listener: got no error")
		}
		<-s.Context().Done()
		if _, err := f.dialer.Open(ctx, f.listener.Addr()); err == nil {
			t.Fatal("Open to a closed listener: got no error")
		}
	})
}

func TestOversizeMessageIsRefusedBeforeSending(t *testing.T) {
	runConformance(t, func(t *testing.T, ctx context.Context, f fixture) {
		defer serve(t, f, echo)()
		s := open(t, ctx, f)
		defer s.Close()
		err := s.Send(note{Text: strings.Repeat("x", codec.MaxMessage)})
		if !errors.Is(err, codec.ErrTooLarge) {
			t.Fatalf("got %v, want ErrTooLarge", err)
		}
		must(t, s.Send(note{N: 5}))
		var m note
		must(t, s.Recv(&m))
		if m.N != 5 {
			t.Fatalf("got %+v", m)
		}
	})
}

func TestManyStreamsAtOnce(t *testing.T) {
	runConformance(t, func(t *testing.T, ctx context.Context, f fixture) {
		defer serve(t, f, echo)()
		var all sync.WaitGroup
		for i := range 300 {
			all.Go(func() {
				s, err := f.dialer.Open(ctx, f.listener.Addr())
				if err != nil {
					t.Errorf("open: %v", err)
					return
				}
				defer s.Close()
				var m note
				if err := errors.Join(s.Send(note{N: i}), s.Recv(&m)); err != nil || m.N != i {
					t.Errorf("stream %d: got %d, %v", i, m.N, err)
				}
			})
		}
		all.Wait()
	})
}

func TestOpenHonoursItsContextAndAddress(t *testing.T) {
	runConformance(t, func(t *testing.T, ctx context.Context, f fixture) {
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		if _, err := f.dialer.Open(cancelled, "127.0.0.1:9"); !errors.Is(err, context.Canceled) {
			t.Fatalf("cancelled context: got %v", err)
		}
		must(t, f.dialer.Close())
		if _, err := f.dialer.Open(ctx, f.listener.Addr()); err == nil {
			t.Fatal("Open after Close: got no error")
		}
	})
}
