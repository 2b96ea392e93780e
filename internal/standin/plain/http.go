package plain

import (
	"io"
	"maps"
	"net/http"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/standin/fault"
	"mulberryscale.example/internal/standin/respond"
)

// Handler serves POST /faults, GET /records and, on every other path, Call. A call that fails
// breaks the connection: if connections are refused, before the call runs.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", fault.Handler(s.Apply))
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		respond.JSON(w, http.StatusOK, s.Records())
	})
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, respond.MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	resp, err := s.Call(r.Context(), endpoint.ServiceRequest{
		Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: body,
	})
	if err != nil {
		respond.BreakConnection()
	}
	maps.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body) // fails if the caller has disconnected
}
