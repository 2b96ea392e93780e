package quictransport

import (
	"testing"
	"time"
)

// BenchmarkRestart measures how long a peer with an open stream takes to detect
// that the other process crashed and restarted on its address: a peer that sends
// a request after the restart, and one that only waits. Run it with -benchtime=1x.
func BenchmarkRestart(b *testing.B) {
	b.Run("peer=sends", func(b *testing.B) { benchmarkRestart(b, true) })
	b.Run("peer=waits", func(b *testing.B) { benchmarkRestart(b, false) })
}

func benchmarkRestart(b *testing.B, sends bool) {
	a, d := benchDialer(b)
	b.Cleanup(func() { d.Close() })
	pair, err := a.Issue("agent-1")
	if err != nil {
		b.Fatal(err)
	}
	l := requestServer(b, "127.0.0.1:0", sourceOfPair(b, a, pair), Options{})
	var noticed time.Duration
	for b.Loop() {
		s, err := d.Open(b.Context(), l.Addr())
		if err != nil {
			b.Fatal(err)
		}
		var answer request
		if err := s.Send(request{}); err != nil {
			b.Fatal(err)
		}
		if err := s.Recv(&answer); err != nil {
			b.Fatal(err)
		}
		time.Sleep(2 * time.Second) // until path MTU discovery is over
		l.crash()
		l = requestServer(b, l.Addr(), sourceOfPair(b, a, pair), Options{})
		began := time.Now()
		if sends {
			_ = s.Send(request{}) // ignored: the benchmark measures when Recv fails
		}
		if s.Recv(&answer) == nil {
			b.Fatal("the restarted process answered on a stream of its predecessor")
		}
		noticed += time.Since(began)
	}
	b.ReportMetric(float64(noticed.Milliseconds())/float64(b.N), "ms-until-noticed")
}
