package weights

import (
	"io"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"mulberryscale.example/internal/standin/fault"
	"mulberryscale.example/internal/standin/respond"
	"mulberryscale.example/platform/httpplatform"
)

// PublishBody is the body of POST /models/{model}/versions.
type PublishBody struct {
	Version uint64     `json:"version"`
	Parts   []PartSpec `json:"parts"`
}

// Handler serves the API that clients of package httpplatform call, and
// POST /models/{model}/versions to publish a version and POST /faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /models/{model}/latest", s.serveLatest)
	mux.HandleFunc("GET /models/{model}/versions/{version}", s.serveManifest)
	mux.HandleFunc("GET /models/{model}/versions/{version}/parts/{name}", s.servePart)
	mux.HandleFunc("POST /models/{model}/versions", s.servePublish)
	mux.HandleFunc("POST /faults", fault.Handler(s.Apply))
	return mux
}

func (s *Store) serveLatest(w http.ResponseWriter, r *http.Request) {
	version, err := s.Latest(r.Context(), r.PathValue("model"))
	if err != nil {
		respond.PlatformError(w, err)
		return
	}
	respond.JSON(w, http.StatusOK, httpplatform.LatestAnswer{Version: version})
}

func (s *Store) serveManifest(w http.ResponseWriter, r *http.Request) {
	version, ok := pathVersion(w, r)
	if !ok {
		return
	}
	manifest, err := s.Manifest(r.Context(), r.PathValue("model"), version)
	if err != nil {
		respond.PlatformError(w, err)
		return
	}
	respond.JSON(w, http.StatusOK, manifest)
}

func (s *Store) servePart(w http.ResponseWriter, r *http.Request) {
	version, ok := pathVersion(w, r)
	if !ok {
		return
	}
	part, err := s.Part(r.Context(), r.PathValue("model"), version, r.PathValue("name"))
	if err != nil {
		respond.PlatformError(w, err)
		return
	}
	defer part.Close()
	_, _ = io.Copy(w, part) // fails if the caller has disconnected
}

func (s *Store) servePublish(w http.ResponseWriter, r *http.Request) {
	var body PublishBody
	if !respond.Read(w, r, &body) {
		return
	}
	err := s.Publish(r.PathValue("model"), body.Version, body.Parts)
	switch {
	case trace.IsBadParameter(err):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case err != nil:
		respond.PlatformError(w, err)
	default:
		w.WriteHeader(http.StatusCreated)
	}
}

// pathVersion returns the version in the request's path. If it is not a number, it answers 400
// and returns false.
func pathVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	version, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil {
		http.Error(w, "version: "+err.Error(), http.StatusBadRequest)
	}
	return version, err == nil
}
