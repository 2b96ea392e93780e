// Package httponce sends each HTTP request at most once. net/http's transport alone
// retries some requests on a new connection. The package also distinguishes a request
// that was provably never sent from one whose outcome is unknown.
package httponce

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Limits of the connections.
const (
	// idleTimeout is shorter than servers usually keep an idle connection, so
	// that a request is seldom sent on one that the server is closing.
	idleTimeout        = 2 * time.Second
	maxIdlePerHost     = 64
	maxResponseHeaders = 64 << 10 // bytes
	// dialTimeout limits a dial to a peer that does not answer. It is a hundred
	// times the duration of a dial within a region.
	dialTimeout = time.Second
	// A peer that disappeared without a reset is detected within
	// keepAliveIdle + keepAliveCount * keepAliveInterval.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// UnsentError wraps an error that occurred before anything of the request was written to a
// connection. Nothing of it was sent, and nothing will be.
type UnsentError struct{ Err error }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Client sends HTTP requests at most once. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client that follows no redirects and uses no proxy. It has no timeout
// for whole requests; only their contexts limit them.
func New() *Client { return NewWithIdleTimeout(idleTimeout) }

// NewWithIdleTimeout is New with connections that are closed after being idle for idle.
func NewWithIdleTimeout(idle time.Duration) *Client {
	t := newTransport(newDialer().DialContext)
	t.IdleConnTimeout = idle
	return newClient(t)
}

// NewOneShot is New with a connection of its own for each request.
func NewOneShot() *Client { return NewSingleUse(newDialer().DialContext) }

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
}

// NewSingleUse is NewOneShot with connections that dial opens.
func NewSingleUse(dial DialFunc) *Client {
	t := newTransport(dial)
	t.DisableKeepAlives = true
	return newClient(t)
}

func newTransport(dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            watchDials(dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxResponseHeaders,
	}
}

func newClient(t *http.Transport) *Client {
	return &Client{http: &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// maxRetiredConns is how many closed connections a request may be given before it is unsent: all that are kept to a
// server may have carried its id.
const maxRetiredConns = maxIdlePerHost + 3

// Do sends a request at most once. An UnsentError proves that it was not sent;
// any other error leaves the outcome unknown.
func (c *Client) Do(req *http.Request) (*http.Response, error) { return c.do(req, "") }

// do is Do for a request with an id, which goes out on a connection that has not carried that id.
func (c *Client) do(req *http.Request, id string) (*http.Response, error) {
	for retired := 0; ; retired++ {
		watch := &requestWatch{id: id}
		resp, err := c.send(req, watch)
		if err == nil || !watch.unsent() {
			return resp, err
		}
		if retired == maxRetiredConns || !watch.gotRetiredConn() || !rewind(req) {
			return nil, &UnsentError{Err: err}
		}
	}
}

// send sends a request once.
func (c *Client) send(req *http.Request, watch *requestWatch) (*http.Response, error) {
	once := watched(req, watch)
	forbidReplay(once)
	return c.answer(once)
}

// watched returns a copy of a request that tells watch what happens to it.
func watched(req *http.Request, watch *requestWatch) *http.Request {
	events := &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { watch.gotConn(info.Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { watch.wroteRequest(info.Err) },
	}
	return req.Clone(httptrace.WithClientTrace(withWatch(req.Context(), watch), events))
}

// answer sends a watched request and returns its answer, unless that is malformed.
func (c *Client) answer(req *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		discard(resp)
		return nil, err
	}
	return resp, nil
}

// rewind gives a request that was not sent its whole body again. It reports whether that is
// possible.
func rewind(req *http.Request) bool {
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	if req.GetBody == nil {
		return false
	}
	body, err := req.GetBody()
	if err != nil {
		return false
	}
	req.Body = body
	return true
}

// DoRepeatable sends an idempotent request, such as a read. The transport may retry it.
func (c *Client) DoRepeatable(req *http.Request) (*http.Response, error) {
	return c.answer(watched(req, &requestWatch{}))
}

// forbidReplay gives the request a body that can be read only once, because
// the transport retries only requests whose body it can get again.
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
