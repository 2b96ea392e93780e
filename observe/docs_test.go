package observe_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"testing"

	"mulberryscale.example/api"
	"mulberryscale.example/retry"
)

// TestCountersPage compares the first column of docs/COUNTERS.md's tables with
// the names, refusal codes and retry reasons that the code declares.
func TestCountersPage(t *testing.T) {
	page, err := os.ReadFile("../docs/COUNTERS.md")
	if err != nil {
		t.Fatal(err)
	}
	var listed []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z0-9_]+)` \\|").FindAllSubmatch(page, -1) {
		listed = append(listed, string(m[1]))
	}
	declared := declaredNames(t)
	for _, c := range api.Codes() {
		declared = append(declared, string(c))
	}
	for _, r := range retry.Reasons() {
		declared = append(declared, string(r))
	}
	slices.Sort(listed)
	slices.Sort(declared)
	for _, d := range declared {
		if !slices.Contains(listed, d) {
			t.Errorf("%s is not on the page", d)
		}
	}
	for _, l := range listed {
		if !slices.Contains(declared, l) {
			t.Errorf("%s is on the page but not in the code", l)
		}
	}
}

func declaredNames(t *testing.T) []string {
	file, err := parser.ParseFile(token.NewFileSet(), "names.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			name, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			names = append(names, name)
		}
		return true
	})
	return names
}
