package quictransport

import (
	"testing"
	"time"

	"mulberryscale.example/keys"
)

func benchPair(b *testing.B) (*listener, *dialer) {
	b.Helper()
	a, err := keys.NewDevAuthority()
	if err != nil {
		b.Fatal(err)
	}
	server, err := a.Source("agent-1")
	if err != nil {
		b.Fatal(err)
	}
	client, err := a.Source("entry-1")
	if err != nil {
		b.Fatal(err)
	}
	l, err := Listen("127.0.0.1:0", server)
	if err != nil {
		b.Fatal(err)
	}
	d := NewDialer(client).(*dialer)
	b.Cleanup(func() {
		d.Close()
		l.Close()
	})
	go l.Serve(b.Context(), echoHandler)
	return l.(*listener), d
}

// BenchmarkExchange is one stream with one message each way.
func BenchmarkExchange(b *testing.B) {
	l, d := benchPair(b)
	for b.Loop() {
		if err := exchange(b.Context(), d, l.Addr()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdleConnection gives the bytes a second of UDP payload that an idle
// connection costs the dialer's side, each way. Run it with -benchtime=1x.
func BenchmarkIdleConnection(b *testing.B) {
	const watched = 10 * time.Second
	l, d := benchPair(b)
	if err := exchange(b.Context(), d, l.Addr()); err != nil {
		b.Fatal(err)
	}
	d.mu.Lock()
	conn := d.conns[l.Addr()].conn
	d.mu.Unlock()
	time.Sleep(2 * time.Second) // path MTU discovery is over
	for b.Loop() {
		before := conn.ConnectionStats()
		time.Sleep(watched)
		after := conn.ConnectionStats()
		b.ReportMetric(float64(after.BytesSent-before.BytesSent)/watched.Seconds(), "sent-B/s")
		b.ReportMetric(float64(after.BytesReceived-before.BytesReceived)/watched.Seconds(), "received-B/s")
		b.ReportMetric(float64(after.PacketsSent-before.PacketsSent)/watched.Seconds(), "sent-packets/s")
	}
}
