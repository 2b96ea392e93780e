package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/endpoint/httpendpoint"
	"mulberryscale.example/internal/standin/fault"
	"mulberryscale.example/internal/standin/respond"
	"mulberryscale.example/platform"
)

// Handler serves the API that clients of package httpendpoint call, and GET /records,
// GET /events?since=, POST /faults and DELETE /v1/completions/{run_id}. Faults that break a
// connection break the HTTP connection.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpendpoint.PathCompletions, e.serveCompletion)
	mux.HandleFunc("DELETE "+httpendpoint.PathCompletions+"/{run_id}", e.serveCancel)
	mux.HandleFunc("GET "+httpendpoint.PathStatus, e.serveStatus)
	mux.HandleFunc("POST "+httpendpoint.PathLoad, e.serveLoad)
	mux.HandleFunc("GET /events", e.serveEvents)
	mux.HandleFunc("POST /faults", fault.Handler(e.Apply))
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		respond.JSON(w, http.StatusOK, e.Records())
	})
	return mux
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body httpendpoint.CompletionBody
	if !respond.Read(w, r, &body) {
		return
	}
	if !body.Stream {
		http.Error(w, "want stream: true", http.StatusBadRequest)
		return
	}
	stream, err := e.Generate(r.Context(), body.Request())
	if err != nil {
		engineError(w, err)
		return
	}
	defer stream.Close()
	session, err := sse.Upgrade(w, r)
	if err != nil {
		respond.BreakConnection()
	}
	// The headers are sent at once, so that the caller knows that a waiting run was accepted.
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = session.Flush() // fails if the caller has disconnected
	sendStream(session, body.Request(), stream)
}

// sendStream sends the events of a run until it completes. If the run is aborted, it breaks the
// connection.
func sendStream(session *sse.Session, req endpoint.GenerateRequest, stream endpoint.Stream) {
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			_ = sendData(session, httpendpoint.DoneData) // fails if the caller has disconnected
			return
		}
		if err != nil {
			respond.BreakConnection()
		}
		data, err := json.Marshal(httpendpoint.NewEventBody(req, chunk))
		if err != nil || sendData(session, string(data)) != nil {
			respond.BreakConnection()
		}
	}
}

func sendData(session *sse.Session, data string) error {
	var m sse.Message
	m.AppendData(data)
	if err := session.Send(&m); err != nil {
		return err
	}
	return session.Flush()
}

// engineError answers with the status of a refused call or a failed load. For any other error
// it breaks the connection.
func engineError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrBadRequest):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, ErrNotReady):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, platform.ErrStaleFence):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, ErrLoadFailed), errors.Is(err, ErrSuperseded):
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		respond.BreakConnection()
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.Cancel(r.PathValue("run_id")) {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveStatus(w http.ResponseWriter, r *http.Request) {
	s, err := e.Status(r.Context())
	if err != nil {
		engineError(w, err)
		return
	}
	respond.JSON(w, http.StatusOK, s)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var o endpoint.Order
	if !respond.Read(w, r, &o) {
		return
	}
	if err := e.Load(r.Context(), o); err != nil {
		engineError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	var since uint64
	if text := r.URL.Query().Get("since"); text != "" {
		var err error
		if since, err = strconv.ParseUint(text, 10, 64); err != nil {
			http.Error(w, "since: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	respond.JSON(w, http.StatusOK, e.Events(since))
}
