package main

import (
	"fmt"
	"strings"
)

// testName names a test or subtest of a package.
type testName struct {
	pkg  string // the package's path within the module
	test string // with the names of its subtests, separated by slashes
}

// String implements fmt.Stringer.
func (n testName) String() string { return n.pkg + "." + n.test }

// isWithin reports whether n is a subtest of other, at any depth.
func (n testName) isWithin(other testName) bool {
	return n.pkg == other.pkg && strings.HasPrefix(n.test, other.test+"/")
}

// entry is a line of the list of known failures.
type entry struct {
	name testName
	// flaky tests fail only sometimes; all others must fail.
	flaky bool
	line  string
}

// flakyMark precedes the name of a test that fails only sometimes.
const flakyMark = "flaky "

// parseList parses the list: an entry a line, which begins with the test's name,
// PACKAGE.TEST, and goes on after a comma. Empty lines and those that begin with # are
// skipped. Any other line is an error, so that no entry is ignored by mistake.
func parseList(text string) ([]entry, error) {
	var list []entry
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, err := parseEntry(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		list = append(list, e)
	}
	return list, nil
}

func parseEntry(line string) (entry, error) {
	name, _, _ := strings.Cut(line, ",")
	name, flaky := strings.CutPrefix(name, flakyMark)
	name = strings.TrimSpace(name)
	pkg, test, _ := strings.Cut(name, ".") // package paths of this module have no dots
	if pkg == "" || !isTest(test) || strings.ContainsAny(name, " \t") {
		return entry{}, fmt.Errorf("%q is not PACKAGE.TEST", name)
	}
	return entry{name: testName{pkg: pkg, test: test}, flaky: flaky, line: line}, nil
}

// isTest reports whether a name is one that "go test" runs.
func isTest(name string) bool {
	return strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Fuzz") || strings.HasPrefix(name, "Example")
}

func linesOf(list []entry) []string {
	var lines []string
	for _, e := range list {
		lines = append(lines, e.line)
	}
	return lines
}
