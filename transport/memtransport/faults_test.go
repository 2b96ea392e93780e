package memtransport

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/transport"
)

const (
	server = transport.PeerID("agent-1")
	client = transport.PeerID("entry-1")
	addr   = "127.0.0.1:7001"
)

type ping struct {
	N int `cbor:"1,keyasint"`
}

// bench is a network with an echoing server and a client's dialer.
type bench struct {
	*Network
	t      *testing.T
	dialer transport.Dialer
}

func withBench(t *testing.T, test func(b bench)) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork()
		b := bench{n, t, n.Dialer(client)}
		b.listen()
		test(b)
		n.Kill(server)
		n.Kill(client)
	})
}

func (b bench) listen() {
	b.t.Helper()
	l, err := b.Listen(server, addr)
	if err != nil {
		b.t.Fatal(err)
	}
	go l.Serve(context.Background(), func(_ context.Context, s transport.Stream) {
		var m ping
		for s.Recv(&m) == nil && s.Send(m) == nil {
		}
	})
}

func (b bench) open() transport.Stream {
	b.t.Helper()
	s, err := b.dialer.Open(context.Background(), addr)
	if err != nil {
		b.t.Fatal(err)
	}
	return s
}

func (b bench) exchange(s transport.Stream, n int) {
	b.t.Helper()
	var m ping
	if err := errors.Join(s.Send(ping{n}), s.Recv(&m)); err != nil || m.N != n {
		b.t.Fatalf("exchange %d: got %d, %v", n, m.N, err)
	}
}

// elapsed is the virtual time that f takes.
func elapsed(f func()) time.Duration {
	start := time.Now()
	f()
	return time.Since(start)
}

func TestLatencyIsCountedBothWays(t *testing.T) {
	withBench(t, func(b bench) {
		b.SetLatency(client, server, 5*time.Millisecond)
		s := b.open()
		if got := elapsed(func() { b.exchange(s, 1) }); got != 10*time.Millisecond {
			t.Fatalf("round trip: got %v, want 10ms", got)
		}
	})
}

func TestStallHangsUntilHealAndLosesNothing(t *testing.T) {
	withBench(t, func(b bench) {
		s := b.open()
		b.exchange(s, 1)
		b.Stall(server, client)
		time.AfterFunc(2*time.Second, func() { b.Heal(client, server) })
		if got := elapsed(func() { b.exchange(s, 2) }); got != 2*time.Second {
			t.Fatalf("exchange over the stall took %v, want 2s", got)
		}
	})
}

func TestStallBeyondTheIdleTimeoutBreaksBothSides(t *testing.T) {
	withBench(t, func(b bench) {
		s := b.open()
		b.exchange(s, 1)
		b.StallAll(server)
		late := b.open() // the connection is kept, so this is not noticed yet
		if err := late.Send(ping{1}); err != nil {
			t.Fatal(err)
		}
		got := elapsed(func() {
			if err := s.Recv(&ping{}); !errors.Is(err, errIdle) {
				t.Errorf("got %v, want errIdle", err)
			}
		})
		if got != DefaultIdleTimeout {
			t.Fatalf("noticed after %v, want %v", got, DefaultIdleTimeout)
		}
		synctest.Wait()
		if late.Context().Err() == nil {
			t.Fatal("the stream opened during the stall lives on")
		}
		if _, err := b.dialer.Open(context.Background(), addr); !errors.Is(err, errNoAnswer) {
			t.Fatalf("Open: got %v, want errNoAnswer", err)
		}
		b.HealAll(server)
		b.exchange(b.open(), 3)
	})
}

func TestCutBreaksStreamsAndHealLetsNewOnesThrough(t *testing.T) {
	withBench(t, func(b bench) {
		s := b.open()
		b.exchange(s, 1)
		b.Cut(client, server)
		if err := s.Recv(&ping{}); !errors.Is(err, errCut) {
			t.Fatalf("Recv: got %v", err)
		}
		got := elapsed(func() {
			if _, err := b.dialer.Open(context.Background(), addr); err == nil {
				t.Error("Open over a cut link: got no error")
			}
		})
		if got != DefaultHandshakeTimeout {
			t.Fatalf("Open failed after %v", got)
		}
		b.Heal(client, server)
		b.exchange(b.open(), 2)
	})
}

func TestKilledProcessIsGoneAndItsAddressIsFree(t *testing.T) {
	withBench(t, func(b bench) {
		s := b.open()
		b.exchange(s, 1)
		b.Kill(server)
		if err := s.Recv(&ping{}); err == nil || errors.Is(err, io.EOF) {
			t.Fatalf("Recv: got %v", err)
		}
		b.listen()
		b.exchange(b.open(), 2)
		b.Kill(client)
		if _, err := b.dialer.Open(context.Background(), addr); !errors.Is(err, ErrDialerClosed) {
			t.Fatalf("a killed process's dialer: got %v", err)
		}
	})
}

// Giving up a stream is learned only once the link lets it through.
func TestCloseIsNotLearnedDuringAStall(t *testing.T) {
	withBench(t, func(b bench) {
		other, err := b.Listen("agent-2", "127.0.0.1:7002")
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		accepted := make(chan transport.Stream)
		go other.Serve(context.Background(), func(ctx context.Context, s transport.Stream) {
			accepted <- s
			<-ctx.Done()
		})
		s, err := b.dialer.Open(context.Background(), other.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Send(ping{1}); err != nil {
			t.Fatal(err)
		}
		peer := <-accepted
		b.Stall(client, "agent-2")
		s.Close()
		time.Sleep(time.Second)
		if peer.Context().Err() != nil {
			t.Fatal("the close passed a stalled link")
		}
		b.Heal(client, "agent-2")
		<-peer.Context().Done()
	})
}

func TestSendWaitsForTheReaderAtTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork()
		l, err := n.Listen(server, addr)
		if err != nil {
			t.Fatal(err)
		}
		read := make(chan struct{})
		go l.Serve(context.Background(), func(_ context.Context, s transport.Stream) {
			<-read
			for s.Recv(new([]byte)) == nil {
			}
		})
		s, err := n.Dialer(client).Open(context.Background(), addr)
		if err != nil {
			t.Fatal(err)
		}
		sent := 0
		go func() {
			for ; sent < 10; sent++ {
				if err := s.Send(make([]byte, 1<<20)); err != nil {
					t.Error(err)
				}
			}
			s.CloseSend()
		}()
		synctest.Wait()
		if sent != 3 { // the fourth would be over the window with its header
			t.Errorf("%d messages sent ahead of the reader, want 3", sent)
		}
		close(read)
		synctest.Wait()
		if sent != 10 {
			t.Errorf("%d messages sent to a reader, want 10", sent)
		}
		n.Kill(server)
		n.Kill(client)
	})
}
