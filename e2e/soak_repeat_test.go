package e2e

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// TestSoakAllowsARefusalAfterARepeatedSend guards against a false report of the soak. The entry answered a
// request of the crowd, a fault reset the connection under the answer, net/http sent the request
// once more, and the entry refused that one for lack of time: the request had run, and the soak
// took the refusal for one of its first send.
func TestSoakAllowsARefusalAfterARepeatedSend(t *testing.T) {
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	w := &soakWorld{t: t, record: newRecord()}
	c, entry := w.client("caller"), strings.TrimPrefix(server.URL, "http://")
	c.forward(t.Context(), entry, "once", http.MethodGet, prefixLook, false)
	c.forward(t.Context(), entry, "repeated", http.MethodGet, prefixLook, false)
	if n := requests.Load(); n != 3 || !w.record.refused["once"] || w.record.refused["repeated"] {
		t.Errorf("%d requests arrived, refused are %v", n, w.record.refused)
	}
}
