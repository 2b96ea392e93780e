package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"mulberryscale.example/loadview"
	"mulberryscale.example/observe"
)

// PathMetrics is the HTTP path of counters and histograms.
const PathMetrics = "/debug/vars"

// serveMetrics serves the counters and the load until ctx is cancelled; port 0 disables them. An
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
	mux.HandleFunc("GET "+loadview.Path, b.serveLoad)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(l); ctx.Err() == nil {
		b.log.WithError(err).Error("metrics no longer served")
	}
}

// serveLoad serves the load as this process sees it.
func (b *base) serveLoad(w http.ResponseWriter, _ *http.Request) {
	document := loadview.Document{Process: b.settings.Node, Incarnation: b.incarnation, Role: b.role, Zone: b.settings.Zone}
	if b.load != nil {
		document.Load = b.load()
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(document) // the client may have disconnected
}
