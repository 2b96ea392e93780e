package quictransport

import (
	"context"
	"fmt"
	"testing"
	"time"

	"mulberryscale.example/internal/benchmeter"
	"mulberryscale.example/keys"
	"mulberryscale.example/transport"
)

// BenchmarkIdleConnections measures the traffic and CPU time per second of idle
// connections with one open stream each, dialer and listeners together, by the
// number of connections. Run it with -benchtime=1x.
func BenchmarkIdleConnections(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			for b.Loop() {
				idleConnections(b, n)
			}
		})
	}
}

func idleConnections(b *testing.B, n int) {
	const watched = 4 * time.Second
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	authority, d := benchDialer(b)
	defer d.Close()
	for i := range n {
		addr := benchListen(ctx, b, authority, fmt.Sprintf("agent-%d", i), drainHandler)
		benchOpen(ctx, b, d, addr)
	}
	time.Sleep(8 * time.Second) // until path MTU discovery is over
	sent, cpu := d.bytes(), benchmeter.CPUTime(b)
	time.Sleep(watched)
	b.ReportMetric(float64(d.bytes()-sent)/watched.Seconds(), "B/s")
	b.ReportMetric(benchmeter.CPUMicrosPerOp(b, cpu, watched.Seconds()), "cpu-us/s")
}

// BenchmarkHandshake measures a new connection with one message sent, dialer and
// listener together.
func BenchmarkHandshake(b *testing.B) {
	authority, first := benchDialer(b)
	defer first.Close()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	addr := benchListen(ctx, b, authority, "agent-1", drainHandler)
	source, err := authority.Source("entry-1")
	if err != nil {
		b.Fatal(err)
	}
	var sent uint64
	cpu := benchmeter.CPUTime(b)
	for b.Loop() {
		d := NewDialer(source).(*dialer)
		benchOpen(ctx, b, d, addr)
		sent += d.bytes()
		d.Close()
	}
	b.ReportMetric(float64(sent)/float64(b.N), "B/handshake")
	b.ReportMetric(benchmeter.CPUMicrosPerOp(b, cpu, float64(b.N)), "cpu-us/handshake")
}

func benchDialer(b *testing.B) (*keys.Authority, *dialer) {
	authority, err := keys.NewDevAuthority()
	if err != nil {
		b.Fatal(err)
	}
	source, err := authority.Source("entry-1")
	if err != nil {
		b.Fatal(err)
	}
	return authority, NewDialer(source).(*dialer)
}

// benchListen serves streams with a handler until ctx is cancelled and returns the
// listener's address.
func benchListen(ctx context.Context, b *testing.B, authority *keys.Authority, id string, h transport.Handler) string {
	source, err := authority.Source(id)
	if err != nil {
		b.Fatal(err)
	}
	l, err := Listen("127.0.0.1:0", source)
	if err != nil {
		b.Fatal(err)
	}
	context.AfterFunc(ctx, func() { l.Close() })
	go l.Serve(ctx, h)
	return l.Addr()
}

// drainHandler reads a stream to the end and keeps it open without answering.
func drainHandler(ctx context.Context, s transport.Stream) {
	drain(s)
	<-ctx.Done()
}

// benchOpen opens a stream and sends its first message.
func benchOpen(ctx context.Context, b *testing.B, d *dialer, addr string) transport.Stream {
	s, err := d.Open(ctx, addr)
	if err != nil {
		b.Fatal(err)
	}
	if err := s.Send([]byte("watch")); err != nil {
		b.Fatal(err)
	}
	return s
}
