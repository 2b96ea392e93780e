package logstory

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDecisions runs testdata/decisions: "log" sets the logs, "explain id=ID" prints the decisions
// and missing lines of an id.
func TestDecisions(t *testing.T) {
	var lines []Line
	datadriven.RunTest(t, "testdata/decisions", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "log" {
			var err error
			if lines, _, err = Read(strings.NewReader(d.Input)); err != nil {
				t.Fatal(err)
			}
			return ""
		}
		var id string
		d.ScanArgs(t, "id", &id)
		s := Build(lines, id)
		s.Lines, s.Dependencies = nil, nil
		var b strings.Builder
		if err := s.Write(&b); err != nil {
			t.Fatal(err)
		}
		return b.String()
	})
}
