package deployment

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/endpoint/httpendpoint"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/plain"
	"mulberryscale.example/keys"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/memtransport"
	"mulberryscale.example/transport/quictransport"
)

// loopback is any free port of this machine's loopback address.
const loopback = "127.0.0.1:0"

// readHeaderTimeout bounds the time that a caller may take for its headers.
const readHeaderTimeout = 5 * time.Second

// Fabric is what connects the processes of a deployment.
type Fabric interface {
	// Listen and Dialer give a process its ends of our own transport.
	Listen(id string) (transport.Listener, error)
	Dialer(id string) (transport.Dialer, error)
	// Engine and Service give an agent the way to the endpoint beside it.
	Engine(core *engine.Engine) (endpoint.Engine, error)
	Service(core *plain.Service) (endpoint.Service, error)
	// Serve serves HTTP to callers until stop is called and returns the base URL.
	Serve(id string, h http.Handler) (baseURL string, stop func(), err error)
	// Client calls what Serve serves.
	Client() *http.Client
	// Kill breaks all connections of a process.
	Kill(id string)
}

// Loopback connects over QUIC and HTTP on the loopback address.
type Loopback struct {
	authority *keys.Authority
	client    *http.Client
	mu        sync.Mutex
	servers   []*http.Server
}

// NewLoopback returns a fabric with a development authority of its own.
func NewLoopback() (*Loopback, error) {
	authority, err := keys.NewDevAuthority()
	if err != nil {
		return nil, trace.Wrap(err, "making the development authority")
	}
	return &Loopback{authority: authority, client: &http.Client{Transport: &http.Transport{}}}, nil
}

// Listen implements Fabric.
func (l *Loopback) Listen(id string) (transport.Listener, error) {
	source, err := l.authority.Source(id)
	if err != nil {
		return nil, err
	}
	return quictransport.Listen(loopback, source)
}

// Dialer implements Fabric.
func (l *Loopback) Dialer(id string) (transport.Dialer, error) {
	source, err := l.authority.Source(id)
	if err != nil {
		return nil, err
	}
	return quictransport.NewDialer(source), nil
}

// Engine implements Fabric: the stand-in is served over HTTP.
func (l *Loopback) Engine(core *engine.Engine) (endpoint.Engine, error) {
	base, _, err := l.Serve(core.ID(), core.Handler())
	if err != nil {
		return nil, err
	}
	return httpendpoint.NewEngine(base), nil
}

// Service implements Fabric: the stand-in is served over HTTP.
func (l *Loopback) Service(core *plain.Service) (endpoint.Service, error) {
	base, _, err := l.Serve("service", core.Handler())
	if err != nil {
		return nil, err
	}
	return httpendpoint.NewService(base), nil
}

// Serve implements Fabric.
func (l *Loopback) Serve(_ string, h http.Handler) (string, func(), error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", nil, trace.Wrap(err, "listening for HTTP")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go server.Serve(ln)
	l.mu.Lock()
	l.servers = append(l.servers, server)
	l.mu.Unlock()
	return "http://" + ln.Addr().String(), func() { server.Close() }, nil
}

// Client implements Fabric.
func (l *Loopback) Client() *http.Client { return l.client }

// Kill implements Fabric; closing the process's listener and dialer does it all.
func (l *Loopback) Kill(string) {}

// Close ends all HTTP servers.
func (l *Loopback) Close() {
	l.client.CloseIdleConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		s.Close()
	}
}

// Memory connects in memory and calls the stand-ins directly.
type Memory struct {
	// Network has the faults of our own transport.
	Network *memtransport.Network
	client  *http.Client
	mu      sync.Mutex
	pipes   map[string]*pipeListener // by host
}

// NewMemory returns a fabric without real connections.
func NewMemory() *Memory {
	m := &Memory{Network: memtransport.NewNetwork(), pipes: map[string]*pipeListener{}}
	m.client = &http.Client{Transport: &http.Transport{DialContext: m.dial}}
	return m
}

// Listen implements Fabric.
func (m *Memory) Listen(id string) (transport.Listener, error) {
	return m.Network.Listen(transport.PeerID(id), loopback)
}

// Dialer implements Fabric.
func (m *Memory) Dialer(id string) (transport.Dialer, error) {
	return m.Network.Dialer(transport.PeerID(id)), nil
}

// Engine implements Fabric.
func (m *Memory) Engine(core *engine.Engine) (endpoint.Engine, error) { return core, nil }

// Service implements Fabric.
func (m *Memory) Service(core *plain.Service) (endpoint.Service, error) { return core, nil }

// Serve implements Fabric; the host of the URL is the id.
func (m *Memory) Serve(id string, h http.Handler) (string, func(), error) {
	ln := newPipeListener()
	server := &http.Server{Handler: h}
	go server.Serve(ln)
	m.mu.Lock()
	m.pipes[id] = ln
	m.mu.Unlock()
	return "http://" + id, func() { server.Close() }, nil
}

func (m *Memory) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	ln := m.pipes[host]
	m.mu.Unlock()
	if ln == nil {
		return nil, trace.ConnectionProblem(nil, "nothing listens at %v", addr)
	}
	return ln.dial(ctx)
}

// Client implements Fabric.
func (m *Memory) Client() *http.Client { return m.client }

// Kill implements Fabric.
func (m *Memory) Kill(id string) { m.Network.Kill(transport.PeerID(id)) }

// Close ends idle connections.
func (m *Memory) Close() { m.client.CloseIdleConnections() }

// pipeListener is a net.Listener whose connections are net.Pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }
