// Package httponce sends each HTTP request at most once, unlike net/http's
// transport by itself, which repeats some requests on a new connection. It
// tells a request that was provably never sent from one whose outcome is unknown.
package httponce

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Bounds of the connections.
const (
	// idleTimeout is shorter than servers usually keep an idle connection, so
	// that a request seldom meets one that its server is closing.
	idleTimeout        = 2 * time.Second
	maxIdlePerHost     = 64
	maxResponseHeaders = 64 << 10 // bytes
	// dialTimeout bounds a dial to a peer that does not answer: a hundred
	// times what a dial within a region takes.
	dialTimeout = time.Second
	// A peer that went away without a reset is noticed within
	// keepAliveIdle + keepAliveCount * keepAliveInterval.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// UnsentError wraps an error that arose before any connection carried the request.
type UnsentError struct{ Err error }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap gives the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Client is safe for concurrent use.
type Client struct{ http *http.Client }

// New makes a client that follows no redirects and uses no proxy. Its calls
// end with their contexts only.
func New() *Client { return NewWithIdleTimeout(idleTimeout) }

// NewWithIdleTimeout is New with connections that are kept idle for up to idle.
func NewWithIdleTimeout(idle time.Duration) *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &Client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			IdleConnTimeout:        idle,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			MaxResponseHeaderBytes: maxResponseHeaders,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// CloseIdle closes all connections that carry no request.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Do sends a request at most once. An UnsentError proves that it was not sent;
// any other error leaves the outcome unknown.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	watch := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	once := req.Clone(httptrace.WithClientTrace(req.Context(), watch))
	forbidReplay(once)
	resp, err := c.http.Do(once)
	if err != nil && !connected.Load() {
		return nil, &UnsentError{Err: err}
	}
	return resp, err
}

// DoRepeatable sends a request that may be repeated, such as a read.
func (c *Client) DoRepeatable(req *http.Request) (*http.Response, error) { return c.http.Do(req) }

// forbidReplay gives the request a body that can be read only once, because
// the transport repeats only requests whose body it can get again.
func forbidReplay(req *http.Request) {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = emptyBody{}
		req.ContentLength = 0
	}
	req.GetBody = nil
}

// emptyBody is an empty body that net/http does not know to be empty.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// ReadBody reads a whole body of at most limit bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, trace.Wrap(err, "read body")
	}
	if int64(len(b)) > limit {
		return nil, trace.LimitExceeded("body over %d bytes", limit)
	}
	return b, nil
}
