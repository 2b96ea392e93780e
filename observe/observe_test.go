package observe

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/api"
)

const (
	nameTest Name = "test_counter"
	nameTime Name = "test_time"
)

func TestCountersByRow(t *testing.T) {
	c := NewCounters()
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			for range 100 {
				c.Refusal(fmt.Sprint("row-", i%2), api.CodeQueueFull)
				c.Add(nameTest, "row-0", 2)
			}
		})
	}
	all.Wait()
	c.Refusal("row-0", api.CodeStale)
	c.Refusal("", api.CodeBadRequest)
	c.Retry("row-1", "transport")
	c.Add(nameTest, "row-1", -1)
	got := fmt.Sprint(
		c.Refusals("row-0", api.CodeQueueFull), c.Refusals("", api.CodeQueueFull),
		c.Refusals("row-1", api.CodeStale), c.Refusals(RowNone, api.CodeBadRequest),
		c.Retries("row-1", "transport"), c.Retries("row-0", "transport"),
		c.Value(nameTest, "row-0"), c.Value(nameTest, ""), c.Value("none", ""),
	)
	if want := "400 800 0 1 1 0 1600 1599 0"; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	if other := NewCounters(); other.Refusals("", api.CodeQueueFull) != 0 {
		t.Fatal("two Counters share values")
	}
}

func TestHandlerServesJSON(t *testing.T) {
	c := NewCounters()
	c.Refusal(`a "row"`, api.CodeStale)
	c.Gauge("test_gauge", func() any { return map[string]int{"x": 1} })
	for i := range 100 {
		c.Observe(nameTime, "r", time.Duration(i+1)*time.Millisecond)
	}
	c.Observe(nameTime, "r", 2*maxDuration) // clamped to maxDuration
	recorder := httptest.NewRecorder()
	c.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/debug/vars", nil))
	var vars struct {
		Refusals map[string]map[string]int `json:"refusals"`
		Gauge    map[string]int            `json:"test_gauge"`
		Time     map[string]summary        `json:"test_time"`
		Heap     uint64                    `json:"heap_bytes"`
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &vars); err != nil {
		t.Fatalf("%v in %s", err, recorder.Body)
	}
	if vars.Refusals[`a "row"`]["stale_weights"] != 1 || vars.Gauge["x"] != 1 || vars.Heap == 0 {
		t.Fatalf("got %+v", vars)
	}
	s := vars.Time["r"]
	if s.Count != 101 || s.P50 < 0.049 || s.P50 > 0.053 || s.Max < 3500 {
		t.Fatalf("got %+v", s)
	}
}

func TestRowsAreBounded(t *testing.T) {
	c := NewCounters()
	for i := range 2 * maxRows {
		c.Refusal(fmt.Sprint("row-", i), api.CodeUnknownRow)
	}
	if got := c.Refusals(RowOther, api.CodeUnknownRow); got != maxRows {
		t.Fatalf("%d counted as other, want %d", got, maxRows)
	}
	c.Refusal("row-0", api.CodeUnknownRow)
	if got := c.Refusals("row-0", api.CodeUnknownRow); got != 2 {
		t.Fatalf("row counted before the bound: got %d, want 2", got)
	}
}

func TestRepeatsAreDroppedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger, err := NewLogger(LogOptions{Format: FormatJSON, Output: &out, Repeats: 2})
		if err != nil {
			t.Fatal(err)
		}
		for range 10 {
			logger.WithField(FieldRow, "a").Warn("refused")
		}
		logger.WithField(FieldRow, "b").Warn("refused")
		logger.WithField(FieldRow, "a").Error("refused")
		time.Sleep(repeatWindow)
		logger.WithField(FieldRow, "a").Warn("refused")
		logger.Debug("below the level")
		var got []string
		for line := range strings.Lines(out.String()) {
			var fields struct {
				Level, Row string
				Suppressed int
			}
			if err := json.Unmarshal([]byte(line), &fields); err != nil {
				t.Fatal(err)
			}
			got = append(got, fmt.Sprintf("%s %s %d", fields.Level, fields.Row, fields.Suppressed))
		}
		want := "[warning a 0 warning a 0 warning b 0 error a 0 warning a 8]"
		if fmt.Sprint(got) != want {
			t.Fatalf("got %v, want %s", got, want)
		}
	})
}

func TestRepeatFilterIsBounded(t *testing.T) {
	f := newRepeatFilter(&logrus.TextFormatter{}, 1)
	for i := range uint64(3 * maxTrackedLines) {
		f.admit(i, time.Unix(0, 0))
	}
	if len(f.lines) > maxTrackedLines {
		t.Fatalf("%d lines tracked", len(f.lines))
	}
}

func TestBadLogOptions(t *testing.T) {
	for _, o := range []LogOptions{{Level: "loud"}, {Format: "xml"}} {
		if _, err := NewLogger(o); err == nil {
			t.Errorf("%+v: no error", o)
		}
	}
}

// TestNames checks that names.go declares each name once, in lower case, with a comment.
func TestNames(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "names.go", nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		value := spec.Values[0].(*ast.BasicLit).Value
		if seen[value] || value != strings.ToLower(value) || spec.Doc.Text()+spec.Comment.Text() == "" {
			t.Errorf("%s = %s: declared twice, not in lower case or without comment", spec.Names[0], value)
		}
		seen[value] = true
		return true
	})
	if len(seen) == 0 {
		t.Fatal("no names found")
	}
}
