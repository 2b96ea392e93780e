package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// event is a line of "go test -json"; see "go doc test2json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Actions of events that end a test or package, and those of failed builds.
const (
	actionRun         = "run"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionBuildFail   = "build-fail"
)

// testResult is what the events say of one test.
type testResult struct {
	// ended is the action that ended the test; empty if nothing did.
	ended string
	// ownOutput is set if the test printed anything but the frame that "go test" gives it.
	ownOutput bool
	output    []string
}

// packageResult is what the events say of one package.
type packageResult struct {
	ended string
	// crashed is the line by which the package's process shows that it ended early or raced;
	// empty if there is none.
	crashed string
	tests   map[string]*testResult
}

// results is what the events say.
type results struct {
	packages map[string]*packageResult
	// buildFailed names packages that did not build.
	buildFailed []string
}

// maxLine is the largest size of an event, in bytes.
const maxLine = 16 << 20

// readEvents reads all events. It prints the lines of packages, and of tests that failed.
func readEvents(in io.Reader, out io.Writer) (*results, error) {
	r := &results{packages: map[string]*packageResult{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("not an event of go test -json: %.200s", lines.Text())
		}
		r.add(e, out)
	}
	return r, lines.Err()
}

func (r *results) add(e event, out io.Writer) {
	if e.Package == "" {
		r.addBuild(e, out)
		return
	}
	p := r.packages[e.Package]
	if p == nil {
		p = &packageResult{tests: map[string]*testResult{}}
		r.packages[e.Package] = p
	}
	if e.Action == actionOutput {
		p.noteCrash(e.Output)
	}
	if e.Test == "" {
		p.add(e, out)
		return
	}
	t := p.tests[e.Test]
	if t == nil {
		t = &testResult{}
		p.tests[e.Test] = t
	}
	t.add(e, out)
}

// addBuild adds an event that names no package of tests.
func (r *results) addBuild(e event, out io.Writer) {
	switch e.Action {
	case actionBuildOutput:
		fmt.Fprint(out, e.Output)
	case actionBuildFail:
		r.buildFailed = append(r.buildFailed, "a package that does not build")
	}
}

// add adds an event of the package itself.
func (p *packageResult) add(e event, out io.Writer) {
	switch e.Action {
	case actionOutput:
		fmt.Fprint(out, e.Output)
	case actionPass, actionFail, actionSkip:
		p.ended = e.Action
		if e.Action == actionFail {
			p.printUnended(out)
		}
	}
}

// printUnended prints the output of tests that did not end.
func (p *packageResult) printUnended(out io.Writer) {
	for _, t := range p.tests {
		if t.ended == "" {
			fmt.Fprint(out, strings.Join(t.output, ""))
		}
	}
}

// noteCrash notes a line by which a process shows that it ended early or raced.
func (p *packageResult) noteCrash(line string) {
	for _, mark := range []string{"panic: ", "fatal error: ", "WARNING: DATA RACE", "signal: ", "race detected outside of test"} {
		if p.crashed == "" && strings.HasPrefix(strings.TrimSpace(line), mark) {
			p.crashed = strings.TrimSpace(line)
		}
	}
}

// add adds an event of the test.
func (t *testResult) add(e event, out io.Writer) {
	switch e.Action {
	case actionOutput:
		t.output = append(t.output, e.Output)
		t.ownOutput = t.ownOutput || !isFrame(e.Output)
	case actionPass, actionSkip:
		t.ended, t.output = e.Action, nil
	case actionFail:
		t.ended = e.Action
		fmt.Fprint(out, strings.Join(t.output, ""))
		t.output = nil
	}
}

// isFrame reports whether a line is one that "go test" prints about a test.
func isFrame(line string) bool {
	line = strings.TrimSpace(line)
	return line == "" || strings.HasPrefix(line, "=== ") || strings.HasPrefix(line, "--- ")
}
