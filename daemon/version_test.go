package daemon

import (
	"net/http/httptest"
	"strings"
	"testing"

	"mulberryscale.example/internal/buildid"
	"mulberryscale.example/observe"
)

// TestProgramTellsItsBuild guards against processes whose version and metrics are the same whatever code they run:
// "(devel)" was all that a build without a commit told.
func TestProgramTellsItsBuild(t *testing.T) {
	id := buildid.Own()
	if id == buildid.Unknown {
		t.Fatal("the running program has no id")
	}
	if got := Version(); !strings.HasSuffix(got, " build "+id) {
		t.Errorf("version %q, want the id %s at its end", got, id)
	}
	metrics := httptest.NewRecorder()
	observe.NewCounters().Handler().ServeHTTP(metrics, httptest.NewRequest("GET", "/debug/vars", nil))
	if !strings.Contains(metrics.Body.String(), `"build": "`+id+`"`) {
		t.Errorf("metrics without the id %s: %s", id, metrics.Body)
	}
}
