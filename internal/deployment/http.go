package deployment

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
)

// httpServers holds the HTTP servers of a fabric.
type httpServers struct {
	mu    sync.Mutex
	byURL map[string]*http.Server // the last server started at each base URL
}

// serve starts a server; stop closes it and aborts the requests in progress.
func (s *httpServers) serve(baseURL string, server *http.Server, ln net.Listener) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byURL == nil {
		s.byURL = make(map[string]*http.Server)
	}
	s.byURL[baseURL] = server
	go server.Serve(ln) // returns after stop
	return func() { server.Close() }
}

// shutdown stops the server at baseURL once the requests in progress are answered.
func (s *httpServers) shutdown(ctx context.Context, baseURL string) error {
	s.mu.Lock()
	server := s.byURL[baseURL]
	s.mu.Unlock()
	if server == nil {
		return trace.NotFound("nothing is served at %v", baseURL)
	}
	return trace.Wrap(server.Shutdown(ctx), "shutting down the HTTP server at %v", baseURL)
}

// close closes all servers and aborts the requests in progress.
func (s *httpServers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.byURL {
		server.Close()
	}
}
