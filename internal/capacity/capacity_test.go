package capacity

import (
	"math"
	"os"
	"strings"
	"testing"
)

// Markers in docs/CAPACITY.md around the program's output.
const (
	pageFile  = "../../docs/CAPACITY.md"
	pageBegin = "<!-- made by: mulberryscale capacity --output markdown -->\n"
	pageEnd   = "<!-- end -->\n"
)

func plannedReport(t *testing.T) *Report {
	t.Helper()
	slopes, err := LoadSlopes()
	if err != nil {
		t.Fatal(err)
	}
	return Compute(PlannedSize(), PlannedBudget(), PlannedPlatform(), slopes)
}

// TestPage checks that the page contains the program's current output.
func TestPage(t *testing.T) {
	page, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), pageBegin)
	generated, _, closed := strings.Cut(rest, pageEnd)
	if !found || !closed {
		t.Fatal("the page lacks the markers around the program's tables")
	}
	if want := plannedReport(t).Markdown(); generated != want {
		t.Errorf("the page differs from the program's output; run: go run ./cmd/mulberryscale capacity --output markdown\n%s", firstDifference(generated, want))
	}
}

func firstDifference(got, want string) string {
	g, w := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(g), len(w)) {
		if g[i] != w[i] {
			return "page:    " + g[i] + "\nprogram: " + w[i]
		}
	}
	return "one is longer"
}

// TestFit fits an exact line and refuses a slope measured at too few sizes.
func TestFit(t *testing.T) {
	s := &Slope{Scale: 2, Points: []Point{{1, 5}, {2, 7}, {3, 9}, {10, 23}}}
	if err := s.fit(); err != nil {
		t.Fatal(err)
	}
	if math.Abs(s.Base-6) > 1e-9 || math.Abs(s.PerUnit-4) > 1e-9 || s.Error > 1e-9 || math.Abs(s.At(100)-406) > 1e-6 {
		t.Errorf("fitted %v + %v*n, error %v", s.Base, s.PerUnit, s.Error)
	}
	if err := (&Slope{Name: "few", Points: []Point{{1, 1}, {2, 2}, {3, 3}}}).fit(); err == nil {
		t.Error("a slope of three sizes was accepted")
	}
}

// TestBadSlopes refuses files that lack a slope, define one twice or have unknown
// fields.
func TestBadSlopes(t *testing.T) {
	for name, file := range map[string]string{
		"missing": "- {name: a, points: [{n: 1, value: 1}, {n: 2, value: 1}, {n: 3, value: 1}, {n: 4, value: 1}]}",
		"field":   "- {name: a, colour: red}",
		"twice":   string(slopesFile) + string(slopesFile),
		"text":    "no list",
	} {
		if _, err := parseSlopes([]byte(file)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// TestTotals checks that a total is the sum of its lines and that a limit check
// fails once the value exceeds the limit.
func TestTotals(t *testing.T) {
	lines := []Line{{Messages: 1, Bytes: 10, CPU: 0.01, Memory: 100, Reads: 2, Writes: 3}, {Bytes: 5, Memory: 1}}
	r := newRole("entry", 1, lines, Budget{CPU: 0.02, Memory: 201, Bytes: 15})
	if r.Total.Bytes != 15 || r.Total.Memory != 202 || r.Total.Reads != 2 || r.Total.Writes != 3 {
		t.Errorf("total %+v", r.Total)
	}
	if !r.Checks[0].OK || !r.Checks[1].OK || r.Checks[2].OK {
		t.Errorf("checks %v", r.Checks)
	}
}

// TestTableChanges checks that doubling the table's changes doubles the CPU time
// in their line and in no other. The line has no CPU time of polls, which don't
// depend on the changes.
func TestTableChanges(t *testing.T) {
	slopes, err := LoadSlopes()
	if err != nil {
		t.Fatal(err)
	}
	twice := PlannedSize()
	twice.TableChangesPerDay *= 2
	once := plannedReport(t)
	more := Compute(twice, PlannedBudget(), PlannedPlatform(), slopes)
	for i, role := range once.Roles {
		for j, line := range role.Lines {
			want := line.CPU
			if line.What == "table versions" {
				want *= 2
			}
			if got := more.Roles[i].Lines[j].CPU; math.Abs(got-want) > 1e-12 {
				t.Errorf("%s, %s: %v of a core, want %v", role.Name, line.What, got, want)
			}
		}
	}
}

// TestDesignCheck checks that the planned size is valid and that the error names
// each invalid number.
func TestDesignCheck(t *testing.T) {
	if err := PlannedSize().Check(); err != nil {
		t.Error(err)
	}
	bad := PlannedSize()
	bad.Entries, bad.RequestsPerSecond = 0, math.NaN()
	err := bad.Check()
	if err == nil || !strings.Contains(err.Error(), "entries") || !strings.Contains(err.Error(), "requests") {
		t.Errorf("%v", err)
	}
}
