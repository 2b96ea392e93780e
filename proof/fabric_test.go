package proof

import (
	"net/http"
	"sync"

	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/transport"
)

// fabric is an in-memory fabric in which a restarted process listens on its previous address
// and a frozen entry sends no responses.
type fabric struct {
	*deployment.Memory
	mu    sync.Mutex
	addrs map[string]string // by process id
	gates map[string]*gate  // by entry id
}

func newFabric() *fabric {
	return &fabric{Memory: deployment.NewMemory(), addrs: map[string]string{}, gates: map[string]*gate{}}
}

// Listen implements deployment.Fabric.
func (f *fabric) Listen(id string) (transport.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	addr, known := f.addrs[id]
	if !known {
		addr = "127.0.0.1:0"
	}
	l, err := f.Network.Listen(transport.PeerID(id), addr)
	if err == nil {
		f.addrs[id] = l.Addr()
	}
	return l, err
}

// Serve implements deployment.Fabric.
func (f *fabric) Serve(id string, h http.Handler) (string, func(), error) {
	g := newGate()
	f.mu.Lock()
	f.gates[id] = g
	f.mu.Unlock()
	url, stop, err := f.Memory.Serve(id, &gatedHandler{next: h, gate: g})
	return url, func() {
		stop()
		g.open() // release blocked handlers; their writes reach no caller
	}, err
}

// freeze stalls all messages of a process, as SIGSTOP would.
func (f *fabric) freeze(id string) {
	f.Network.StallAll(transport.PeerID(id))
	if g := f.gateOf(id); g != nil {
		g.shut()
	}
}

// thaw resumes a frozen process and heals all its cut links.
func (f *fabric) thaw(id string) {
	f.Network.HealAll(transport.PeerID(id))
	if g := f.gateOf(id); g != nil {
		g.open()
	}
}

func (f *fabric) gateOf(id string) *gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gates[id]
}

// gate blocks HTTP handlers while it is shut.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed while the gate is open
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default:
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

// await waits until the gate is open or the request is cancelled.
func (g *gate) await(r *http.Request) {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	select {
	case <-opened:
	case <-r.Context().Done():
	}
}

// gatedHandler delays requests and writes of responses while its gate is shut.
type gatedHandler struct {
	next http.Handler
	gate *gate
}

// ServeHTTP implements http.Handler.
func (h *gatedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.gate.await(r)
	h.next.ServeHTTP(&gatedWriter{ResponseWriter: w, gate: h.gate, r: r}, r)
}

// gatedWriter waits for the gate before each write and flush.
type gatedWriter struct {
	http.ResponseWriter
	gate *gate
	r    *http.Request
}

// Write implements http.ResponseWriter.
func (w *gatedWriter) Write(p []byte) (int, error) {
	w.gate.await(w.r)
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *gatedWriter) Flush() {
	w.gate.await(w.r)
	_ = http.NewResponseController(w.ResponseWriter).Flush() // the caller sees a broken connection
}
