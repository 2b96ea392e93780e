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

// testNetwork is a network with an echo server and a client's dialer.
type testNetwork struct {
	*Network
	t      *testing.T
	dialer transport.Dialer
}

func runNetworkTest(t *testing.T, test func(tn testNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork()
		tn := testNetwork{n, t, n.Dialer(client)}
		tn.listen()
		test(tn)
		n.Kill(server)
		n.Kill(client)
	})
}

func (tn testNetwork) listen() {
	tn.t.Helper()
	l, err := tn.Listen(server, addr)
	if err != nil {
		tn.t.Fatal(err)
	}
	go l.Serve(context.Background(), func(_ context.Context, s transport.Stream) {
		var m ping
		for s.Recv(&m) == nil && s.Send(m) == nil {
		}
	})
}

func (tn testNetwork) open() transport.Stream {
	tn.t.Helper()
	s, err := tn.dialer.Open(context.Background(), addr)
	if err != nil {
		tn.t.Fatal(err)
	}
	return s
}

func (tn testNetwork) exchange(s transport.Stream, n int) {
	tn.t.Helper()
	var m ping
	if err := errors.Join(s.Send(ping{n}), s.Recv(&m)); err != nil || m.N != n {
		tn.t.Fatalf("exchange %d: got %d, %v", n, m.N, err)
	}
}

// elapsed returns the virtual time that f takes.
func elapsed(f func()) time.Duration {
	start := time.Now()
	f()
	return time.Since(start)
}

func TestLatencyIsCountedBothWays(t *testing.T) {
	runNetworkTest(t, func(tn testNetwork) {
		tn.SetLatency(client, server, 5*time.Millisecond)
		s := tn.open()
		if got := elapsed(func() { tn.exchange(s, 1) }); got != 10*time.Millisecond {
			t.Fatalf("round trip: got %v, want 10ms", got)
		}
	})
}

func TestStallHangsUntilHealAndLosesNothing(t *testing.T) {
	runNetworkTest(t, func(tn testNetwork) {
		s := tn.open()
		tn.exchange(s, 1)
		tn.Stall(server, client)
		time.AfterFunc(2*time.Second, func() { tn.Heal(client, server) })
		if got := elapsed(func() { tn.exchange(s, 2) }); got != 2*time.Second {
			t.Fatalf("exchange over the stall took %v, want 2s", got)
		}
	})
}

func TestStallBeyondTheIdleTimeoutBreaksBothSides(t *testing.T) {
	runNetworkTest(t, func(tn testNetwork) {
		s := tn.open()
		tn.exchange(s, 1)
		tn.StallAll(server)
		late := tn.open() // over the established connection, so the stall goes unnoticed
		if err := late.Send(ping{1}); err != nil {
			t.Fatal(err)
		}
		got := elapsed(func() {
			if err := s.Recv(&ping{}); !errors.Is(err, errIdle) {
				t.Errorf("got %v, want errIdle", err)
			}
		})
		if got != DefaultIdleTimeout {
			t.Fatalf("Recv failed after %v, want %v", got, DefaultIdleTimeout)
		}
		synctest.Wait()
		if late.Context().Err() == nil {
			t.Fatal("the stream opened during the stall is still open")
		}
		if _, err := tn.dialer.Open(context.Background(), addr); !errors.Is(err, errHandshakeTimeout) {
			t.Fatalf("Open: got %v, want errNoAnswer", err)
		}
		tn.HealAll(server)
		tn.exchange(tn.open(), 3)
	})
}

func TestCutBreaksStreamsAndHealLetsNewOnesThrough(t *testing.T) {
	runNetworkTest(t, func(tn testNetwork) {
		s := tn.open()
		tn.exchange(s, 1)
		tn.Cut(client, server)
		if err := s.Recv(&ping{}); !errors.Is(err, errCut) {
			t.Fatalf("Recv: got %v", err)
		}
		got := elapsed(func() {
			if _, err := tn.dialer.Open(context.Background(), addr); err == nil {
				t.Error("Open over a cut link: got no error")
			}
		})
		if got != DefaultHandshakeTimeout {
			t.Fatalf("Open failed after %v", got)
		}
		tn.Heal(client, server)
		tn.exchange(tn.open(), 2)
	})
}

func TestKilledProcessClosesStreamsAndFreesItsAddress(t *testing.T) {
	runNetworkTest(t, func(tn testNetwork) {
		s := tn.open()
		tn.exchange(s, 1)
		tn.Kill(server)
		if err := s.Recv(&ping{}); err == nil || errors.Is(err, io.EOF) {
			t.Fatalf("Recv: got %v", err)
		}
		tn.listen()
		tn.exchange(tn.open(), 2)
		tn.Kill(client)
		if _, err := tn.dialer.Open(context.Background(), addr); !errors.Is(err, ErrDialerClosed) {
			t.Fatalf("a killed process's dialer: got %v", err)
		}
	})
}

// A stalled link must hold back a Close; the peer sees it once the link is healed.
func TestCloseIsNotSeenDuringAStall(t *testing.T) {
	runNetworkTest(t, func(tn testNetwork) {
		other, err := tn.Listen("agent-2", "127.0.0.1:7002")
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		accepted := make(chan transport.Stream)
		go other.Serve(context.Background(), func(ctx context.Context, s transport.Stream) {
			accepted <- s
			<-ctx.Done()
		})
		s, err := tn.dialer.Open(context.Background(), other.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Send(ping{1}); err != nil {
			t.Fatal(err)
		}
		peer := <-accepted
		tn.Stall(client, "agent-2")
		s.Close()
		time.Sleep(time.Second)
		if peer.Context().Err() != nil {
			t.Fatal("the peer saw the Close over a stalled link")
		}
		tn.Heal(client, "agent-2")
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
		if sent != 3 { // with its header the fourth message would exceed the window
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
