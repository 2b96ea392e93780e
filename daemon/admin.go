package daemon

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/api"
)

// Paths of the operators' listener, besides api.PathReady and api.PathLive.
const (
	PathVars  = "/debug/vars"
	PathDrain = "/drain"
)

// Limits of the operators' listener.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	closeTimeout   = 2 * time.Second
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 1 << 20
)

const (
	bearer        = "Bearer "
	stepAuthorize = "daemon.authorize"
)

// Route is an additional route of the operators' listener.
type Route struct {
	// Pattern is a pattern of http.ServeMux, such as "GET /status".
	Pattern string
	Handler http.Handler
	// Public routes need no token.
	Public bool
}

// adminServer is the operators' listener.
type adminServer struct {
	server *http.Server
	served chan error
}

// startAdmin starts the operators' listener. Without an address it starts nothing
// and returns a server whose close does nothing.
func (r *runner) startAdmin() (*adminServer, error) {
	if r.AdminAddr == "" {
		return &adminServer{}, nil
	}
	ln, err := net.Listen("tcp", r.AdminAddr)
	if err != nil {
		return nil, trace.Wrap(err, "daemon: listen for operators on %s", r.AdminAddr)
	}
	a := &adminServer{server: r.newServer(), served: make(chan error, 1)}
	go func() { a.served <- a.server.Serve(ln) }()
	r.log().WithField("addr", ln.Addr().String()).Info("operators' listener open")
	return a, nil
}

func (r *runner) newServer() *http.Server {
	return &http.Server{
		Handler:           r.adminHandler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (a *adminServer) close() error {
	if a.server == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := a.server.Shutdown(ctx); err != nil {
		_ = a.server.Close() // cuts off slow clients; only operators' calls run here
	}
	if err := <-a.served; !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err, "daemon: serve operators")
	}
	return nil
}

func (r *runner) adminHandler() http.Handler {
	mux := http.NewServeMux()
	if r.Counters != nil {
		mux.Handle("GET "+PathVars, r.Counters.Handler())
	}
	mux.HandleFunc("GET "+api.PathLive, func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "live")
	})
	mux.HandleFunc("GET "+api.PathReady, r.serveReady)
	mux.Handle("POST "+PathDrain, r.authorized(http.HandlerFunc(r.serveDrain)))
	for _, route := range r.Routes {
		h := route.Handler
		if !route.Public {
			h = r.authorized(h)
		}
		mux.Handle(route.Pattern, h)
	}
	return http.MaxBytesHandler(mux, maxBodyBytes)
}

func (r *runner) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case r.unready.Load():
		writeText(w, http.StatusServiceUnavailable, "draining")
	case r.Ready != nil && !r.Ready():
		writeText(w, http.StatusServiceUnavailable, "not ready")
	default:
		writeText(w, http.StatusOK, "ready")
	}
}

// serveDrain starts the drain and answers at once. It is idempotent.
func (r *runner) serveDrain(w http.ResponseWriter, _ *http.Request) {
	r.unready.Store(true)
	select {
	case r.drainRequested <- struct{}{}:
	default:
	}
	writeText(w, http.StatusAccepted, "draining")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n") // the client may have disconnected
}

// authorized passes on requests that carry the operators' token and refuses others.
func (r *runner) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		token, ok := strings.CutPrefix(req.Header.Get("Authorization"), bearer)
		if !ok || !SameToken(token, r.AdminToken) {
			r.refuse(w)
			return
		}
		next.ServeHTTP(w, req)
	})
}

func (r *runner) refuse(w http.ResponseWriter) {
	refusal := &api.Refusal{
		Code:    api.CodeUnauthorized,
		Message: "operators' calls need a bearer token",
		NotRun:  api.NotRunTrue,
		Step:    stepAuthorize,
		Peer:    r.Name,
	}
	if r.Counters != nil {
		r.Counters.Refusal("", refusal.Code)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusal.Status())
	_ = json.NewEncoder(w).Encode(api.ErrorBody{Error: refusal}) // the client may have disconnected
}

// SameToken compares two tokens in constant time. An empty token matches none.
func SameToken(got, want string) bool {
	a, b := sha256.Sum256([]byte(got)), sha256.Sum256([]byte(want))
	return want != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
