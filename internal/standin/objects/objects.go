// Package objects is a stand-in for the platform's object store, in process
// and over HTTP.
package objects

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"

	"mulberryscale.example/internal/standin/fault"
	"mulberryscale.example/internal/standin/gate"
	"mulberryscale.example/internal/standin/respond"
	"mulberryscale.example/platform"
)

// Options configure the store.
type Options struct {
	// Limits are the rate limits; a call above them is refused without effect.
	Limits gate.Limits
}

// Store implements platform.ObjectStore. Its Gate injects outages, delays and lost replies.
type Store struct {
	*gate.Gate

	mu      sync.Mutex
	objects map[string][]byte
}

var _ platform.ObjectStore = (*Store)(nil)

// New returns an empty store.
func New(o Options) *Store {
	return &Store{Gate: gate.New(o.Limits), objects: make(map[string][]byte)}
}

// Put implements platform.ObjectStore.
func (s *Store) Put(ctx context.Context, name string, body []byte) error {
	err := s.Write(ctx, 1, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, exists := s.objects[name]; exists {
			return platform.ErrPrecondition
		}
		s.objects[name] = slices.Clone(body)
		return nil
	})
	if err != nil {
		return fmt.Errorf("objects.put %q: %w", name, err)
	}
	return nil
}

// Get implements platform.ObjectStore.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	var found []byte
	err := s.Read(ctx, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		body, exists := s.objects[name]
		if !exists {
			return platform.ErrNotFound
		}
		found = slices.Clone(body)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("objects.get %q: %w", name, err)
	}
	return found, nil
}

// Handler serves GET and PUT /objects/{name}, GET /counts and POST /faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", s.serveGet)
	mux.HandleFunc("PUT /objects/{name...}", s.servePut)
	mux.HandleFunc("POST /faults", fault.Handler(s.Apply))
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		respond.JSON(w, http.StatusOK, s.Counts())
	})
	return mux
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	body, err := s.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		respond.PlatformError(w, err)
		return
	}
	_, _ = w.Write(body) // fails if the caller has disconnected
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("If-None-Match") != "*" {
		http.Error(w, "objects are immutable: want If-None-Match: *", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, respond.MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Put(r.Context(), r.PathValue("name"), body); err != nil {
		respond.PlatformError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
