package quictransport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"mulberryscale.example/internal/benchmeter"
	"mulberryscale.example/transport"
)

const (
	// reportBytes is roughly the size of an agent's report as CBOR.
	reportBytes    = 250
	reportInterval = 100 * time.Millisecond
	reportTime     = 4 * time.Second
)

// reportHandler sends reports until the stream is closed.
func reportHandler(ctx context.Context, s transport.Stream) {
	report := bytes.Repeat([]byte{7}, reportBytes)
	for ctx.Err() == nil && s.Send(report) == nil {
		time.Sleep(reportInterval)
	}
}

// BenchmarkWatchQUIC measures the traffic and CPU time of one report over QUIC on
// loopback and the memory of one connection with a stream, each for dialer and
// listener together, by the number of connections. Run it with -benchtime=1x.
func BenchmarkWatchQUIC(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			for b.Loop() {
				watchQUIC(b, n)
			}
		})
	}
}

func watchQUIC(b *testing.B, n int) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	authority, d := benchDialer(b)
	defer d.Close()
	memory := benchmeter.MemoryInUse()
	for i := range n {
		addr := benchListen(ctx, b, authority, fmt.Sprintf("agent-%d", i), reportHandler)
		go drain(benchOpen(ctx, b, d, addr))
	}
	time.Sleep(2 * time.Second) // until path MTU discovery is over
	b.ReportMetric(float64(benchmeter.MemoryInUse()-memory)/float64(n), "B/connection")
	sent, cpu := d.bytes(), benchmeter.CPUTime(b)
	time.Sleep(reportTime)
	reports := float64(n) * reportTime.Seconds() / reportInterval.Seconds()
	b.ReportMetric(float64(d.bytes()-sent)/reports, "B/report")
	b.ReportMetric(benchmeter.CPUMicrosPerOp(b, cpu, reports), "cpu-us/report")
}

// drain reads a stream until it is closed or fails.
func drain(s transport.Stream) {
	for {
		var report []byte
		if err := s.Recv(&report); err == io.EOF || err != nil {
			return
		}
	}
}

// bytes returns the bytes that the dialer's connections sent and received.
func (d *dialer) bytes() (n uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		stats := c.conn.ConnectionStats()
		n += stats.BytesSent + stats.BytesReceived
	}
	return n
}
