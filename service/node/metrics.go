package node

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"mulberryscale.example/observe"
)

// PathMetrics is the HTTP path of counters and histograms.
const PathMetrics = "/debug/vars"

// serveMetrics serves the counters until ctx is cancelled; port 0 disables them. An
// error is only logged, since a process can run without metrics.
func (b *base) serveMetrics(ctx context.Context, port int) {
	if port == 0 {
		return
	}
	b.counters.Gauge(observe.NameDroppedLines, func() any { return b.bounded.Dropped() })
	addr := net.JoinHostPort(b.settings.IP, strconv.Itoa(port))
	l, err := net.Listen("tcp", addr)
	if err != nil {
		b.log.WithError(err).Error("metrics not served")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, b.counters.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(l); ctx.Err() == nil {
		b.log.WithError(err).Error("metrics no longer served")
	}
}
