package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestVerdicts judges recorded outputs of "go test -race -json", a file each in testdata, by a
// list. It guards against failures that are passed over without being listed, and against
// listed ones that are not passed over.
func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		events string // name of the file
		list   string
		want   int
		says   string // part of what is printed
	}{
		"nothing fails":                         {"passing", "", exitPassed, "ok  \tmulberryscale.example/passing/one"},
		"a flaky test passes":                   {"passing", "flaky passing/one.TestA, once", exitPassed, "flaky passing/one.TestA, once"},
		"a flaky subtest passes":                {"passing", "flaky passing/one.TestS/sub, once", exitPassed, ""},
		"a listed test passes":                  {"passing", "passing/one.TestA, always", exitFailed, "take it off the list"},
		"a listed test did not run":             {"passing", "other.TestA, always", exitPassed, "other.TestA, always"},
		"unlisted failures":                     {"failing", "", exitFailed, "not passed over: failing/one.TestA"},
		"all failures are listed":               {"failing", "failing/one.TestA, why\nflaky failing/two.TestA, why", exitKnown, "passed over: failing/two.TestA"},
		"the same name in another package":      {"failing", "failing/one.TestA, why", exitFailed, "not passed over: failing/two.TestA"},
		"another test of the package":           {"failing", "failing/one.TestB, why\nfailing/two.TestA, why", exitFailed, "not passed over: failing/one.TestA"},
		"all failing subtests are listed":       {"subtests", "flaky subtests/one.TestS/bad, why\nsubtests/one.TestS/bad-too, why", exitKnown, "passed over: subtests/one.TestS/bad-too"},
		"an entry is no prefix":                 {"subtests", "flaky subtests/one.TestS/bad, why", exitFailed, "not passed over: subtests/one.TestS/bad-too"},
		"a test's entry hides no subtest":       {"subtests", "subtests/one.TestS, why", exitFailed, "not passed over: subtests/one.TestS/bad failed"},
		"a parent that fails by itself":         {"parent", "parent/one.TestS/bad, why", exitFailed, "not passed over: parent/one.TestS failed"},
		"a listed test that panics":             {"panics", "flaky panics/one.TestA, why\nflaky panics/one.TestA/sub, why", exitFailed, "panics/one: panic: boom"},
		"a listed test that races":              {"races", "flaky races/one.TestA, why", exitFailed, "races/one: WARNING: DATA RACE"},
		"a package that does not build":         {"builds", "builds/two.TestA, why", exitFailed, "does not build"},
		"a package that fails after its tests":  {"exits", "flaky exits/one.TestA, why", exitFailed, "exits/one failed, and none of its tests did"},
		"a test that hangs":                     {"hangs", "flaky hangs/one.TestA, why", exitFailed, "panic: test timed out"},
		"a test that ends the process":          {"leaves", "flaky leaves/one.TestA, why", exitFailed, "leaves/one"},
		"an entry without a package":            {"failing", "TestA, why", exitFailed, "line 1"},
		"an entry that names no test":           {"passing", "# comment\n\nsweep of Qalhat, why", exitFailed, "line 3"},
		"several entries of one test":           {"passing", "flaky passing/one.TestA, first\nflaky passing/one.TestA, second", exitPassed, "second"},
		"a test listed as failing and as flaky": {"passing", "passing/one.TestA, first\nflaky passing/one.TestA, second", exitFailed, "take it off the list"},
	} {
		t.Run(name, func(t *testing.T) {
			events, err := os.Open(filepath.Join("testdata", c.events+".json"))
			if err != nil {
				t.Fatal(err)
			}
			defer events.Close()
			var out strings.Builder
			if got := run(c.list, events, &out); got != c.want || !strings.Contains(out.String(), c.says) {
				t.Errorf("exit code %d, want %d, and %q in\n%s", got, c.want, c.says, out.String())
			}
		})
	}
}

// TestOutputOfFailuresIsPrinted checks that what a failing test printed is shown, and what a
// passing one printed is not.
func TestOutputOfFailuresIsPrinted(t *testing.T) {
	events, err := os.Open(filepath.Join("testdata", "subtests.json"))
	if err != nil {
		t.Fatal(err)
	}
	defer events.Close()
	var out strings.Builder
	run("", events, &out)
	if !strings.Contains(out.String(), "in bad-too") || strings.Contains(out.String(), "in good") {
		t.Errorf("printed:\n%s", out.String())
	}
}

// TestOtherInputIsAnError guards against a run that prints no events and passes.
func TestOtherInputIsAnError(t *testing.T) {
	var out strings.Builder
	if got := run("", strings.NewReader("ok  \tp\t0.1s\n"), &out); got != exitFailed {
		t.Errorf("exit code %d for\n%s", got, out.String())
	}
}
