package tableservice

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"mulberryscale.example/internal/standin/fault"
	"mulberryscale.example/internal/standin/respond"
	"mulberryscale.example/platform"
	"mulberryscale.example/platform/httpplatform"
)

// Apply applies a posted fault.
func (s *Service) Apply(f fault.Fault) error {
	if f.Kind == fault.StaleReads {
		s.StaleReads(f.On)
		return nil
	}
	return s.Gate.Apply(f)
}

// Handler serves the API that clients of package httpplatform call, and GET /counts and
// POST /faults. A lost reply and a call that its caller cancelled break the connection.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", s.serveList)
	mux.HandleFunc("GET /records/{key...}", s.serveGet)
	mux.HandleFunc("PUT /records/{key...}", s.servePut)
	mux.HandleFunc("POST /transactions", s.serveTransaction)
	mux.HandleFunc("POST /faults", fault.Handler(s.Apply))
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		respond.JSON(w, http.StatusOK, s.Counts())
	})
	return mux
}

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	records, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		respond.PlatformError(w, err)
		return
	}
	body := make([]httpplatform.RecordBody, len(records))
	for i, rec := range records {
		body[i] = httpplatform.RecordBody(rec)
	}
	respond.JSON(w, http.StatusOK, body)
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	rec, err := s.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		respond.PlatformError(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(string(rec.ETag)))
	_, _ = w.Write(rec.Value) // fails if the caller has disconnected
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, respond.MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	write := platform.Write{Key: r.PathValue("key"), Value: value}
	match := r.Header.Get("If-Match")
	absent := r.Header.Get("If-None-Match") == "*"
	write.If = platform.ETag(strings.Trim(match, `"`))
	write.Unconditional = match == "" && !absent
	etags, err := s.Commit(r.Context(), []platform.Write{write})
	if err != nil {
		respond.PlatformError(w, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(string(etags[0])))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body httpplatform.TransactionBody
	if !respond.Read(w, r, &body) {
		return
	}
	writes := make([]platform.Write, len(body.Writes))
	for i, b := range body.Writes {
		writes[i] = platform.Write(b)
	}
	etags, err := s.Commit(r.Context(), writes)
	if err != nil {
		respond.PlatformError(w, err)
		return
	}
	respond.JSON(w, http.StatusOK, httpplatform.TransactionAnswer{ETags: etags})
}
