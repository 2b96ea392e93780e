package quictransport

import (
	"testing"
	"time"
)

// benchPair returns the address of an echo server and a dialer.
func benchPair(b *testing.B) (addr string, d *dialer) {
	b.Helper()
	authority, d := benchDialer(b)
	b.Cleanup(func() { d.Close() })
	return benchListen(b.Context(), b, authority, "agent-1", echoHandler), d
}

// BenchmarkExchange measures one stream with one message each way.
func BenchmarkExchange(b *testing.B) {
	addr, d := benchPair(b)
	for b.Loop() {
		if err := exchange(b.Context(), d, addr); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdleConnection measures the UDP payload of an idle connection at the
// dialer, in bytes per second for each direction. Run it with -benchtime=1x.
func BenchmarkIdleConnection(b *testing.B) {
	const watched = 10 * time.Second
	addr, d := benchPair(b)
	if err := exchange(b.Context(), d, addr); err != nil {
		b.Fatal(err)
	}
	d.mu.Lock()
	conn := d.conns[addr].conn
	d.mu.Unlock()
	time.Sleep(2 * time.Second) // until path MTU discovery is over
	for b.Loop() {
		before := conn.ConnectionStats()
		time.Sleep(watched)
		after := conn.ConnectionStats()
		b.ReportMetric(float64(after.BytesSent-before.BytesSent)/watched.Seconds(), "sent-B/s")
		b.ReportMetric(float64(after.BytesReceived-before.BytesReceived)/watched.Seconds(), "received-B/s")
		b.ReportMetric(float64(after.PacketsSent-before.PacketsSent)/watched.Seconds(), "sent-packets/s")
	}
}
