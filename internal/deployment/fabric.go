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
	"mulberryscale.example/internal/pipenet"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/plain"
	"mulberryscale.example/keys"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/memtransport"
	"mulberryscale.example/transport/quictransport"
)

// loopback is the address to listen on: a free port of the loopback interface.
const loopback = "127.0.0.1:0"

// readHeaderTimeout limits the time that a caller may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// Fabric connects the processes of a deployment.
type Fabric interface {
	// Listen and Dialer return a process's listener and dialer for the transport
	// between entries and agents.
	Listen(id string) (transport.Listener, error)
	Dialer(id string) (transport.Dialer, error)
	// Engine and Service return an agent's client of the endpoint beside it.
	Engine(standIn *engine.Engine) (endpoint.Engine, error)
	Service(standIn *plain.Service) (endpoint.Service, error)
	// Serve serves HTTP to callers until stop is called, which aborts the
	// requests in progress, and returns the base URL.
	Serve(id string, h http.Handler) (baseURL string, stop func(), err error)
	// Shutdown stops the server at the base URL that Serve returned once the
	// requests in progress are answered. It returns the error of ctx if that is
	// done first, and an error if there is no such server.
	Shutdown(ctx context.Context, baseURL string) error
	// Client returns a client that reaches the servers started by Serve.
	Client() *http.Client
	// Kill breaks all connections of a process.
	Kill(id string)
}

// Loopback connects over QUIC and HTTP on the loopback address.
type Loopback struct {
	authority *keys.Authority
	client    *http.Client
	servers   httpServers
}

// NewLoopback returns a fabric with its own development certificate authority.
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
func (l *Loopback) Engine(standIn *engine.Engine) (endpoint.Engine, error) {
	base, _, err := l.Serve(standIn.ID(), standIn.Handler())
	if err != nil {
		return nil, err
	}
	return httpendpoint.NewEngine(base), nil
}

// Service implements Fabric: the stand-in is served over HTTP.
func (l *Loopback) Service(standIn *plain.Service) (endpoint.Service, error) {
	base, _, err := l.Serve("service", standIn.Handler())
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
	baseURL := "http://" + ln.Addr().String()
	return baseURL, l.servers.serve(baseURL, server, ln), nil
}

// Shutdown implements Fabric.
func (l *Loopback) Shutdown(ctx context.Context, baseURL string) error {
	return l.servers.shutdown(ctx, baseURL)
}

// Client implements Fabric.
func (l *Loopback) Client() *http.Client { return l.client }

// Kill implements Fabric. It does nothing: closing the process's listener and dialer
// breaks its connections.
func (l *Loopback) Kill(string) {}

// Close closes all HTTP servers and the client's idle connections.
func (l *Loopback) Close() {
	l.client.CloseIdleConnections()
	l.servers.close()
}

// Memory connects in memory and calls the stand-ins directly.
type Memory struct {
	// Network carries the transport between entries and agents; tests inject its faults.
	Network *memtransport.Network
	client  *http.Client
	servers httpServers
	mu      sync.Mutex
	pipes   map[string]*pipenet.Listener // by host
}

// NewMemory returns a fabric without sockets.
func NewMemory() *Memory {
	m := &Memory{Network: memtransport.NewNetwork(), pipes: map[string]*pipenet.Listener{}}
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
func (m *Memory) Engine(standIn *engine.Engine) (endpoint.Engine, error) { return standIn, nil }

// Service implements Fabric.
func (m *Memory) Service(standIn *plain.Service) (endpoint.Service, error) { return standIn, nil }

// Serve implements Fabric; the host of the URL is the id.
func (m *Memory) Serve(id string, h http.Handler) (string, func(), error) {
	ln := pipenet.Listen()
	m.mu.Lock()
	m.pipes[id] = ln
	m.mu.Unlock()
	baseURL := "http://" + id
	return baseURL, m.servers.serve(baseURL, &http.Server{Handler: h}, ln), nil
}

// Shutdown implements Fabric.
func (m *Memory) Shutdown(ctx context.Context, baseURL string) error {
	return m.servers.shutdown(ctx, baseURL)
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
	return ln.Dial(ctx)
}

// Client implements Fabric.
func (m *Memory) Client() *http.Client { return m.client }

// Kill implements Fabric.
func (m *Memory) Kill(id string) { m.Network.Kill(transport.PeerID(id)) }

// Close closes the client's idle connections.
func (m *Memory) Close() { m.client.CloseIdleConnections() }
