package deployment

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/gravitational/trace"
)

// httpServers are the running HTTP servers of a fabric.
type httpServers struct {
	mu    sync.Mutex
	byURL map[string]*http.Server // by base URL, the newest
}

// serve starts a server; stop ends it at once.
func (s *httpServers) serve(baseURL string, server *http.Server, ln net.Listener) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byURL == nil {
		s.byURL = make(map[string]*http.Server)
	}
	s.byURL[baseURL] = server
	go server.Serve(ln) // ends with stop
	return func() { server.Close() }
}

// shutdown ends a server when it has answered what it was asked.
func (s *httpServers) shutdown(ctx context.Context, baseURL string) error {
	s.mu.Lock()
	server := s.byURL[baseURL]
	s.mu.Unlock()
	if server == nil {
		return trace.NotFound("nothing is served at %v", baseURL)
	}
	return trace.Wrap(server.Shutdown(ctx), "shutting down the HTTP server at %v", baseURL)
}

// close ends all servers at once.
func (s *httpServers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.byURL {
		server.Close()
	}
}
