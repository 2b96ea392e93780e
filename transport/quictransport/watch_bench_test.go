package quictransport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"testing"
	"time"

	"mulberryscale.example/keys"
	"mulberryscale.example/transport"
)

const (
	// reportBytes is about the size of an agent's report as CBOR.
	reportBytes    = 250
	reportInterval = 100 * time.Millisecond
	reportTime     = 4 * time.Second
)

// reportHandler sends reports until the stream ends.
func reportHandler(ctx context.Context, s transport.Stream) {
	report := bytes.Repeat([]byte{7}, reportBytes)
	for ctx.Err() == nil && s.Send(report) == nil {
		time.Sleep(reportInterval)
	}
}

// BenchmarkWatchQUIC is what one report costs over QUIC on loopback, both ends
// together, and the memory of one connection with a stream, both ends, by
// connections. Run it with -benchtime=1x.
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
	authority, err := keys.NewDevAuthority()
	if err != nil {
		b.Fatal(err)
	}
	client, err := authority.Source("entry-1")
	if err != nil {
		b.Fatal(err)
	}
	d := NewDialer(client).(*dialer)
	defer d.Close()
	memory := memoryInUse()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	for i := range n {
		server, err := authority.Source(fmt.Sprintf("agent-%d", i))
		if err != nil {
			b.Fatal(err)
		}
		l, err := Listen("127.0.0.1:0", server)
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		go l.Serve(ctx, reportHandler)
		s, err := d.Open(ctx, l.Addr())
		if err != nil {
			b.Fatal(err)
		}
		if err := s.Send([]byte("watch")); err != nil {
			b.Fatal(err)
		}
		go drain(s)
	}
	time.Sleep(2 * time.Second) // path MTU discovery is over
	b.ReportMetric(float64(memoryInUse()-memory)/float64(n), "B/connection")
	sent, cpu := d.bytes(), processorTime(b)
	time.Sleep(reportTime)
	reports := float64(n) * reportTime.Seconds() / reportInterval.Seconds()
	b.ReportMetric(float64(d.bytes()-sent)/reports, "B/report")
	b.ReportMetric(float64(processorTime(b)-cpu)/1e3/reports, "cpu-us/report")
}

func drain(s transport.Stream) {
	for {
		var report []byte
		if err := s.Recv(&report); err == io.EOF || err != nil {
			return
		}
	}
}

// bytes is what all connections of the dialer sent and received.
func (d *dialer) bytes() (n uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		stats := c.conn.ConnectionStats()
		n += stats.BytesSent + stats.BytesReceived
	}
	return n
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
